"""Distribution of generations: readers per data centre, a fan-out tree, and requests to peers.

Answers carry the time since the last read of the log. When that is too long ago, further daemons
read the log, in the order of their ranks.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from foldhoist.routing.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from foldhoist.schema.messages import Held


PREFERRED_PEERS = 6
"""First daemons in the order of a data centre, which the others ask."""
RANDOM_PEER_SHARE = 0.25
"""Share of requests that go to a random peer of the data centre."""
MAX_UNANSWERED = 2
"""Requests in a row without an answer after which a peer is not asked for `SILENT_S`."""
SILENT_S = 10.0
"""Time for which a silent peer is not asked, if others can be, seconds."""
MAX_AGE_INTERVALS = 2.5
"""A daemon reads the log if the last known read is older than this many ask intervals."""
MAX_AGE_INTERVALS_PER_RANK = 0.05
"""Ask intervals added to that age for each rank in the order of the data centre."""


class Role(NamedTuple):
    """A daemon's role in the distribution; all daemons with one configuration derive the same.

    `children` get new generations from it; it asks the `preferred` peers. `others` are the other
    daemons of its data centre.
    """

    rank: int
    reader: bool
    children: tuple[str, ...]
    preferred: tuple[str, ...]
    others: tuple[str, ...]


UNLISTED = Role(0, True, (), (), ())
"""Role of a daemon without configuration, which reads the log."""


def role_of(
    name: str,
    by_data_centre: Mapping[str, list[str]],
    own_data_centre: str,
    readers: int,
    fanout: int,
) -> Role:
    """Return a daemon's role; readers push to the others through a tree with this fan-out."""
    order = ranked(by_data_centre.get(own_data_centre, []), own_data_centre)
    others = tuple(each for each in order if each != name)
    if name not in order:
        return Role(len(order), True, (), others[:PREFERRED_PEERS], others)
    at = order.index(name)
    first = readers + at * fanout
    children = tuple(order[first : first + fanout])
    preferred = [*_parent(order, at, readers, fanout), *order[:PREFERRED_PEERS]]
    if at < PREFERRED_PEERS:
        preferred += _remote_preferred(by_data_centre, own_data_centre)
    asked = tuple(dict.fromkeys(each for each in preferred if each != name))
    return Role(at, at < readers, children, asked, others)


class PeerSelector:
    """Selects peers to ask and tracks the last read of the log; `now` is monotonic seconds."""

    def __init__(self, name: str, ask_interval_s: float, rng: Random) -> None:
        self.name = name
        self.ask_interval_s = ask_interval_s
        self.role = UNLISTED
        self._rng = rng
        self._unanswered: dict[str, int] = {}
        self._silent_until: dict[str, float] = {}
        self._log_read_at = float("-inf")
        self._log_reader = ""

    def next_peer(self, now: float) -> str | None:
        """Return the peer to ask now, or None if there is none."""
        ask_random = self._rng.random() < RANDOM_PEER_SHARE
        names = self.role.others if ask_random else self.role.preferred
        candidates = self._not_silent(names, now) or self._not_silent(self.role.others, now)
        if not candidates:
            candidates = [*self.role.others]
        if not candidates:
            return None
        asked = candidates[int(self._rng.random() * len(candidates))]
        self._count_ask(asked, now)
        return asked

    def random_peers(self, count: int) -> list[str]:
        """Return up to `count` random peers of the data centre."""
        others = self.role.others
        return self._rng.sample(others, min(count, len(others)))

    def on_answer(self, now: float, held: Held, behind: bool) -> None:
        """Handle an answer; that of a peer that is `behind` does not count as a read of the log."""
        self._unanswered.pop(held["name"], None)
        self._silent_until.pop(held["name"], None)
        if behind or not held["reader"] or held["reader"] == self.name:
            return
        at = now - held["age_ms"] / 1000
        if at > self._log_read_at:
            self._log_read_at = at
            self._log_reader = held["reader"]

    def should_read(self, now: float) -> bool:
        """Return whether to read the log: by the role, or since the last known read is too old."""
        if self.role.reader:
            return True
        intervals = MAX_AGE_INTERVALS + MAX_AGE_INTERVALS_PER_RANK * self.role.rank
        return now - self._log_read_at > intervals * self.ask_interval_s

    def freshness(self, now: float, own_read: float) -> tuple[str, int]:
        """Return the last known reader of the log, empty if none, and the age of its read in ms."""
        at, reader = self._log_read_at, self._log_reader
        if own_read > at:
            at, reader = own_read, self.name
        if not reader:
            return "", 0
        return reader, int((now - at) * 1000)

    def _not_silent(self, names: tuple[str, ...], now: float) -> list[str]:
        return [each for each in names if self._silent_until.get(each, 0.0) <= now]

    def _count_ask(self, name: str, now: float) -> None:
        count = self._unanswered.get(name, 0) + 1
        self._unanswered[name] = count
        if count >= MAX_UNANSWERED:
            self._silent_until[name] = now + SILENT_S


def _parent(order: list[str], at: int, readers: int, fanout: int) -> list[str]:
    if at < readers:
        return []
    return [order[(at - readers) // fanout]]


def _remote_preferred(by_data_centre: Mapping[str, list[str]], own_data_centre: str) -> list[str]:
    remote: list[str] = []
    for data_centre, names in sorted(by_data_centre.items()):
        if data_centre != own_data_centre:
            remote += ranked(names, data_centre)[:2]
    return remote
