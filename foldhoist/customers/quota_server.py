"""The quota server: counts a customer's calls at all hosts and grants credit for them.

Each host has an equal share of every quota and lends it to one quota server at a time: to a
customer's primary server by being connected to it, to another server by asking it. A server gains
credit at the rate of the shares lent to it. Two servers that are asked at the same time, as in a
network partition, together gain no more than the customer's rate.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from foldhoist.admission.decaying_ratio import DecayingRatio
from foldhoist.customers.candidates import quota_server_candidates, ranked_servers
from foldhoist.customers.directory import Directory

if TYPE_CHECKING:
    from collections.abc import Collection

    from foldhoist.customers.directory import Customer
    from foldhoist.schema.messages import Credit, CreditAsk

INITIAL_SLACK_SHARE = 0.15
"""Share of the slack that a bucket starts with, since earlier grants by others are unknown.

A part only, as several servers may start a bucket of the same quota within one window.
"""
STALL_S = 0.3
"""A longer gap in activity is a stall, seconds: the server gains no credit for that time.

Other servers may have granted credit meanwhile.
"""
MAX_LENT_S = 2.0
"""Longest time for which one request lends a host's share to a non-primary server, seconds."""
MISSED_ASKS = 5.0
"""A host is silent if more than this many expected requests are missing.

It may be cut off and may ask another quota server. By chance a host with a steady stream of calls
is silent for as long once in 150 times.
"""
MIN_SILENCE_S = 0.3
"""A host without requests for up to this long is not silent, seconds."""
ASKS_DECAY_S = 1.0
"""Time constant of the decaying count of requests, seconds."""
MAX_SILENCE_S = 3.0
"""After a longer silence a host is taken to have no calls, or is disconnected, seconds."""
OVER_BURST_SHARE = 0.5
"""A customer with less than this share of its burst left is over its burst."""
OVER_BURST_MIN_BURST = 10.0
"""Smallest burst for which that is reported; one call uses much of a smaller one."""
MIN_RETRY_AFTER_S = 0.01
"""Shortest retry-after of a denial, seconds."""
MAX_RETRY_AFTER_S = 5.0
"""Longest retry-after of a denial, seconds."""
DENIALS_DECAY_S = 1.0
"""Time constant of the decaying count of denials, which are expected to be retried, seconds."""


class Hosts(NamedTuple):
    """The hosts known to a server, those connected to it, and those it is connected to."""

    known: Collection[str]
    connected: Collection[str]
    reached: Collection[str]


class _AskingHost:
    """Rate and time of a host's requests; times are in the server's active time, seconds."""

    __slots__ = ("asks", "asks_per_s", "last_ask_at")

    def __init__(self, at: float) -> None:
        self.last_ask_at = at
        self.asks_per_s = 0.0
        self.asks = DecayingRatio(at, ASKS_DECAY_S)

    def count_ask(self, at: float) -> float:
        """Count a request; returns the time since the one before it, seconds."""
        gap_s = at - self.last_ask_at
        self.last_ask_at = at
        self.asks_per_s = self.asks.total(at) / ASKS_DECAY_S
        self.asks.count(at, 0.0)
        return gap_s

    def is_silent(self, at: float) -> bool:
        """Return whether expected requests are missing."""
        silence_s = at - self.last_ask_at
        if not MIN_SILENCE_S < silence_s <= MAX_SILENCE_S:
            return False
        return silence_s * self.asks_per_s > MISSED_ASKS


class _Bucket:
    """One customer's credit; `refilled_at` is in the server's active time, seconds."""

    __slots__ = ("asking_hosts", "denials", "level", "primary", "rate_share", "refilled_at")

    def __init__(self, level: float, at: float, primary: bool) -> None:
        self.level = level
        self.refilled_at = at
        self.primary = primary
        self.rate_share = 0.0
        self.asking_hosts: dict[str, _AskingHost] = {}
        self.denials = DecayingRatio(at, DENIALS_DECAY_S)


