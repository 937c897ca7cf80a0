"""Names on a ring by their hash: neighbours are found without looking at all names; no I/O."""

from __future__ import annotations

from bisect import bisect_left, insort
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


class HashRing:
    """Names in the order of their hash; the last is followed by the first."""

    def __init__(self) -> None:
        self._places: list[tuple[bytes, str]] = []

    def __len__(self) -> int:
        """Return the number of names."""
        return len(self._places)

    def __iter__(self) -> Iterator[str]:
        """Return every name, from the least hash on."""
        return (name for _, name in self._places)

    def add(self, name: str) -> None:
        """Put a name in its place; one that is there stays."""
        entry = _place(name)
        at = bisect_left(self._places, entry)
        if at < len(self._places) and self._places[at] == entry:
            return
        insort(self._places, entry)

    def discard(self, name: str) -> None:
        """Take a name out, if it is there."""
        entry = _place(name)
        at = bisect_left(self._places, entry)
        if at < len(self._places) and self._places[at] == entry:
            del self._places[at]

    def after(self, name: str) -> Iterator[str]:
        """Return every other name once, beginning behind the place of this one."""
        start = bisect_left(self._places, _place(name))
        size = len(self._places)
        for step in range(size):
            other = self._places[(start + step) % size][1]
            if other != name:
                yield other


def _place(name: str) -> tuple[bytes, str]:
    return blake2b(name.encode(), digest_size=8).digest(), name
