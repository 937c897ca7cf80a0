"""Which version of the configuration a daemon holds, and who reads the store; no I/O.

A few daemons of each data centre wait at the store for news and pass them on. Who they are follows
from the list of peers; whoever hears of no reader that hears from the store steps in.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from foldhoist.routing.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

READERS = 2
"""Daemons of each data centre that wait at the store."""
REPORT_INTERVAL_S = 0.5
"""Time between two words of a reader to its data centre, seconds."""
REPORT_TIMEOUT_S = 1.3
"""A reader that has said nothing for this long does not count, seconds."""
TAKEOVER_STEP_S = 0.25
"""Each place in the order waits this much longer before it steps in, seconds."""
NO_ANSWER_AGE_MS = 3_600_000
"""Age told by a daemon that the store does not answer, milliseconds."""


class Version(NamedTuple):
    """A whole configuration as the store keeps it; number 0 is none."""

    number: int
    content: bytes


class Reply(Enum):
    """What to answer a peer that tells which version it holds."""

    NOTHING = "nothing"
    CONTENT = "content"
    """It lacks what is held here."""
    NUMBER = "number"
    """It asked, and holds the same."""
    REQUEST = "request"
    """It holds what is lacking here."""


class CurrentVersion:
    """The version in force in one life of a daemon; it never goes back."""

    def __init__(self) -> None:
        self.version = Version(0, b"")
        self._refused: set[int] = set()

    def wants(self, number: int) -> bool:
        """Return whether a version is newer than what is in force, and not known as unusable.

        A daemon that starts while the newest version is unusable takes an older one from a peer.
        """
        return number > self.version.number and number not in self._refused

    def adopt(self, version: Version) -> None:
        """Put a wanted version in force."""
        self.version = version
        self._refused = {number for number in self._refused if number > version.number}

    def refuse(self, version: Version) -> None:
        """Note that a wanted version cannot be used: what is in force stays."""
        self._refused.add(version.number)

    def reply(self, number: int, asked: bool) -> Reply:
        """Return what to answer a peer that holds this version; `asked` if it wants an answer."""
        if number < self.version.number:
            return Reply.CONTENT
        if self.wants(number):
            return Reply.REQUEST
        return Reply.NUMBER if asked else Reply.NOTHING


class ReaderElection:
    """Who reads the store, as one daemon sees it; `now` is in seconds, monotonic."""

    def __init__(self, name: str, max_age_s: float) -> None:
        self.name = name
        self._max_age_s = max_age_s
        self._order: list[str] = [name]
        self._reports: dict[str, tuple[float, float]] = {}
        self._uncovered_since: float | None = None
        self._started_at: float | None = None

    def set_peers(self, names: Iterable[str]) -> None:
        """Take over the daemons of this data centre, this one included."""
        names = list(names)
        if len(names) == len(self._order) and set(names) == set(self._order):
            return
        self._order = ranked(names, "readers")

    def on_report(self, now: float, name: str, age_s: float) -> None:
        """Take in how long ago the store answered a peer."""
        self._reports[name] = (now, age_s)

    def should_read(self, now: float) -> bool:
        """Return whether this daemon is to wait at the store."""
        if self._started_at is None:
            self._started_at = now
        rank = self._order.index(self.name) if self.name in self._order else 0
        if rank < READERS:
            return True
        if self._covered(now):
            self._uncovered_since = None
            return False
        if self._uncovered_since is None:
            # A new life gives the readers the time between two words to tell that they read.
            self._uncovered_since = max(now, self._started_at + REPORT_INTERVAL_S)
        return now - self._uncovered_since >= (rank - READERS) * TAKEOVER_STEP_S

    def _covered(self, now: float) -> bool:
        for name, (reported_at, age_s) in self._reports.items():
            if name not in self._order or now - reported_at > REPORT_TIMEOUT_S:
                continue
            if age_s + (now - reported_at) <= self._max_age_s:
                return True
        return False
