"""Settings of the C library's allocator for a daemon."""

from __future__ import annotations

import ctypes

from loguru import logger

LARGE_BLOCK_BYTES = 1024 * 1024
"""Larger blocks are mapped on their own, so that they go back to the system when they are freed.

Left to itself the C library raises this bound to the largest block that was freed, up to 32 MiB.
"""
MAX_UNUSED_BYTES = 2 * 1024 * 1024
"""Unused bytes at the end of the heap above which it is shrunk."""
M_TRIM_THRESHOLD = -1
"""Number of the C library's parameter for `MAX_UNUSED_BYTES`."""
M_MMAP_THRESHOLD = -3
"""Number of the C library's parameter for `LARGE_BLOCK_BYTES`."""


TRIM_BYTES = 16 * 1024 * 1024
"""Fall in what is held above which unused memory is given back, bytes."""
TRIM_INTERVAL_S = 1.0
"""Shortest time between two such returns, seconds."""


class UnusedMemory:
    """Gives memory back to the system that the C library keeps between blocks in use."""

    def __init__(self) -> None:
        self._malloc_trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
        self._peak_bytes = 0
        self._trimmed_at = float("-inf")

    def check(self, now: float, held_bytes: int) -> None:
        """Give memory back if much less is held than before; `now` is monotonic seconds."""
        self._peak_bytes = max(self._peak_bytes, held_bytes)
        if self._malloc_trim is None or now - self._trimmed_at < TRIM_INTERVAL_S:
            return
        if self._peak_bytes - held_bytes < TRIM_BYTES:
            return
        self._trimmed_at = now
        self._peak_bytes = held_bytes
        self._malloc_trim(0)


def configure_allocator() -> None:
    """Have the memory of large bodies returned to the system as soon as they are freed."""
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is None:
        logger.info("the C library's allocator cannot be configured")
        return
    mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
    mallopt(M_TRIM_THRESHOLD, MAX_UNUSED_BYTES)
