"""Calls under which upstreams have ended, as all daemons together have seen; no I/O, no clock.

Each daemon notes which calls were at work when the upstream beside it ended, and tells the others.
What is told is a set of crashes for each call and a set of those that were refuted, both of which
only grow: whoever has heard the same, in whatever order and however often, holds the same calls.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foldhoist.schema.messages import Suspect

HELD = "ends-upstreams"
"""Reason of a call that is refused, or stopped, since upstreams have ended under calls like it."""
CRASHES = 2
"""Crashes with a call at work, none refuted, from which on calls like it are refused.

An upstream takes seconds to come back. With one, every call that is lost with an upstream would be
refused when its caller sends it again. With three, where such calls came 60 ms apart and an
upstream ended 50 to 100 ms after it began, the last of four had one before the third had ended.
"""
HOLD_S = 600.0
"""Calls are refused this long after the last such crash, seconds; twice as long with each more.

Long beside a restart, so that a call that is sent again and again seldom ends an upstream; short
beside a day, so that one that has been mended is served again without an operator.
"""
LONGEST_S = 86_400.0
"""Longest time for which calls are refused without another crash, seconds."""
MOST_SUSPECTS = 1024
"""Calls that are noted; the one whose last crash is the oldest goes first.

A crash notes as many as the upstream has slots: about a hundred crashes.
"""
MOST_ANSWERED = 1024
"""Calls that are remembered as answered by the upstream beside this daemon; the oldest go first."""


class _Noted:
    """What is known of one call; `at` is when its last crash was, monotonic seconds."""

    __slots__ = ("at", "crashes", "refuted")

    def __init__(self) -> None:
        self.crashes: set[str] = set()
        self.refuted: set[str] = set()
        self.at = float("-inf")

    @property
    def held_until(self) -> float:
        """Return until when calls like it are refused, minus infinity for not at all."""
        beyond = len(self.crashes - self.refuted) - CRASHES
        if beyond < 0:
            return float("-inf")
        return self.at + min(LONGEST_S, HOLD_S * 2.0**beyond)


class Quarantine:
    """The calls that are suspected and those that are refused; `now` is monotonic seconds.

    `life` is the name of this life of the daemon, by which its crashes are told from all others.
    """

    def __init__(self, life: str = "") -> None:
        self._life = life
        self._count = 0
        self._noted: OrderedDict[str, _Noted] = OrderedDict()
        self._held: set[str] = set()
        self._own: set[str] = set()
        self._answered: OrderedDict[str, None] = OrderedDict()

    @property
    def holding(self) -> bool:
        """Return whether any call is refused: without one no identity need be worked out."""
        return bool(self._held)

    def held_s(self, now: float, call: str) -> float:
        """Return for how long calls like this one are refused yet, seconds; 0 if they are not."""
        if call not in self._held:
            return 0.0
        left_s = self._noted[call].held_until - now
        if left_s > 0.0:
            return left_s
        self._held.discard(call)
        return 0.0

    def is_suspect(self, call: str) -> bool:
        """Return whether an upstream has ended with a call like this one at work."""
        noted = self._noted.get(call)
        return noted is not None and bool(noted.crashes - noted.refuted)

    def is_own(self, call: str) -> bool:
        """Return whether the upstream beside this daemon has ended with such a call at work."""
        return call in self._own

    def crashed(self, now: float, calls: Iterable[str]) -> list[Suspect]:
        """Take in that the upstream beside this daemon ended with these at work; return the news.

        A call that it had answered before is not suspected for once: what many callers ask for is
        at work at most upstreams when a data centre loses power.
        """
        self._count += 1
        crash = f"{self._life}/{self._count}"
        news: list[Suspect] = []
        for call in calls:
            if call in self._answered:
                del self._answered[call]
                continue
            self._own.add(call)
            self._note(call, {crash}, set(), now)
            news.append(self._row(now, call))
        return news

    def answered(self, now: float, call: str) -> list[Suspect]:
        """Take in that the upstream beside this daemon has answered a call; return the news."""
        self._answered[call] = None
        self._answered.move_to_end(call)
        if len(self._answered) > MOST_ANSWERED:
            self._answered.popitem(last=False)
        if not self.is_suspect(call):
            return []
        noted = self._noted[call]
        self._note(call, set(), set(noted.crashes), noted.at)
        return [self._row(now, call)]

    def learned(self, now: float, rows: Iterable[Suspect]) -> list[str]:
        """Take in what another daemon knows; return the calls that are refused from now on."""
        held: list[str] = []
        for row in rows:
            call = row["call"]
            before = call in self._held
            at = now - row["age_ms"] / 1000
            self._note(call, set(row["crashes"]), set(row["refuted"]), at)
            if call in self._held and not before and self.held_s(now, call):
                held.append(call)
        return held

    def keep(self, now: float, rows: Iterable[Suspect]) -> None:
        """Take in what an earlier life of this daemon has seen."""
        for row in rows:
            self._own.add(row["call"])
        self.learned(now, rows)

    def rows(self, now: float, *, own: bool = False) -> list[Suspect]:
        """Return what a daemon that starts has to know; with `own`, what this one has seen."""
        found: list[Suspect] = []
        for call, noted in self._noted.items():
            if own and not (call in self._own and self.held_s(now, call)):
                continue
            if len(noted.crashes) >= CRASHES and now - noted.at < LONGEST_S:
                found.append(self._row(now, call))
        return found

    def _note(self, call: str, crashes: set[str], refuted: set[str], at: float) -> None:
        noted = self._noted.get(call)
        if noted is None:
            noted = self._noted[call] = _Noted()
        if crashes - noted.crashes:
            noted.at = max(noted.at, at)
            self._noted.move_to_end(call)
        noted.crashes |= crashes
        noted.refuted |= refuted
        if len(noted.crashes - noted.refuted) >= CRASHES:
            self._held.add(call)
        else:
            self._held.discard(call)
        while len(self._noted) > MOST_SUSPECTS:
            oldest, _ = self._noted.popitem(last=False)
            self._held.discard(oldest)
            self._own.discard(oldest)

    def _row(self, now: float, call: str) -> Suspect:
        noted = self._noted[call]
        return {
            "call": call,
            "crashes": sorted(noted.crashes),
            "refuted": sorted(noted.refuted),
            "age_ms": max(0, int((now - noted.at) * 1000)),
        }
