"""The keeper's side of quotas: counts a customer's calls at all hosts and lends credit for them.

Every host owns an equal share of each quota and lends it to the one keeper that it asks. A keeper
therefore gains credit at the part of the rate whose owners lend to it: of two that are asked at
once, as when hosts do not reach each other, both together gain no more than the rate.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from foldhoist.admission.fading import FadingShare
from foldhoist.customers.candidates import quota_server_candidates, ranked_servers
from foldhoist.customers.directory import Directory

if TYPE_CHECKING:
    from collections.abc import Collection

    from foldhoist.customers.directory import Customer
    from foldhoist.schema.messages import Credit, CreditAsk

INITIAL_SLACK_SHARE = 0.15
"""Share of the slack that a quota begins with here: what was lent before is not known.

Of a slack that several keepers may begin with, one after the other, within one window.
"""
STALL_S = 0.3
"""A keeper that did nothing for this long has stood still: it gains nothing for that time, seconds.

Others have lent in its place.
"""
MAX_LENT_S = 2.0
"""A host lends a keeper that is not the first its share for the time since it last asked.

For this long at most, seconds.
"""
MISSED_ASKS = 5.0
"""A host that misses so many questions in a row may be cut off, and ask another keeper.

By chance a host with a steady stream of calls is silent for as long once in 150 times.
"""
MIN_SILENCE_S = 0.3
"""It has been silent for this long then, at least, seconds."""
ASKS_DECAY_S = 1.0
"""Questions count by 1/e after this long, seconds."""
MAX_SILENCE_S = 3.0
"""After this long it just has no calls, or its connection has fallen, seconds."""
OVER_BURST_SHARE = 0.5
"""With less than this share of its burst left a customer's calls go behind others."""
OVER_BURST_MIN_BURST = 10.0
"""Burst from which on that is judged: with a smaller one a single call uses much of it up."""
MIN_RETRY_AFTER_S = 0.01
"""Shortest time after which a caller is told to come back, seconds."""
MAX_RETRY_AFTER_S = 5.0
"""Longest time after which a caller is told to come back, seconds."""
DENIALS_DECAY_S = 1.0
"""Denials count by 1/e after this long, seconds: who comes back finds the others there."""


class Hosts(NamedTuple):
    """The hosts that a keeper knows, those connected to it, and those that it reaches."""

    known: Collection[str]
    connected: Collection[str]
    reached: Collection[str]


class _AskingHost:
    """What a host asks here; times are seconds of the keeper's own time."""

    __slots__ = ("asks", "asks_per_s", "at")

    def __init__(self, at: float) -> None:
        self.at = at
        self.asks_per_s = 0.0
        self.asks = FadingShare(at, ASKS_DECAY_S)

    def count_ask(self, at: float) -> float:
        """Count a question; returns how long after the one before it comes."""
        gap_s = at - self.at
        self.at = at
        self.asks_per_s = self.asks.counted(at) / ASKS_DECAY_S
        self.asks.count(at, 0.0)
        return gap_s

    def is_silent(self, at: float) -> bool:
        """Return whether questions that were to be expected have not come."""
        silence_s = at - self.at
        if not MIN_SILENCE_S < silence_s <= MAX_SILENCE_S:
            return False
        return silence_s * self.asks_per_s > MISSED_ASKS


class _Bucket:
    """Credit of one customer that is left to lend; `at` is seconds of the keeper's own time."""

    __slots__ = ("asking_hosts", "at", "denials", "level", "primary", "rate_share")

    def __init__(self, level: float, at: float, primary: bool) -> None:
        self.level = level
        self.at = at
        self.primary = primary
        self.rate_share = 0.0
        self.asking_hosts: dict[str, _AskingHost] = {}
        self.denials = FadingShare(at, DENIALS_DECAY_S)


