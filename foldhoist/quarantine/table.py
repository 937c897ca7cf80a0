"""Calls under which upstreams have crashed, merged from all daemons; no I/O, no clock.

Each daemon records the calls that were running when its own upstream crashed and sends them to the
others. Per call, the crashes and the refuted crashes are sets that only grow, so daemons that have
merged the same rows agree, in whatever order and however often they came.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foldhoist.schema.messages import Suspect

QUARANTINED = "ends-upstreams"
"""Reason of a call that is refused or cancelled because upstreams crashed under such calls."""
CRASH_THRESHOLD = 2
"""Number of unrefuted crashes from which on a call is quarantined.

An upstream takes seconds to come back. One would quarantine every call that was lost with an
upstream as soon as it is retried. A higher number would let such calls crash more upstreams before
the crashes become known.
"""
QUARANTINE_S = 600.0
"""Length of a quarantine after the last crash, seconds; doubled with each further crash.

Long compared with a restart of an upstream; short enough that a corrected request is served again
without an operator.
"""
MAX_QUARANTINE_S = 86_400.0
"""Longest quarantine without another crash, seconds."""
MAX_SUSPECTS = 1024
"""Calls kept with their crashes; the one without a new crash for longest is dropped first."""
MAX_ANSWERED = 1024
"""Calls remembered as answered by the upstream of this daemon; the oldest are dropped."""


class _CrashRecord:
    """The crashes under one call; `at` is the time of the last one, monotonic seconds."""

    __slots__ = ("at", "crashes", "refuted")

    def __init__(self) -> None:
        self.crashes: set[str] = set()
        self.refuted: set[str] = set()
        self.at = float("-inf")

    @property
    def quarantined_until(self) -> float:
        """Return the end of the quarantine, monotonic seconds; minus infinity if there is none."""
        excess = len(self.crashes - self.refuted) - CRASH_THRESHOLD
        if excess < 0:
            return float("-inf")
        return self.at + min(MAX_QUARANTINE_S, QUARANTINE_S * 2.0**excess)


class Quarantine:
    """Suspect and quarantined calls, by identity; `now` is monotonic seconds.

    `incarnation` names this incarnation of the daemon and makes the names of its crashes unique.
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
        """Return False only if no call is quarantined: then identities need not be computed.

        A quarantine that has ended counts until its call is looked up.
        """
        return bool(self._quarantined)

    def remaining_s(self, now: float, call: str) -> float:
        """Return how many seconds the call stays quarantined; 0 if it is not."""
        if call not in self._quarantined:
            return 0.0
        left_s = self._suspects[call].quarantined_until - now
        if left_s > 0.0:
            return left_s
        self._quarantined.discard(call)
        return 0.0

    def is_suspect(self, call: str) -> bool:
        """Return whether the call has a crash that is not refuted."""
        suspect = self._suspects.get(call)
        return suspect is not None and bool(suspect.crashes - suspect.refuted)

    def is_own(self, call: str) -> bool:
        """Return whether a crash of the upstream of this daemon was recorded for the call.

        Crashes that an earlier incarnation of the daemon has stored count, too.
        """
        return call in self._own

    def record_crash(self, now: float, calls: Iterable[str]) -> list[Suspect]:
        """Record a crash of the upstream of this daemon under these calls; return the changed rows.

        A call that the upstream had answered before is exempt once: when a data centre loses power,
        calls that many callers make are running at most upstreams.
        """
        self._count += 1
        crash = f"{self._incarnation}/{self._count}"
        changed: list[Suspect] = []
        for call in calls:
            if call in self._answered:
                del self._answered[call]
                continue
            self._own.add(call)
            self._merge_row(call, {crash}, set(), now)
            changed.append(self._row(now, call))
        return changed

    def record_answer(self, now: float, call: str) -> list[Suspect]:
        """Record that the upstream of this daemon answered a call; return the changed rows.

        The answer refutes all crashes known for this call.
        """
        self._answered[call] = None
        self._answered.move_to_end(call)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        if not self.is_suspect(call):
            return []
        suspect = self._suspects[call]
        self._merge_row(call, set(), set(suspect.crashes), suspect.at)
        return [self._row(now, call)]

    def merge(self, now: float, rows: Iterable[Suspect]) -> list[str]:
        """Merge the rows of another daemon; return the calls that are newly quarantined."""
        quarantined: list[str] = []
        for row in rows:
            call = row["call"]
            before = call in self._quarantined
            at = now - row["age_ms"] / 1000
            self._merge_row(call, set(row["crashes"]), set(row["refuted"]), at)
            if call in self._quarantined and not before and self.remaining_s(now, call):
                quarantined.append(call)
        return quarantined

    def restore(self, now: float, rows: Iterable[Suspect]) -> None:
        """Merge the rows that an earlier incarnation of this daemon has stored."""
        for row in rows:
            self._own.add(row["call"])
        self.merge(now, rows)

    def rows(self, now: float, *, own: bool = False) -> list[Suspect]:
        """Return the rows to send to a daemon that connects.

        These are calls with at least `CRASH_THRESHOLD` crashes, refuted or not, the last one less
        than `MAX_QUARANTINE_S` ago. With `own`, only those that are quarantined now and have
        crashed the upstream of this daemon, for the store.
        """
        found: list[Suspect] = []
        for call, suspect in self._suspects.items():
            if own and not (call in self._own and self.remaining_s(now, call)):
                continue
            if len(suspect.crashes) >= CRASH_THRESHOLD and now - suspect.at < MAX_QUARANTINE_S:
                found.append(self._row(now, call))
        return found

    def _merge_row(self, call: str, crashes: set[str], refuted: set[str], at: float) -> None:
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
