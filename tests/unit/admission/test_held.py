"""The bound on the bytes of bodies that are held at once."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from foldhoist.admission.held import LARGE_SHARE, SMALL_BYTES, HeldBytes

MOST = 8 * SMALL_BYTES


def test_large_bodies_leave_room_for_small_ones() -> None:
    held = HeldBytes(MOST)
    large = SMALL_BYTES + 1
    while held.has_room(large, large):
        held.take(large)
    assert held.held <= MOST * LARGE_SHARE
    assert held.has_room(SMALL_BYTES, SMALL_BYTES)


def test_what_was_given_back_may_be_taken_again() -> None:
    held = HeldBytes(MOST)
    held.take(MOST)
    assert not held.has_room(1, 1)
    held.give_back(1)
    assert held.has_room(1, 1)


def test_what_has_no_body_needs_no_room_when_the_bound_was_lowered() -> None:
    held = HeldBytes(MOST)
    held.take(MOST)
    held.most = SMALL_BYTES
    assert held.has_room(0, 0)
    assert not held.has_room(1, 1)


@given(sizes=st.lists(st.integers(1, 3 * SMALL_BYTES), max_size=60))
def test_never_more_than_the_bound_is_held(sizes: list[int]) -> None:
    held = HeldBytes(MOST)
    for size in sizes:
        if held.has_room(size, size):
            held.take(size)
        assert held.held <= MOST
