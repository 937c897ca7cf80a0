"""The keeper's side of quotas: counts a customer's calls at all hosts and lends credit for them.

Every host owns an equal share of each quota and lends it to the one keeper that it asks. A keeper
therefore gains credit at the part of the rate whose owners lend to it: of two that are asked at
once, as when hosts do not reach each other, both together gain no more than the rate.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from foldhoist.admission.decaying_ratio import DecayingRatio
from foldhoist.customers.directory import Directory
from foldhoist.customers.seats import keepers, seats

if TYPE_CHECKING:
    from collections.abc import Collection

    from foldhoist.customers.directory import Customer
    from foldhoist.schema.messages import Credit, CreditAsk

BEGINS_WITH = 0.15
"""Share of the slack that a quota begins with here: what was lent before is not known.

Of a slack that several keepers may begin with, one after the other, within one window.
"""
ASLEEP_S = 0.3
"""A keeper that did nothing for this long has stood still: it gains nothing for that time, seconds.

Others have lent in its place.
"""
LENDS_S = 2.0
"""A host lends a keeper that is not the first its share for the time since it last asked.

For this long at most, seconds.
"""
SILENT_ASKS = 5.0
"""A host that misses so many questions in a row may be cut off, and ask another keeper.

By chance a host with a steady stream of calls is silent for as long once in 150 times.
"""
SILENT_S = 0.3
"""It has been silent for this long then, at least, seconds."""
ASKED_S = 1.0
"""Questions count by 1/e after this long, seconds."""
SILENT_LONGEST_S = 3.0
"""After this long it just has no calls, or its connection has fallen, seconds."""
SCARCE_SHARE = 0.5
"""With less than this share of its burst left a customer's calls go behind others."""
SCARCE_FROM = 10.0
"""Burst from which on that is judged: with a smaller one a single call uses much of it up."""
SOONEST_AGAIN_S = 0.01
"""Shortest time after which a caller is told to come back, seconds."""
LONGEST_AGAIN_S = 5.0
"""Longest time after which a caller is told to come back, seconds."""
DENIED_S = 1.0
"""Denials count by 1/e after this long, seconds: who comes back finds the others there."""


class Hosts(NamedTuple):
    """The hosts that a keeper knows, those connected to it, and those that it reaches."""

    known: Collection[str]
    connected: Collection[str]
    reached: Collection[str]


class _Asker:
    """What a host asks here; times are seconds of the keeper's own time."""

    __slots__ = ("asks", "at", "per_s")

    def __init__(self, at: float) -> None:
        self.at = at
        self.per_s = 0.0
        self.asks = DecayingRatio(at, ASKED_S)

    def asked(self, at: float) -> float:
        """Count a question; returns how long after the one before it comes."""
        gap_s = at - self.at
        self.at = at
        self.per_s = self.asks.total(at) / ASKED_S
        self.asks.count(at, 0.0)
        return gap_s

    def is_silent(self, at: float) -> bool:
        """Return whether questions that were to be expected have not come."""
        silence_s = at - self.at
        if not SILENT_S < silence_s <= SILENT_LONGEST_S:
            return False
        return silence_s * self.per_s > SILENT_ASKS


class _Bucket:
    """Credit of one customer that is left to lend; `at` is seconds of the keeper's own time."""

    __slots__ = ("askers", "at", "denied", "first", "level", "share")

    def __init__(self, level: float, at: float, first: bool) -> None:
        self.level = level
        self.at = at
        self.first = first
        self.share = 0.0
        self.askers: dict[str, _Asker] = {}
        self.denied = DecayingRatio(at, DENIED_S)


