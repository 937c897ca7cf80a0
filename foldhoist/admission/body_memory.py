"""Bounds the memory that callers and other daemons make a process hold; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

DEFAULT_BODY_MEMORY_BYTES = 32 * 1024 * 1024
"""Default limit, bytes."""
SMALL_BODY_BYTES = 64 * 1024
"""Bodies of up to this many bytes may use the part of the limit reserved for small ones."""
LARGE_BODY_SHARE = 0.75
"""A larger body is accepted while all bodies together use at most this share of the limit."""
TINY_BYTES = 8 * 1024
"""Requests that take up to this much, all in all, may use the last part of the process's limit."""
TINY_RESERVE = 0.1
"""That part, as a share."""
HELD_SHARE = 0.5
"""Share of a process's memory for what others make it hold; the rest is its own."""
MEGABYTE = 1_000_000
HEADER_COST_BYTES = 160
"""Memory of a header in addition to its name and value, bytes."""


class ProcessMemory:
    """Counts what others make this process hold, at its cost in memory, bytes.

    That is connections, heads, bodies, requests that wait or run, and what is not sent yet.
    `make_room` is asked to free so many bytes, by closing what has held much for long.
    """

    def __init__(self, limit: float = float("inf")) -> None:
        self.limit = limit
        self.used = 0
        self.make_room: Callable[[int], None] | None = None

    def has_room(self, size: int, share: float = 1.0) -> bool:
        """Return whether `size` more bytes fit into this share of the limit."""
        return self.used + size <= self.limit * share

    def is_short(self, size: int) -> bool:
        """Return whether, with `size` more bytes, only the smallest requests have room."""
        return self.used + size > self.limit * (1.0 - TINY_RESERVE)

    def has_room_in_request(self, size: int, request_bytes: int) -> bool:
        """Return the same for a request that takes so many bytes, `size` included."""
        return not self.is_short(size) or (request_bytes <= TINY_BYTES and self.has_room(size))

    def has_made_room(self, size: int, share: float = 1.0) -> bool:
        """Return the same, once others have given way if they can."""
        if self.has_room(size, share):
            return True
        if self.make_room is not None:
            self.make_room(int(self.used + size - self.limit * share))
        return self.has_room(size, share)

    def reserve(self, size: int) -> None:
        """Count `size` more bytes as used."""
        self.used += size

    def release(self, size: int) -> None:
        """Count `size` bytes as free again."""
        self.used -= size


def process_limit(memory_mb: float) -> float:
    """Return the limit for a process that may use so many megabytes, bytes; 0: not known."""
    return memory_mb * MEGABYTE * HELD_SHARE if memory_mb else float("inf")


class BodyMemory:
    """Counts the bytes in use and reserves a part of the limit for small bodies.

    They count for the whole process, too.
    """

    def __init__(self, limit: int, process: ProcessMemory | None = None) -> None:
        self.limit = limit
        self.used = 0
        self.process = process if process is not None else ProcessMemory()

    def has_room(self, size: int, body_size: int) -> bool:
        """Return whether `size` more bytes fit, for a body of `body_size` bytes including them.

        A `size` of 0 always fits, even if more than a lowered limit is in use.
        """
        if not size:
            return True
        return self._fits(size, body_size) and self.process.has_room(size, _share(body_size))

    def has_made_room(self, size: int, body_size: int) -> bool:
        """Return the same, once others have given way in the memory of the process if they can."""
        if not size:
            return True
        return self._fits(size, body_size) and self.process.has_made_room(size, _share(body_size))

    def reserve(self, size: int) -> None:
        """Count `size` more bytes as used."""
        self.used += size
        self.process.reserve(size)

    def release(self, size: int) -> None:
        """Count `size` bytes as free again."""
        self.used -= size
        self.process.release(size)

    def _fits(self, size: int, body_size: int) -> bool:
        return self.used + size <= int(self.limit * _share(body_size))


def _share(body_size: int) -> float:
    """Return the share of a limit that a body of this size may use."""
    return 1.0 if body_size <= SMALL_BODY_BYTES else LARGE_BODY_SHARE
