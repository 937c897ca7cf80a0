"""Tests of the limit on the memory for bodies."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from foldhoist.admission.body_memory import LARGE_BODY_SHARE, SMALL_BODY_BYTES, BodyMemory

LIMIT = 8 * SMALL_BODY_BYTES


def test_large_bodies_leave_room_for_small_ones() -> None:
    memory = BodyMemory(LIMIT)
    large = SMALL_BODY_BYTES + 1
    while memory.has_room(large, large):
        memory.reserve(large)
    assert memory.used <= LIMIT * LARGE_BODY_SHARE
    assert memory.has_room(SMALL_BODY_BYTES, SMALL_BODY_BYTES)


def test_released_bytes_may_be_reserved_again() -> None:
    memory = BodyMemory(LIMIT)
    memory.reserve(LIMIT)
    assert not memory.has_room(1, 1)
    memory.release(1)
    assert memory.has_room(1, 1)


def test_no_bytes_fit_even_after_the_limit_was_lowered() -> None:
    memory = BodyMemory(LIMIT)
    memory.reserve(LIMIT)
    memory.limit = SMALL_BODY_BYTES
    assert memory.has_room(0, 0)
    assert not memory.has_room(1, 1)


@given(sizes=st.lists(st.integers(1, 3 * SMALL_BODY_BYTES), max_size=60))
def test_the_limit_is_never_exceeded(sizes: list[int]) -> None:
    memory = BodyMemory(LIMIT)
    for size in sizes:
        if memory.has_room(size, size):
            memory.reserve(size)
        assert memory.used <= LIMIT
