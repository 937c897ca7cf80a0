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

QUARANTINED = "ends-upstreams"
"""Reason of a call that is refused, or stopped, since upstreams have ended under calls like it."""
CRASH_THRESHOLD = 2
"""Crashes with a call at work, none refuted, from which on calls like it are refused.

An upstream takes seconds to come back. With one, every call that is lost with an upstream would be
refused when its caller sends it again. With three, where such calls came 60 ms apart and an
upstream ended 50 to 100 ms after it began, the last of four had one before the third had ended.
"""
QUARANTINE_S = 600.0
"""Calls are refused this long after the last such crash, seconds; twice as long with each more.

Long beside a restart, so that a call that is sent again and again seldom ends an upstream; short
beside a day, so that one that has been mended is served again without an operator.
"""
MAX_QUARANTINE_S = 86_400.0
"""Longest time for which calls are refused without another crash, seconds."""
MAX_SUSPECTS = 1024
"""Calls that are suspect; the one whose last crash is the oldest goes first.

A crash notes as many as the upstream has slots: about a hundred crashes.
"""
MAX_ANSWERED = 1024
"""Calls that are remembered as answered by the upstream beside this daemon; the oldest go first."""


class _CrashRecord:
    """What is known of one call; `at` is when its last crash was, monotonic seconds."""

    __slots__ = ("at", "crashes", "refuted")

    def __init__(self) -> None:
        self.crashes: set[str] = set()
        self.refuted: set[str] = set()
        self.at = float("-inf")

    @property
    def quarantined_until(self) -> float:
        """Return until when calls like it are refused, minus infinity for not at all."""
        beyond = len(self.crashes - self.refuted) - CRASH_THRESHOLD
        if beyond < 0:
            return float("-inf")
        return self.at + min(MAX_QUARANTINE_S, QUARANTINE_S * 2.0**beyond)


class Quarantine:
    """The calls that are suspected and those that are refused; `now` is monotonic seconds.

    `incarnation` identifies this run of the daemon and prefixes the names of its crashes.
    """

    def __init__(self, incarnation: str = "") -> None:
        self._incarnation = incarnation
        self._count = 0
        self._suspects: OrderedDict[str, _CrashRecord] = OrderedDict()
        self._quarantined: set[str] = set()
        self._own: set[str] = set()
        self._answered: OrderedDict[str, None] = OrderedDict()

    @property
    def active(self) -> bool:
        """Return whether any call is refused: without one no identity need be worked out."""
        return bool(self._quarantined)

    def remaining_s(self, now: float, call: str) -> float:
        """Return for how long calls like this one are refused yet, seconds; 0 if they are not."""
        if call not in self._quarantined:
            return 0.0
        left_s = self._suspects[call].quarantined_until - now
        if left_s > 0.0:
            return left_s
        self._quarantined.discard(call)
        return 0.0

    def is_suspect(self, call: str) -> bool:
        """Return whether an upstream has ended with a call like this one at work."""
        suspect = self._suspects.get(call)
        return suspect is not None and bool(suspect.crashes - suspect.refuted)

    def is_own(self, call: str) -> bool:
        """Return whether the upstream beside this daemon has ended with such a call at work."""
        return call in self._own

    def record_crash(self, now: float, calls: Iterable[str]) -> list[Suspect]:
        """Take in that the upstream beside this daemon ended with these at work; return the news.

        A call that it had answered before is not suspected for once: what many callers ask for is
        at work at most upstreams when a data centre loses power.
        """
        self._count += 1
        crash = f"{self._incarnation}/{self._count}"
        news: list[Suspect] = []
        for call in calls:
            if call in self._answered:
                del self._answered[call]
                continue
            self._own.add(call)
            self._note(call, {crash}, set(), now)
            news.append(self._row(now, call))
        return news

    def record_answer(self, now: float, call: str) -> list[Suspect]:
        """Take in that the upstream beside this daemon has answered a call; return the news."""
        self._answered[call] = None
        self._answered.move_to_end(call)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        if not self.is_suspect(call):
            return []
        suspect = self._suspects[call]
        self._note(call, set(), set(suspect.crashes), suspect.at)
        return [self._row(now, call)]

    def merge(self, now: float, rows: Iterable[Suspect]) -> list[str]:
        """Take in what another daemon knows; return the calls that are refused from now on."""
        held: list[str] = []
        for row in rows:
            call = row["call"]
            before = call in self._quarantined
            at = now - row["age_ms"] / 1000
            self._note(call, set(row["crashes"]), set(row["refuted"]), at)
            if call in self._quarantined and not before and self.remaining_s(now, call):
                held.append(call)
        return held

    def restore(self, now: float, rows: Iterable[Suspect]) -> None:
        """Take in what an earlier incarnation of this daemon has seen."""
        for row in rows:
            self._own.add(row["call"])
        self.merge(now, rows)

    def rows(self, now: float, *, own: bool = False) -> list[Suspect]:
        """Return what a daemon that starts has to know; with `own`, what this one has seen."""
        found: list[Suspect] = []
        for call, suspect in self._suspects.items():
            if own and not (call in self._own and self.remaining_s(now, call)):
                continue
            if len(suspect.crashes) >= CRASH_THRESHOLD and now - suspect.at < MAX_QUARANTINE_S:
                found.append(self._row(now, call))
        return found

    def _note(self, call: str, crashes: set[str], refuted: set[str], at: float) -> None:
        suspect = self._suspects.get(call)
        if suspect is None:
            suspect = self._suspects[call] = _CrashRecord()
        if crashes - suspect.crashes:
            suspect.at = max(suspect.at, at)
            self._suspects.move_to_end(call)
        suspect.crashes |= crashes
        suspect.refuted |= refuted
        if len(suspect.crashes - suspect.refuted) >= CRASH_THRESHOLD:
            self._quarantined.add(call)
        else:
            self._quarantined.discard(call)
        while len(self._suspects) > MAX_SUSPECTS:
            oldest, _ = self._suspects.popitem(last=False)
            self._quarantined.discard(oldest)
            self._own.discard(oldest)

    def _row(self, now: float, call: str) -> Suspect:
        suspect = self._suspects[call]
        return {
            "call": call,
            "crashes": sorted(suspect.crashes),
            "refuted": sorted(suspect.refuted),
            "age_ms": max(0, int((now - suspect.at) * 1000)),
        }