class QuotaServer:
    """Grants credit of the quotas that this host serves; `now` is in monotonic seconds.

    `slack` is how many calls beyond its quota a customer may run in a window, at all hosts.
    """

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
        """Apply a configuration; levels of customers that still have a quota are kept."""
        self._refill_all(now)
        self._directory = directory
        self._update_roles()
        for name in list(self._buckets):
            customer = directory.named(name)
            if customer is None or not customer.limited:
                del self._buckets[name]

    def update_hosts(self, now: float, hosts: Hosts) -> None:
        """Update the hosts and refill all buckets.

        To be called more often than every `STALL_S`, also without changes: a longer gap in activity
        counts as a stall.
        """
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
        """Grant available credit for a customer's calls, or record that the host asks elsewhere."""
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
        """Return the remaining credit of each customer with a bucket here, in calls."""
        return {name: bucket.level for name, bucket in self._buckets.items()}

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
        """Return the time until credit covers the calls denied lately, seconds, within bounds."""
        rate_share = bucket.rate_share or len(bucket.asking_hosts) / len(self._hosts.known)
        gained = customer.rate_per_s * rate_share
        waiting = max(1.0, bucket.denials.total(at))
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
        """Refill all buckets up to now, and drop non-primary ones without asking hosts."""
        at = self._active_time(now)
        for name, bucket in list(self._buckets.items()):
            customer = self._directory.named(name)
            if customer is None:
                continue
            self._refill(at, customer, bucket)
            if not bucket.primary and not bucket.asking_hosts:
                del self._buckets[name]

    def _refill(self, at: float, customer: Customer, bucket: _Bucket) -> None:
        gained = customer.rate_per_s * bucket.rate_share * (at - bucket.refilled_at)
        bucket.refilled_at = at
        bucket.level = min(customer.max_credit, bucket.level + gained)
        primary = customer.name in self._primary_for
        if primary and not bucket.primary:
            # Another server has granted credit until now; how much is unknown.
            bucket.level = min(bucket.level, self.slack * INITIAL_SLACK_SHARE)
        bucket.primary = primary

    def _add_lent_share(
        self, at: float, host: str, customer: Customer, bucket: _Bucket, lends_s: float
    ) -> None:
        """Count a request, and add the share that it lends to a server that is not primary.

        A primary server is lent shares through connections instead.
        """
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
        """Return the share of a quota that connected hosts lend to this server, 0 to 1.

        It is 0 unless this server is primary.
        Hosts without requests for `MAX_SILENCE_S` are removed from the asking hosts.
        """
        for host, asking in list(bucket.asking_hosts.items()):
            if at - asking.last_ask_at > MAX_SILENCE_S:
                del bucket.asking_hosts[host]
        if not bucket.primary:
            return 0.0
        silent = {host for host, asking in bucket.asking_hosts.items() if asking.is_silent(at)}
        lenders = {self.name, *self._hosts.connected} - self._asking_elsewhere - silent
        return min(1.0, len(lenders) / (len(self._hosts.known) or 1))

    def _update_roles(self) -> None:
        """Find the customers whose primary server this is, if the inputs have changed."""
        reached = frozenset(self._candidates).intersection(self._hosts.reached)
        roles_input = (self._directory, self._candidates, reached)
        if roles_input == self._roles_input:
            return
        self._roles_input = roles_input
        limited = (each.name for each in self._directory.customers() if each.limited)
        self._primary_for = frozenset(name for name in limited if self._is_primary(name))

    def _is_primary(self, customer: str) -> bool:
        """Return whether this is the first reachable server of a customer, as seen from here."""
        for name in ranked_servers(customer, self._candidates):
            if name == self.name:
                return True
            if name in self._hosts.reached:
                return False
        return False

    def _active_time(self, now: float) -> float:
        """Return `now` less the time spent in stalls, seconds."""
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
