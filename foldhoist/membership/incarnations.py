"""Incarnations of upstreams, and which of them have ended; no I/O.

An upstream may restart under the same name; an incarnation is identified by name and start time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, NamedTuple, TypeAlias

from msgspec import Meta

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foldhoist.schema.messages import Announced, EndedLife, UpstreamSignals

MAX_MILLIS = 2**53
"""Latest time accepted, milliseconds; it can be encoded in every message."""
MAX_ENDED_NAMES = 16
"""Maximum number of upstream names whose ended incarnations are kept."""

Millis: TypeAlias = Annotated[int, Meta(ge=0, le=MAX_MILLIS)]
"""A time, wall clock in milliseconds; 0 if unknown."""


class UpstreamIncarnation(NamedTuple):
    """One incarnation of an upstream.

    `born_ms` is its start, wall clock in milliseconds, 0 if unknown.
    """

    instance: str
    born_ms: Millis = 0

    def is_same(self, other: UpstreamIncarnation) -> bool:
        """Return whether both may be the same incarnation; an unknown start matches any."""
        if self.instance != other.instance:
            return False
        return self.born_ms == other.born_ms or not self.born_ms or not other.born_ms

    def is_before(self, other: UpstreamIncarnation) -> bool:
        """Return whether both starts are known and this one is earlier."""
        return 0 < self.born_ms < other.born_ms


UNNAMED = UpstreamIncarnation("")
"""Stands for an upstream that does not announce itself."""


def incarnation_of(announced: Announced) -> UpstreamIncarnation:
    """Return the incarnation that sent this announcement."""
    return UpstreamIncarnation(announced["instance"], announced["born_ms"])


def incarnation_of_signals(signals: UpstreamSignals) -> UpstreamIncarnation:
    """Return the incarnation that sent these signals."""
    return UpstreamIncarnation(signals["instance"], signals["born_ms"])


def incarnations_from_rows(rows: Iterable[EndedLife]) -> list[UpstreamIncarnation]:
    """Return the ended incarnations of a message's rows."""
    return [UpstreamIncarnation(row["instance"], row["born_ms"]) for row in rows]


class EndedIncarnations:
    """The incarnations that have ended; for each name the latest start time is kept.

    The end of an incarnation implies the end of all earlier ones of the same name.
    """

    def __init__(self, ended: Iterable[UpstreamIncarnation] = ()) -> None:
        self._last_start_ms: dict[str, int] = {}
        for incarnation in ended:
            self.add(incarnation)

    def __contains__(self, incarnation: UpstreamIncarnation) -> bool:
        """Return whether it has ended; with an unknown start, whether any of its name has."""
        last_start_ms = self._last_start_ms.get(incarnation.instance)
        return last_start_ms is not None and incarnation.born_ms <= last_start_ms

    def add(self, incarnation: UpstreamIncarnation) -> bool:
        """Record that an incarnation has ended; return whether this was unknown.

        The name recorded first is dropped if there are too many.
        """
        if incarnation in self and self._last_start_ms[incarnation.instance] >= incarnation.born_ms:
            return False
        self._last_start_ms[incarnation.instance] = incarnation.born_ms
        while len(self._last_start_ms) > MAX_ENDED_NAMES:
            del self._last_start_ms[next(iter(self._last_start_ms))]
        return True

    def incarnations(self) -> tuple[UpstreamIncarnation, ...]:
        """Return the last ended incarnation of each name, in the order the names were recorded."""
        return tuple(
            UpstreamIncarnation(name, last_start_ms)
            for name, last_start_ms in self._last_start_ms.items()
        )

    def rows(self) -> list[EndedLife]:
        """Return the ended incarnations as rows of a message."""
        return [
            {"instance": name, "born_ms": last_start_ms}
            for name, last_start_ms in self._last_start_ms.items()
        ]
