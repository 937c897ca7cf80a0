"""A bound on the bytes of bodies that a daemon holds at once; no I/O."""

from __future__ import annotations

DEFAULT_BODY_MEMORY_BYTES = 32 * 1024 * 1024
"""The bound unless told otherwise, bytes."""
SMALL_BODY_BYTES = 64 * 1024
"""A body up to this size may use the part of the bound that larger ones leave free."""
LARGE_BODY_SHARE = 0.75
"""Share of the bound up to which larger bodies are taken."""


class BodyMemory:
    """Counts what is held; a few large bodies never keep the small ones out."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def has_room(self, size: int, body_size: int) -> bool:
        """Return whether more bytes fit, for a body that has this size with them; none always do.

        More than the bound may be held after the bound was lowered.
        """
        if not size:
            return True
        room = self.limit if body_size <= SMALL_BODY_BYTES else int(self.limit * LARGE_BODY_SHARE)
        return self.used + size <= room

    def reserve(self, size: int) -> None:
        """Hold more bytes."""
        self.used += size

    def release(self, size: int) -> None:
        """Hold these bytes no longer."""
        self.used -= size
