"""What the daemon knows of the upstream beside it, from what that announces; no I/O.

Announcements may come late and out of order, also from a life of the upstream that has ended.
A leaving that was acknowledged binds: that life gets no more calls, whatever it says later.
`now` is in seconds, monotonic.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from foldhoist.membership.incarnations import (
    ENDED_KEPT,
    EndedIncarnations,
    UpstreamIncarnation,
    incarnation_of,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foldhoist.schema.messages import Announced

RETURNS = 2
"""Announcements by which a life that another one had replaced shows that it is there."""
SILENT_S = 5.0
"""A life that started before the one known is heard once that has been silent so long, seconds.

Its host's clock was set back. Upstreams announce themselves about every 1.5 s where it is known.
"""
LATE_S = 5.0
"""A word of the life before may come this long after another one has begun, seconds.

Words were seen to come some seconds late, and an upstream takes seconds to start again.
"""


class AnnouncementResult(Enum):
    """What an announcement changed."""

    NOTHING = "nothing"
    STATE = "state"
    LEAVING = "leaving"
    UNSURE = "unsure"
    """Nothing, since it may be of the life before; to be said again."""


class OwnUpstream:
    """The upstream beside this daemon, and the lives of it that have ended."""

    def __init__(self, ended: Iterable[UpstreamIncarnation] = ()) -> None:
        self.current: Announced | None = None
        self.ended = EndedIncarnations(ended)
        self._replaced: dict[UpstreamIncarnation, int] = {}
        self._behind: dict[UpstreamIncarnation, int] = {}
        self._heard_at = 0.0
        self._again_at = float("-inf")

    def apply_announcement(self, announced: Announced, now: float = 0.0) -> AnnouncementResult:
        """Take in an announcement; a late one changes nothing."""
        life = incarnation_of(announced)
        current = self.current
        known = incarnation_of(current) if current is not None else None
        if life in self.ended:
            return AnnouncementResult.NOTHING
        if current is not None and known is not None and life.is_same(known):
            if announced["sequence"] <= current["sequence"]:
                return AnnouncementResult.NOTHING
            life = max(life, known)
            if life.born_ms != announced["born_ms"]:
                announced = {**announced, "born_ms": life.born_ms}
        elif not self._may_replace(life, known, now):
            return AnnouncementResult.NOTHING
        self._heard_at = now
        if announced["state"] != "ready":
            self.ended.add(life)
            # A life that leaves before any other word of it was heard has ended the one known.
            if known is None or life.is_same(known) or known.is_before(life):
                self.current = announced
            return AnnouncementResult.LEAVING
        if known is not None and not life.is_same(known):
            self._replaced[known] = 0
            _bound(self._replaced)
            if life.instance == known.instance:
                self._again_at = now
        self.current = announced
        return (
            AnnouncementResult.NOTHING if _alike(current, announced) else AnnouncementResult.STATE
        )

    def apply_departure(
        self, instance: str, now: float, wall_ms: int, born_ms: int = 0
    ) -> AnnouncementResult:
        """Take in that a life says that it is gone; `born_ms` is 0 if it names its id alone.

        It then is the life that is known, or any that has started until `wall_ms`, the wall clock.
        """
        known = incarnation_of(self.current) if self.current is not None else None
        life = UpstreamIncarnation(instance, born_ms)
        is_known = known is not None and life.is_same(known)
        if not born_ms:
            if is_known and now - self._again_at < LATE_S:
                return AnnouncementResult.UNSURE
            if not is_known and life in self.ended:
                return AnnouncementResult.NOTHING
            life = (
                known if is_known and known is not None else UpstreamIncarnation(instance, wall_ms)
            )
        if not self.ended.add(life):
            return AnnouncementResult.NOTHING
        if known is not None and life.is_before(known):
            return AnnouncementResult.NOTHING
        if self.current is not None and known is not None and known in self.ended:
            self.current = {**self.current, "state": "gone"}
        return AnnouncementResult.LEAVING

    def add_ended(self, ended: Iterable[UpstreamIncarnation]) -> bool:
        """Take in lives that an earlier life of this daemon acknowledged; whether one was new."""
        fresh = [life for life in ended if self.ended.add(life)]
        current = self.current
        if not fresh or current is None or incarnation_of(current) not in self.ended:
            return False
        if current["state"] != "ready":
            return False
        self.current = {**current, "state": "leaving"}
        return True

    def _may_replace(
        self, life: UpstreamIncarnation, known: UpstreamIncarnation | None, now: float
    ) -> bool:
        if known is not None and life.is_before(known):
            return self._is_known_silent(life, now)
        if life not in self._replaced:
            return True
        self._replaced[life] += 1
        if self._replaced[life] < RETURNS:
            return False
        del self._replaced[life]
        return True

    def _is_known_silent(self, life: UpstreamIncarnation, now: float) -> bool:
        """Return whether a life that started first is there, and the one known is not."""
        self._behind[life] = self._behind.get(life, 0) + 1
        _bound(self._behind)
        if self._behind[life] < RETURNS or now - self._heard_at < SILENT_S:
            return False
        self._behind.clear()
        return True


def _bound(words: dict[UpstreamIncarnation, int]) -> None:
    """Forget the life noted first where there are too many: others may write here, too."""
    if len(words) > ENDED_KEPT:
        del words[next(iter(words))]


def _alike(before: Announced | None, after: Announced) -> bool:
    if before is None or not incarnation_of(before).is_same(incarnation_of(after)):
        return False
    keys = ("service", "slots", "state")
    return all(before[key] == after[key] for key in keys)  # type: ignore[literal-required]
