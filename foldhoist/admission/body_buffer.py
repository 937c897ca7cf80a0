"""Collects a body that comes in parts, at the cost of its bytes however small the parts are."""

from __future__ import annotations

from typing import cast

SHARED_BODY_BYTES = 1024 * 1024
"""A larger body is handed on without a copy, bytes."""


class BodyBuffer:
    """The parts of one body so far."""

    __slots__ = ("_buffer", "_first")

    def __init__(self) -> None:
        self._first = b""
        self._buffer: bytearray | None = None

    def add(self, part: bytes) -> None:
        """Append a part."""
        if self._buffer is not None:
            self._buffer += part
        elif self._first:
            self._buffer = bytearray(self._first)
            self._buffer += part
            self._first = b""
        else:
            self._first = part

    def take(self) -> bytes:
        """Return the body and forget it."""
        buffer, self._buffer = self._buffer, None
        if buffer is None:
            first, self._first = self._first, b""
            return first
        return hand_over(buffer)


def hand_over(buffer: bytearray) -> bytes:
    """Return a buffer that nobody changes any more as bytes; a large one is not copied.

    A bytearray does what bytes do wherever bodies are used: it is sliced, joined, hashed and sent.
    """
    if len(buffer) <= SHARED_BODY_BYTES:
        return bytes(buffer)
    return cast("bytes", buffer)
