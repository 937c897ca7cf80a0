"""Bounds what an upstream may send as an answer; no I/O, no clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_HEAD_BYTES = 64 * 1024
"""Limit of the bytes of an answer outside of its body, bytes.

It covers the head, interim answers, the framing of chunks, and trailers.
"""
CHUNK_FRAMING_BYTES = 32
"""Framing of a chunk that does not count towards that limit, bytes."""
PIECE_BYTES = 16 * 1024
"""Bytes that are parsed before the limits are checked again, bytes."""


class AnswerSize:
    """Counts the bytes that have arrived since a call was sent, bodies apart."""

    __slots__ = ("bodies", "chunks", "received")

    def __init__(self) -> None:
        self.received = 0
        self.bodies = 0
        self.chunks = 0

    @property
    def head_too_large(self) -> bool:
        """Return whether more bytes outside of bodies have arrived than an answer may have."""
        return self.outside_bodies > MAX_HEAD_BYTES + CHUNK_FRAMING_BYTES * self.chunks

    @property
    def outside_bodies(self) -> int:
        """Return the number of bytes outside of bodies."""
        return self.received - self.bodies


def pieces(data: bytes) -> Iterator[bytes]:
    """Return received bytes in pieces of at most `PIECE_BYTES`."""
    for at in range(0, len(data), PIECE_BYTES):
        yield data[at : at + PIECE_BYTES]
