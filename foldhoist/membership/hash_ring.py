"""A ring of names ordered by hash, to find the successors of a name; no I/O."""

from __future__ import annotations

from bisect import bisect_left, insort
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


class HashRing:
    """Names in the order of their hash; the last is followed by the first."""

    def __init__(self) -> None:
        self._entries: list[tuple[bytes, str]] = []

    def __len__(self) -> int:
        """Return the number of names."""
        return len(self._entries)

    def __iter__(self) -> Iterator[str]:
        """Return every name, from the lowest hash on."""
        return (name for _, name in self._entries)

    def add(self, name: str) -> None:
        """Add a name; no effect if it is present."""
        entry = _entry(name)
        index = bisect_left(self._entries, entry)
        if index < len(self._entries) and self._entries[index] == entry:
            return
        insort(self._entries, entry)

    def discard(self, name: str) -> None:
        """Remove a name; no effect if it is absent."""
        entry = _entry(name)
        index = bisect_left(self._entries, entry)
        if index < len(self._entries) and self._entries[index] == entry:
            del self._entries[index]

    def after(self, name: str) -> Iterator[str]:
        """Return every other name once, starting after the position of this one."""
        start = bisect_left(self._entries, _entry(name))
        size = len(self._entries)
        for step in range(size):
            other = self._entries[(start + step) % size][1]
            if other != name:
                yield other


def _entry(name: str) -> tuple[bytes, str]:
    return blake2b(name.encode(), digest_size=8).digest(), name
