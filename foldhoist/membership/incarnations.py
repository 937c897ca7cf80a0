"""Lives of an upstream, and which of them have ended; no I/O.

An upstream may start again under the name that it had. A life is its name and its start.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foldhoist.schema.messages import Announced, EndedLife

ENDED_KEPT = 16
"""Names of upstreams of which it is remembered that lives have ended."""


class UpstreamIncarnation(NamedTuple):
    """One life of an upstream; `born_ms` is its start, wall clock, 0 where it tells none."""

    instance: str
    born_ms: int = 0

    def is_same(self, other: UpstreamIncarnation) -> bool:
        """Return whether both are one life, as far as they tell: a word may lack the start."""
        if self.instance != other.instance:
            return False
        return self.born_ms == other.born_ms or not self.born_ms or not other.born_ms

    def is_before(self, other: UpstreamIncarnation) -> bool:
        """Return whether both tell their start, and this one was first."""
        return 0 < self.born_ms < other.born_ms


def incarnation_of(announced: Announced) -> UpstreamIncarnation:
    """Return the life that says this of itself."""
    return UpstreamIncarnation(announced["instance"], announced["born_ms"])


def incarnations_from_rows(rows: Iterable[EndedLife]) -> list[UpstreamIncarnation]:
    """Return ended lives as a message has them."""
    return [UpstreamIncarnation(row["instance"], row["born_ms"]) for row in rows]


class EndedIncarnations:
    """Lives that have ended: of each name all that started until the last one that is known.

    One that ends under a name ends those before it, so one start for a name says it all.
    """

    def __init__(self, lives: Iterable[UpstreamIncarnation] = ()) -> None:
        self._until: dict[str, int] = {}
        for life in lives:
            self.add(life)

    def __contains__(self, life: UpstreamIncarnation) -> bool:
        """Return whether this life has ended; one without a start has if any of its name has."""
        until = self._until.get(life.instance)
        return until is not None and life.born_ms <= until

    def add(self, life: UpstreamIncarnation) -> bool:
        """Take in that a life has ended; returns whether that is news."""
        if life in self and self._until[life.instance] >= life.born_ms:
            return False
        self._until[life.instance] = life.born_ms
        while len(self._until) > ENDED_KEPT:
            del self._until[next(iter(self._until))]
        return True

    def incarnations(self) -> tuple[UpstreamIncarnation, ...]:
        """Return the last ended life of each name, the name noted first in front."""
        return tuple(UpstreamIncarnation(name, until) for name, until in self._until.items())

    def rows(self) -> list[EndedLife]:
        """Return them as messages have them."""
        return [{"instance": name, "born_ms": until} for name, until in self._until.items()]
