"""Tests that a body costs its bytes, however small its parts are."""

from __future__ import annotations

import sys

import pytest

from foldhoist.admission.body_buffer import SHARED_BODY_BYTES, BodyBuffer, hand_over


@pytest.mark.parametrize("size", [0, 1, 2, 16, 1000])
@pytest.mark.parametrize("parts", [1, 2, 500])
def test_a_body_is_whole_and_is_taken_once(size: int, parts: int) -> None:
    buffer = BodyBuffer()
    for _ in range(parts):
        buffer.add(b"x" * size)
    assert buffer.take() == b"x" * size * parts
    assert buffer.take() == b""


def test_small_parts_cost_hardly_more_than_their_bytes() -> None:
    buffer = BodyBuffer()
    for _ in range(50_000):
        buffer.add(b"xy")
    assert sys.getsizeof(buffer._buffer) < 1.5 * 100_000


@pytest.mark.parametrize("size", [SHARED_BODY_BYTES, SHARED_BODY_BYTES + 1])
def test_only_a_large_body_is_handed_over_without_a_copy(size: int) -> None:
    buffer = bytearray(size)
    body = hand_over(buffer)
    assert (body is buffer) == (size > SHARED_BODY_BYTES)
    assert body == bytes(size)