class QuotaServer:
    """Quotas that this host keeps; `now` is in seconds, monotonic."""

    def __init__(self, name: str, slack: float = 0.0) -> None:
        self.name = name
        self.slack = slack
        self.granted_total = 0
        self.denied = 0
        self._directory = Directory()
        self._buckets: dict[str, _Bucket] = {}
        self._hosts = Hosts((name,), (), ())
        self._candidates: tuple[str, ...] = (name,)
        self._asking_elsewhere: set[str] = set()
        self._primary_for: frozenset[str] = frozenset()
        self._roles_input: tuple[Directory, tuple[str, ...], frozenset[str]] | None = None
        self._stalled_s = 0.0
        self._last_active_at: float | None = None

    def adopt(self, now: float, directory: Directory) -> None:
        """Take over a configuration; what has been lent stays lent."""
        self._refill_all(now)
        self._directory = directory
        self._update_roles()
        for name in list(self._buckets):
            customer = directory.named(name)
            if customer is None or not customer.limited:
                del self._buckets[name]

    def update_hosts(self, now: float, hosts: Hosts) -> None:
        """Take in which hosts there are; to be told often, also if nothing has changed."""
        self._refill_all(now)
        if hosts.known != self._hosts.known:
            self._candidates = quota_server_candidates({*hosts.known, self.name})
        self._hosts = hosts
        self._asking_elsewhere.intersection_update(hosts.connected)
        self._update_roles()
        at = self._active_time(now)
        for name in self._primary_for:
            customer = self._directory.named(name)
            if customer is not None and name not in self._buckets:
                self._bucket(at, customer)
        self._refill_all(now)
        for bucket in self._buckets.values():
            bucket.rate_share = self._rate_share(at, bucket)

    def on_ask(self, now: float, host: str, ask: CreditAsk) -> Credit:
        """Lend what there is for the calls of a customer at a host."""
        if ask["elsewhere"]:
            self._refill_all(now)
            self._asking_elsewhere.add(host)
            return _credit(ask)
        self._asking_elsewhere.discard(host)
        customer = self._directory.named(ask["customer"])
        if customer is None:
            return _credit(ask, known=False)
        if not customer.limited:
            return _credit(ask, granted=ask["want"])
        at = self._active_time(now)
        bucket = self._bucket(at, customer)
        self._refill(at, customer, bucket)
        self._add_lent_share(at, host, customer, bucket, ask["lends_ms"] / 1000)
        return self._grant(at, customer, bucket, ask)

    def levels(self) -> dict[str, float]:
        """Return the credit that is left of each customer that is asked for here."""
        return {name: bucket.level for name, bucket in self._buckets.items()}

    # Steps

    def _grant(self, at: float, customer: Customer, bucket: _Bucket, ask: CreditAsk) -> Credit:
        granted = min(ask["want"], int(bucket.level))
        bucket.level -= granted
        self.granted_total += granted
        missing = ask["want"] - granted
        retry_after_s = 0.0
        if missing:
            self.denied += missing
            bucket.denials.count(at, 1.0, missing)
            retry_after_s = self._retry_after_s(at, customer, bucket)
        over_burst = (
            customer.burst >= OVER_BURST_MIN_BURST
            and bucket.level < OVER_BURST_SHARE * customer.burst
        )
        return _credit(ask, granted=granted, retry_after_s=retry_after_s, over_burst=over_burst)

    def _retry_after_s(self, at: float, customer: Customer, bucket: _Bucket) -> float:
        """Return when there is credit for one more beside those denied lately, seconds."""
        rate_share = bucket.rate_share or len(bucket.asking_hosts) / len(self._hosts.known)
        gained = customer.rate_per_s * rate_share
        waiting = max(1.0, bucket.denials.counted(at))
        retry_after_s = (waiting - bucket.level) / gained
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s))

    def _bucket(self, at: float, customer: Customer) -> _Bucket:
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            level = min(customer.max_credit, self.slack * INITIAL_SLACK_SHARE)
            bucket = _Bucket(level, at, customer.name in self._primary_for)
            self._buckets[customer.name] = bucket
        return bucket

    def _refill_all(self, now: float) -> None:
        """Give every quota what it has gained as things stood until now."""
        at = self._active_time(now)
        for name, bucket in list(self._buckets.items()):
            customer = self._directory.named(name)
            if customer is None:
                continue
            self._refill(at, customer, bucket)
            if not bucket.primary and not bucket.asking_hosts:
                del self._buckets[name]

    def _refill(self, at: float, customer: Customer, bucket: _Bucket) -> None:
        gained = customer.rate_per_s * bucket.rate_share * (at - bucket.at)
        bucket.at = at
        bucket.level = min(customer.max_credit, bucket.level + gained)
        primary = customer.name in self._primary_for
        if primary and not bucket.primary:
            # Another has lent until now, how much is not known.
            bucket.level = min(bucket.level, self.slack * INITIAL_SLACK_SHARE)
        bucket.primary = primary

    def _add_lent_share(
        self, at: float, host: str, customer: Customer, bucket: _Bucket, lends_s: float
    ) -> None:
        """Take what a host that asks here lends, if hosts do not do that by being connected."""
        asking = bucket.asking_hosts.get(host)
        if asking is None:
            bucket.asking_hosts[host] = asking = _AskingHost(at)
        gap_s = asking.count_ask(at)
        if bucket.primary:
            return
        lent_s = min(gap_s, lends_s, MAX_LENT_S)
        lent = customer.rate_per_s * lent_s / len(self._hosts.known)
        bucket.level = min(customer.max_credit, bucket.level + lent)

    def _rate_share(self, at: float, bucket: _Bucket) -> float:
        """Return the part of a quota whose owners lend it to this keeper all the time."""
        for host, asking in list(bucket.asking_hosts.items()):
            if at - asking.at > MAX_SILENCE_S:
                del bucket.asking_hosts[host]
        if not bucket.primary:
            return 0.0
        silent = {host for host, asking in bucket.asking_hosts.items() if asking.is_silent(at)}
        lenders = {self.name, *self._hosts.connected} - self._asking_elsewhere - silent
        return min(1.0, len(lenders) / (len(self._hosts.known) or 1))

    def _update_roles(self) -> None:
        """Work out whose quotas hosts bring here first, if something has changed."""
        reached = frozenset(self._candidates).intersection(self._hosts.reached)
        roles_input = (self._directory, self._candidates, reached)
        if roles_input == self._roles_input:
            return
        self._roles_input = roles_input
        limited = (each.name for each in self._directory.customers() if each.limited)
        self._primary_for = frozenset(name for name in limited if self._is_primary(name))

    def _is_primary(self, customer: str) -> bool:
        """Return whether hosts turn to this keeper first, as far as it sees."""
        for name in ranked_servers(customer, self._candidates):
            if name == self.name:
                return True
            if name in self._hosts.reached:
                return False
        return False

    def _active_time(self, now: float) -> float:
        """Return the seconds for which this keeper has been awake."""
        if self._last_active_at is not None and now - self._last_active_at > STALL_S:
            self._stalled_s += now - self._last_active_at
        self._last_active_at = now
        return now - self._stalled_s


def _credit(
    ask: CreditAsk,
    *,
    known: bool = True,
    granted: int = 0,
    retry_after_s: float = 0.0,
    over_burst: bool = False,
) -> Credit:
    return {
        "ask": ask["ask"],
        "known": known,
        "granted": granted,
        "again_ms": int(retry_after_s * 1000),
        "scarce": over_burst,
    }