class Keeper:
    """Quotas that this host keeps; `now` is in seconds, monotonic."""

    def __init__(self, name: str, slack: float = 0.0) -> None:
        self.name = name
        self.slack = slack
        self.lent = 0
        self.denied = 0
        self._directory = Directory()
        self._buckets: dict[str, _Bucket] = {}
        self._hosts = Hosts((name,), (), ())
        self._seats: tuple[str, ...] = (name,)
        self._elsewhere: set[str] = set()
        self._firsts: frozenset[str] = frozenset()
        self._roles_of: tuple[Directory, tuple[str, ...], frozenset[str]] | None = None
        self._slept_s = 0.0
        self._awake_at: float | None = None

    def adopt(self, now: float, directory: Directory) -> None:
        """Take over a configuration; what has been lent stays lent."""
        self._settle(now)
        self._directory = directory
        self._take_roles()
        for name in list(self._buckets):
            customer = directory.named(name)
            if customer is None or not customer.limited:
                del self._buckets[name]

    def see(self, now: float, hosts: Hosts) -> None:
        """Take in which hosts there are; to be told often, also if nothing has changed."""
        self._settle(now)
        if hosts.known != self._hosts.known:
            self._seats = seats({*hosts.known, self.name})
        self._hosts = hosts
        self._elsewhere.intersection_update(hosts.connected)
        self._take_roles()
        at = self._time(now)
        for name in self._firsts:
            customer = self._directory.named(name)
            if customer is not None and name not in self._buckets:
                self._bucket(at, customer)
        self._settle(now)
        for bucket in self._buckets.values():
            bucket.share = self._share(at, bucket)

    def asked(self, now: float, host: str, ask: CreditAsk) -> Credit:
        """Lend what there is for the calls of a customer at a host."""
        if ask["elsewhere"]:
            self._settle(now)
            self._elsewhere.add(host)
            return _credit(ask)
        self._elsewhere.discard(host)
        customer = self._directory.named(ask["customer"])
        if customer is None:
            return _credit(ask, known=False)
        if not customer.limited:
            return _credit(ask, granted=ask["want"])
        at = self._time(now)
        bucket = self._bucket(at, customer)
        self._refill(at, customer, bucket)
        self._take_share(at, host, customer, bucket, ask["lends_ms"] / 1000)
        return self._lend(at, customer, bucket, ask)

    def levels(self) -> dict[str, float]:
        """Return the credit that is left of each customer that is asked for here."""
        return {name: bucket.level for name, bucket in self._buckets.items()}

    # Steps

    def _lend(self, at: float, customer: Customer, bucket: _Bucket, ask: CreditAsk) -> Credit:
        granted = min(ask["want"], int(bucket.level))
        bucket.level -= granted
        self.lent += granted
        missing = ask["want"] - granted
        again_s = 0.0
        if missing:
            self.denied += missing
            bucket.denied.count(at, 1.0, missing)
            again_s = self._again_s(at, customer, bucket)
        scarce = customer.burst >= SCARCE_FROM and bucket.level < SCARCE_SHARE * customer.burst
        return _credit(ask, granted=granted, again_s=again_s, scarce=scarce)

    def _again_s(self, at: float, customer: Customer, bucket: _Bucket) -> float:
        """Return when there is credit for one more beside those denied lately, seconds."""
        share = bucket.share or len(bucket.askers) / len(self._hosts.known)
        gained = customer.rate_per_s * share
        waiting = max(1.0, bucket.denied.total(at))
        again_s = (waiting - bucket.level) / gained
        return min(LONGEST_AGAIN_S, max(SOONEST_AGAIN_S, again_s))

    def _bucket(self, at: float, customer: Customer) -> _Bucket:
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            level = min(customer.most, self.slack * BEGINS_WITH)
            bucket = _Bucket(level, at, customer.name in self._firsts)
            self._buckets[customer.name] = bucket
        return bucket

    def _settle(self, now: float) -> None:
        """Give every quota what it has gained as things stood until now."""
        at = self._time(now)
        for name, bucket in list(self._buckets.items()):
            customer = self._directory.named(name)
            if customer is None:
                continue
            self._refill(at, customer, bucket)
            if not bucket.first and not bucket.askers:
                del self._buckets[name]

    def _refill(self, at: float, customer: Customer, bucket: _Bucket) -> None:
        gained = customer.rate_per_s * bucket.share * (at - bucket.at)
        bucket.at = at
        bucket.level = min(customer.most, bucket.level + gained)
        first = customer.name in self._firsts
        if first and not bucket.first:
            # Another has lent until now, how much is not known.
            bucket.level = min(bucket.level, self.slack * BEGINS_WITH)
        bucket.first = first

    def _take_share(
        self, at: float, host: str, customer: Customer, bucket: _Bucket, lends_s: float
    ) -> None:
        """Take what a host that asks here lends, if hosts do not do that by being connected."""
        asker = bucket.askers.get(host)
        if asker is None:
            bucket.askers[host] = asker = _Asker(at)
        gap_s = asker.asked(at)
        if bucket.first:
            return
        lent_s = min(gap_s, lends_s, LENDS_S)
        lent = customer.rate_per_s * lent_s / len(self._hosts.known)
        bucket.level = min(customer.most, bucket.level + lent)

    def _share(self, at: float, bucket: _Bucket) -> float:
        """Return the part of a quota whose owners lend it to this keeper all the time."""
        for host, asker in list(bucket.askers.items()):
            if at - asker.at > SILENT_LONGEST_S:
                del bucket.askers[host]
        if not bucket.first:
            return 0.0
        silent = {host for host, asker in bucket.askers.items() if asker.is_silent(at)}
        lenders = {self.name, *self._hosts.connected} - self._elsewhere - silent
        return min(1.0, len(lenders) / (len(self._hosts.known) or 1))

    def _take_roles(self) -> None:
        """Work out whose quotas hosts bring here first, if something has changed."""
        reached = frozenset(self._seats).intersection(self._hosts.reached)
        roles_of = (self._directory, self._seats, reached)
        if roles_of == self._roles_of:
            return
        self._roles_of = roles_of
        limited = (each.name for each in self._directory.customers() if each.limited)
        self._firsts = frozenset(name for name in limited if self._is_first(name))

    def _is_first(self, customer: str) -> bool:
        """Return whether hosts turn to this keeper first, as far as it sees."""
        for name in keepers(customer, self._seats):
            if name == self.name:
                return True
            if name in self._hosts.reached:
                return False
        return False

    def _time(self, now: float) -> float:
        """Return the seconds for which this keeper has been awake."""
        if self._awake_at is not None and now - self._awake_at > ASLEEP_S:
            self._slept_s += now - self._awake_at
        self._awake_at = now
        return now - self._slept_s


def _credit(
    ask: CreditAsk,
    *,
    known: bool = True,
    granted: int = 0,
    again_s: float = 0.0,
    scarce: bool = False,
) -> Credit:
    return {
        "ask": ask["ask"],
        "known": known,
        "granted": granted,
        "again_ms": int(again_s * 1000),
        "scarce": scarce,
    }
