"""Bounds the memory for the bodies that a daemon holds at once; no I/O."""

from __future__ import annotations

DEFAULT_BODY_MEMORY_BYTES = 32 * 1024 * 1024
"""Default limit, bytes."""
SMALL_BODY_BYTES = 64 * 1024
"""Bodies of up to this many bytes may use the part of the limit reserved for small ones."""
LARGE_BODY_SHARE = 0.75
"""A larger body is accepted while all bodies together use at most this share of the limit."""


class BodyMemory:
    """Counts the bytes in use and reserves a part of the limit for small bodies."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def has_room(self, size: int, body_size: int) -> bool:
        """Return whether `size` more bytes fit, for a body of `body_size` bytes including them.

        A `size` of 0 always fits, even if more than a lowered limit is in use.
        """
        if not size:
            return True
        room = self.limit if body_size <= SMALL_BODY_BYTES else int(self.limit * LARGE_BODY_SHARE)
        return self.used + size <= room

    def reserve(self, size: int) -> None:
        """Count `size` more bytes as used."""
        self.used += size

    def release(self, size: int) -> None:
        """Count `size` bytes as free again."""
        self.used -= size
