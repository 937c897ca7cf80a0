"""State of the upstream beside this daemon, from its announcements; no I/O.

Announcements may arrive late and out of order, also from an incarnation that has ended. Once a
departure is acknowledged, that incarnation gets no more calls, whatever it announces later.
`now` is monotonic time in seconds.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from foldhoist.membership.incarnations import (
    MAX_ENDED_NAMES,
    EndedIncarnations,
    UpstreamIncarnation,
    incarnation_of,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foldhoist.schema.messages import Announced

MIN_REPEATS = 2
"""Announcements needed from a replaced or older incarnation to make it the current one."""
SILENT_S = 5.0
"""An older incarnation may become current if the known one was silent this long, seconds.

This handles a host whose clock was set back; upstreams announce themselves about every 1.5 s.
"""
LEAVING_SILENT_S = 2.0
"""The leaving of an older incarnation applies if the known one was silent this long, seconds.

Longer than the interval of announcements: the known one would have announced itself again.
"""
REORDER_WINDOW_S = 5.0
"""Time after a restart in which a departure without a start time is ambiguous, seconds.

It may be a late message of the previous incarnation.
"""


class AnnouncementResult(Enum):
    """The effect of an announcement or a departure."""

    NOTHING = "nothing"
    """Late, or without a change of service, slots and state."""
    STATE = "state"
    """A new incarnation is ready, or service, slots or state of the known one changed."""
    LEAVING = "leaving"
    """An incarnation is leaving or gone and gets no more calls."""
    UNSURE = "unsure"
    """Not applied, as it may be of a previous incarnation; the upstream must repeat it."""


class OwnUpstream:
    """The upstream beside this daemon, and its incarnations that have ended."""

    def __init__(self, ended: Iterable[UpstreamIncarnation] = ()) -> None:
        self.current: Announced | None = None
        self.ended = EndedIncarnations(ended)
        self._replaced: dict[UpstreamIncarnation, int] = {}
        self._older: dict[UpstreamIncarnation, int] = {}
        self._last_announced_at = 0.0
        self._restarted_at = float("-inf")

    def apply_announcement(self, announced: Announced, now: float = 0.0) -> AnnouncementResult:
        """Apply an announcement; a late one changes nothing."""
        incarnation = incarnation_of(announced)
        current = self.current
        known = incarnation_of(current) if current is not None else None
        if incarnation in self.ended:
            return AnnouncementResult.NOTHING
        if current is not None and known is not None and incarnation.is_same(known):
            if announced["sequence"] <= current["sequence"]:
                return AnnouncementResult.NOTHING
            incarnation = max(incarnation, known)
            if incarnation.born_ms != announced["born_ms"]:
                announced = {**announced, "born_ms": incarnation.born_ms}
        elif announced["state"] != "ready" and self._is_unknown_older(incarnation):
            return self._apply_leaving_of_older(incarnation, now)
        elif not self._may_replace(incarnation, known, now):
            return AnnouncementResult.NOTHING
        self._last_announced_at = now
        self._older.clear()
        if announced["state"] != "ready":
            self.ended.add(incarnation)
            # A later incarnation that is first seen leaving has still replaced the known one.
            if known is None or incarnation.is_same(known) or known.is_before(incarnation):
                self.current = announced
            return AnnouncementResult.LEAVING
        if known is not None and not incarnation.is_same(known):
            self._replaced[known] = 0
            _trim(self._replaced)
            if incarnation.instance == known.instance:
                self._restarted_at = now
        self.current = announced
        return (
            AnnouncementResult.NOTHING
            if _is_same_state(current, announced)
            else AnnouncementResult.STATE
        )

    def apply_departure(
        self, instance: str, now: float, wall_ms: int, born_ms: int = 0
    ) -> AnnouncementResult:
        """Apply the departure of an incarnation; `born_ms` is 0 if the message has no start time.

        A departure without a start time refers to the known incarnation if the name matches, else
        to all that started up to `wall_ms`, the wall clock in milliseconds. Shortly after a restart
        of the known one it is not applied, and the result is UNSURE.
        """
        known = incarnation_of(self.current) if self.current is not None else None
        incarnation = UpstreamIncarnation(instance, born_ms)
        if incarnation not in self.ended and self._is_unknown_older(incarnation):
            return self._apply_leaving_of_older(incarnation, now)
        is_known = known is not None and incarnation.is_same(known)
        if not born_ms:
            if is_known and now - self._restarted_at < REORDER_WINDOW_S:
                return AnnouncementResult.UNSURE
            if not is_known and incarnation in self.ended:
                return AnnouncementResult.NOTHING
            incarnation = (
                known if is_known and known is not None else UpstreamIncarnation(instance, wall_ms)
            )
        if not self.ended.add(incarnation):
            return AnnouncementResult.NOTHING
        if known is not None and incarnation.is_before(known):
            return AnnouncementResult.NOTHING
        if self.current is not None and known is not None and known in self.ended:
            self.current = {**self.current, "state": "gone"}
        return AnnouncementResult.LEAVING

    def add_ended(self, ended: Iterable[UpstreamIncarnation]) -> bool:
        """Add departures acknowledged by an earlier incarnation of this daemon.

        Return whether the current upstream was ready and is leaving now.
        """
        added = [incarnation for incarnation in ended if self.ended.add(incarnation)]
        current = self.current
        if not added or current is None or incarnation_of(current) not in self.ended:
            return False
        if current["state"] != "ready":
            return False
        self.current = {**current, "state": "leaving"}
        return True

    def _is_unknown_older(self, incarnation: UpstreamIncarnation) -> bool:
        """Return whether it has the known one's name and an earlier start, and was never current.

        It started before the known one and its messages come late, or it is the one that runs now
        and the host's clock was set back.
        """
        if self.current is None or incarnation in self._replaced:
            return False
        known = incarnation_of(self.current)
        return incarnation.instance == known.instance and incarnation.is_before(known)

    def _apply_leaving_of_older(
        self, incarnation: UpstreamIncarnation, now: float
    ) -> AnnouncementResult:
        """Apply it if the known incarnation is silent while this one repeats itself, else UNSURE.

        The name gets no more calls then; the known one is served again if it announces itself.
        """
        assert self.current is not None
        silent = now - self._last_announced_at >= LEAVING_SILENT_S
        repeated = self._count_older(incarnation) >= MIN_REPEATS
        if self.current["state"] == "ready" and not (silent and repeated):
            return AnnouncementResult.UNSURE
        self.ended.add(incarnation)
        self.current = {**self.current, "state": "gone"}
        return AnnouncementResult.LEAVING

    def _may_replace(
        self, incarnation: UpstreamIncarnation, known: UpstreamIncarnation | None, now: float
    ) -> bool:
        if known is not None and incarnation.is_before(known):
            return self._is_known_silent(incarnation, now)
        if incarnation not in self._replaced:
            return True
        self._replaced[incarnation] += 1
        if self._replaced[incarnation] < MIN_REPEATS:
            return False
        del self._replaced[incarnation]
        return True

    def _is_known_silent(self, incarnation: UpstreamIncarnation, now: float) -> bool:
        """Count an announcement of an older incarnation; return whether that becomes current.

        It does once it has repeated itself while the known incarnation is silent.
        """
        repeated = self._count_older(incarnation) >= MIN_REPEATS
        return repeated and now - self._last_announced_at >= SILENT_S

    def _count_older(self, incarnation: UpstreamIncarnation) -> int:
        """Count a message of an older incarnation since the known one announced itself."""
        self._older[incarnation] = self._older.get(incarnation, 0) + 1
        _trim(self._older)
        return self._older[incarnation]


def _trim(counts: dict[UpstreamIncarnation, int]) -> None:
    """Drop the oldest entry if there are too many, as any process may send announcements."""
    if len(counts) > MAX_ENDED_NAMES:
        del counts[next(iter(counts))]


def _is_same_state(before: Announced | None, after: Announced) -> bool:
    if before is None or not incarnation_of(before).is_same(incarnation_of(after)):
        return False
    keys = ("service", "slots", "state")
    return all(before[key] == after[key] for key in keys)  # type: ignore[literal-required]
