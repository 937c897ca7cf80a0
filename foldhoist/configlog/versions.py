"""The version of the configuration that a daemon holds, and the election of readers; no I/O.

A few daemons of each data centre wait for changes in the store and pass them on. The list of peers
determines the readers. If no reader reports an answer of the store, other daemons take over.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from foldhoist.routing.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

READERS = 2
"""Daemons of each data centre that always read the store."""
REPORT_INTERVAL_S = 0.5
"""Interval of a reader's reports to its data centre, seconds."""
REPORT_TIMEOUT_S = 1.3
"""A report older than this does not count, seconds."""
SHORTEST_WAIT_SHARE = 0.5
"""Shortest wait of a read as a share of the time between two readers' reads."""
TAKEOVER_STEP_S = 0.25
"""Additional delay of the takeover for each rank behind the readers, seconds."""
NO_ANSWER_AGE_MS = 3_600_000
"""Age reported by a daemon that the store does not answer, the greatest one, milliseconds."""


class Version(NamedTuple):
    """A complete configuration as stored; number 0 means none."""

    number: int
    content: bytes


class Reply(Enum):
    """The answer to a peer that reports the version it holds."""

    NOTHING = "nothing"
    CONTENT = "content"
    """Send the content: the peer holds an older version."""
    NUMBER = "number"
    """Send the number: the peer asked, and there is nothing else to send."""
    REQUEST = "request"
    """Request the content: the peer holds a newer version."""


class CurrentVersion:
    """The version in force in one incarnation of a daemon; its number never decreases."""

    def __init__(self) -> None:
        self.version = Version(0, b"")
        self._unusable: set[int] = set()

    def wants(self, number: int) -> bool:
        """Return whether a version is newer than the one in force and not known to be unusable.

        A daemon that starts while the newest version is unusable takes an older one from a peer.
        """
        return number > self.version.number and number not in self._unusable

    def adopt(self, version: Version) -> None:
        """Put a wanted version in force."""
        self.version = version
        self._unusable = {number for number in self._unusable if number > version.number}

    def mark_unusable(self, version: Version) -> None:
        """Mark a wanted version as unusable; the version in force stays."""
        self._unusable.add(version.number)

    def reply(self, number: int, asked: bool) -> Reply:
        """Return the answer to a peer that holds this version; `asked` if it wants an answer."""
        if number < self.version.number:
            return Reply.CONTENT
        if self.wants(number):
            return Reply.REQUEST
        return Reply.NUMBER if asked else Reply.NOTHING


class ReaderElection:
    """Decides whether a daemon reads the store; `now` is in monotonic seconds.

    A report counts while the store's last answer to its sender is at most `max_age_s` old.
    """

    def __init__(self, name: str, max_age_s: float) -> None:
        self.name = name
        self._max_age_s = max_age_s
        self._order: list[str] = [name]
        self._reports: dict[str, tuple[float, float]] = {}
        self._uncovered_since: float | None = None
        self._started_at: float | None = None

    def set_peers(self, names: Iterable[str]) -> None:
        """Set the daemons of this data centre, this one included."""
        names = list(names)
        if len(names) == len(self._order) and set(names) == set(self._order):
            return
        self._order = ranked(names, "readers")

    def on_report(self, now: float, name: str, age_s: float) -> None:
        """Handle a peer's report that the store answered it `age_s` ago."""
        self._reports[name] = (now, age_s)

    def should_read(self, now: float) -> bool:
        """Return whether this daemon should read the store."""
        if self._started_at is None:
            self._started_at = now
        rank = self._order.index(self.name) if self.name in self._order else 0
        if rank < READERS:
            return True
        if self._covered(now):
            self._uncovered_since = None
            return False
        if self._uncovered_since is None:
            # After a start, wait for one report interval, so that readers can report.
            self._uncovered_since = max(now, self._started_at + REPORT_INTERVAL_S)
        return now - self._uncovered_since >= (rank - READERS) * TAKEOVER_STEP_S

    def poll_wait_s(self, now: float, cycle_s: float, has_news: bool) -> float:
        """Return how long this reader's next read may wait for news, seconds.

        The readers read in turn, each once in `cycle_s`, so that one of them soon begins a read
        while the others wait on connections that have gone silent. A reader alone reads as often
        as all of them. `has_news`: the last read returned news, as those of the others then did.
        """
        step_s = cycle_s / READERS
        first, *others = self._order[:READERS]
        if self.name == first:
            return cycle_s if any(self._reports_now(now, name) for name in others) else step_s
        if self.name not in others or not self._reports_now(now, first):
            return step_s
        offset_s = step_s * (1 + others.index(self.name))
        if has_news:
            return offset_s
        reported_at, age_s = self._reports[first]
        due = reported_at - age_s + offset_s
        shortest_s = step_s * SHORTEST_WAIT_SHARE
        return shortest_s + (due - now - shortest_s) % cycle_s

    def _covered(self, now: float) -> bool:
        return any(name in self._order and self._reports_now(now, name) for name in self._reports)

    def _reports_now(self, now: float, name: str) -> bool:
        """Return whether a daemon's last report counts."""
        if name not in self._reports:
            return False
        reported_at, age_s = self._reports[name]
        since_s = now - reported_at
        return since_s <= REPORT_TIMEOUT_S and age_s + since_s <= self._max_age_s
