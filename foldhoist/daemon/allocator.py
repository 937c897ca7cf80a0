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


def configure_allocator() -> None:
    """Have the memory of large bodies returned to the system as soon as they are freed."""
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is None:
        logger.info("the C library's allocator cannot be configured")
        return
    mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
    mallopt(M_TRIM_THRESHOLD, MAX_UNUSED_BYTES)
