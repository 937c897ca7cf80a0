"""What the daemon knows of the upstream beside it, from what that announces; no I/O.

Announcements may come late and out of order, also from a life of the upstream that has ended.
A leaving that was acknowledged binds: that life gets no more calls, whatever it says later.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from foldhoist.schema.messages import Announced

ENDED_KEPT = 16
"""Lives of upstreams that are remembered as ended."""
RETURNS = 2
"""Announcements by which a life that another one had replaced shows that it is there."""


class Heard(Enum):
    """What an announcement changed."""

    NOTHING = "nothing"
    STATE = "state"
    LEAVING = "leaving"


class OwnUpstream:
    """The upstream beside this daemon, and the lives of it that have ended."""

    def __init__(self) -> None:
        self.current: Announced | None = None
        self.ended: list[str] = []
        self._replaced: dict[str, int] = {}

    def heard(self, announced: Announced) -> Heard:
        """Take in an announcement; a late one changes nothing."""
        instance = announced["instance"]
        current = self.current
        if instance in self.ended:
            return Heard.NOTHING
        if current is not None and instance == current["instance"]:
            if announced["sequence"] <= current["sequence"]:
                return Heard.NOTHING
        elif not self._may_replace(announced):
            return Heard.NOTHING
        if announced["state"] != "ready":
            self._end(instance)
            if current is not None and current["instance"] != instance:
                return Heard.LEAVING
            self.current = announced
            return Heard.LEAVING
        if current is not None and current["instance"] != instance:
            self._replaced[current["instance"]] = 0
        before, self.current = current, announced
        return Heard.NOTHING if _alike(before, announced) else Heard.STATE

    def left(self, instance: str) -> Heard:
        """Take in that a life says that it is gone."""
        if instance in self.ended:
            return Heard.NOTHING
        self._end(instance)
        if self.current is not None and self.current["instance"] == instance:
            self.current = {**self.current, "state": "gone"}
        return Heard.LEAVING

    def remember(self, ended: list[str]) -> bool:
        """Take in lives that an earlier life of this daemon acknowledged; whether one was new."""
        fresh = [instance for instance in ended if instance not in self.ended]
        for instance in fresh:
            self._end(instance)
        current = self.current
        if current is None or current["instance"] not in fresh:
            return False
        self.current = {**current, "state": "leaving"}
        return True

    def _may_replace(self, announced: Announced) -> bool:
        instance = announced["instance"]
        if instance not in self._replaced:
            return True
        self._replaced[instance] += 1
        if self._replaced[instance] < RETURNS:
            return False
        del self._replaced[instance]
        return True

    def _end(self, instance: str) -> None:
        self.ended.append(instance)
        del self.ended[:-ENDED_KEPT]


def _alike(before: Announced | None, after: Announced) -> bool:
    if before is None or before["instance"] != after["instance"]:
        return False
    keys = ("service", "slots", "state")
    return all(before[key] == after[key] for key in keys)  # type: ignore[literal-required]
