"""The quota server: counts a customer's calls at all hosts and grants credit for them.

Each host has an equal share of every quota and lends it to one quota server at a time: to the first
that it says it may ask, or to another one by asking it. A server gains credit at the rate of the
shares lent to it, and its burst is limited to these shares. Two servers that are asked at the same
time, as in a network partition or by hosts that know different hosts, together gain no more than
the customer's rate.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from foldhoist.customers.directory import Directory
from foldhoist.customers.lenders import Lenders
from foldhoist.customers.quota_bucket import MAX_SILENCE_S, AskingHost, Bucket

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

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
"""Longest time for which one request lends a host's share, seconds."""
OVER_BURST_SHARE = 0.5
"""A customer with less than this share of its burst left is over its burst."""
OVER_BURST_MIN_BURST = 10.0
"""Smallest burst for which that is reported; one call uses much of a smaller one."""
MIN_RETRY_AFTER_S = 0.01
"""Shortest retry-after of a denial, seconds."""
MAX_RETRY_AFTER_S = 5.0
"""Longest retry-after of a denial, seconds."""


class Hosts(NamedTuple):
    """The hosts known to a server, and those connected to it, itself included."""

    known: Collection[str]
    connected: Collection[str]


class QuotaServer:
    """Grants credit of the quotas that this host serves; `now` is in monotonic seconds.

    It gains none before `update_hosts`, as a host's share is unknown until then.

    `slack` is how many calls beyond its quota a customer may run in a window, at all hosts.
    """

    def __init__(self, name: str, slack: float = 0.0) -> None:
        self.name = name
        self.slack = slack
        self.granted_total = 0
        self.denied = 0
        self._directory = Directory()
        self._buckets: dict[str, Bucket] = {}
        self._host_share = 0.0
        self._lenders = Lenders(name)
        self._asking_elsewhere: set[str] = set()
        self._stalled_s = 0.0
        self._last_active_at: float | None = None

    def adopt(self, now: float, directory: Directory) -> None:
        """Apply a configuration; levels of customers that still have a quota are kept."""
        self._refill_all(now)
        self._directory = directory
        self._lenders.adopt(directory)
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
        self._host_share = 1 / len({*hosts.known, *hosts.connected, self.name})
        self._asking_elsewhere.intersection_update(hosts.connected)
        self._lenders.retain(hosts.connected)
        at = self._active_time(now)
        for name in self._lenders.customers() - self._buckets.keys():
            customer = self._directory.named(name)
            if customer is not None:
                self._bucket(at, customer)
        for bucket_name, bucket in self._buckets.items():
            self._update_shares(at, bucket_name, bucket)

    def on_lending(self, now: float, host: str, servers: Iterable[str]) -> None:
        """Record which quota servers a host may ask, in place of what it said before."""
        self._lenders.record(self._active_time(now), host, servers)

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

    def rate_share(self, customer: str) -> float:
        """Return the share of a customer's quota that hosts lend to this server, 0 to 1."""
        bucket = self._buckets.get(customer)
        return bucket.rate_share if bucket is not None else 0.0

    def _grant(self, at: float, customer: Customer, bucket: Bucket, ask: CreditAsk) -> Credit:
        granted = min(ask["want"], int(bucket.level))
        bucket.level -= granted
        self.granted_total += granted
        missing = ask["want"] - granted
        retry_after_s = 0.0
        if missing:
            self.denied += missing
            bucket.denials.count(at, 1.0, missing)
            retry_after_s = self._retry_after_s(at, customer, bucket)
        max_credit = self._max_credit(customer, bucket)
        over_burst = (
            max_credit >= OVER_BURST_MIN_BURST and bucket.level < OVER_BURST_SHARE * max_credit
        )
        return _credit(ask, granted=granted, retry_after_s=retry_after_s, over_burst=over_burst)

    def _retry_after_s(self, at: float, customer: Customer, bucket: Bucket) -> float:
        """Return the time until credit covers the calls denied lately, seconds, within bounds."""
        gained = customer.rate_per_s * max(bucket.burst_share, self._host_share)
        if not gained:
            return MAX_RETRY_AFTER_S
        waiting = max(1.0, bucket.denials.total(at))
        retry_after_s = (waiting - bucket.level) / gained
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s))

    @property
    def _initial_credit(self) -> float:
        """Return the credit that a bucket starts with, in calls."""
        return self.slack * INITIAL_SLACK_SHARE

    def _max_credit(self, customer: Customer, bucket: Bucket) -> float:
        """Return the most credit that may accumulate: the part of the burst that is lent.

        It is at least one call, and the credit that a bucket starts with.
        """
        lent = customer.max_credit * bucket.burst_share
        return min(customer.max_credit, max(1.0, self._initial_credit, lent))

    def _bucket(self, at: float, customer: Customer) -> Bucket:
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            level = min(customer.max_credit, self._initial_credit)
            bucket = Bucket(level, at)
            self._buckets[customer.name] = bucket
        return bucket

    def _refill_all(self, now: float) -> None:
        """Refill all buckets up to now, and drop those to which no host lends."""
        at = self._active_time(now)
        for name, bucket in list(self._buckets.items()):
            customer = self._directory.named(name)
            if customer is None:
                continue
            self._refill(at, customer, bucket)
            if not bucket.lending_hosts and not bucket.asking_hosts:
                del self._buckets[name]

    def _refill(self, at: float, customer: Customer, bucket: Bucket) -> None:
        gained = customer.rate_per_s * bucket.rate_share * (at - bucket.refilled_at)
        bucket.refilled_at = at
        bucket.level = min(self._max_credit(customer, bucket), bucket.level + gained)

    def _add_lent_share(
        self, at: float, host: str, customer: Customer, bucket: Bucket, lends_s: float
    ) -> None:
        """Count a request, and add the share that it lends unless it has said that it lends it."""
        asking = bucket.asking_hosts.get(host)
        if asking is None:
            bucket.asking_hosts[host] = asking = AskingHost(at)
        gap_s = asking.count_ask(at)
        if self._lenders.lends(host, customer.name):
            return
        since = self._lenders.since(host)
        lent_s = min(gap_s, lends_s, MAX_LENT_S, at - since if since is not None else gap_s)
        lent = customer.rate_per_s * lent_s * self._host_share
        bucket.level = min(self._max_credit(customer, bucket), bucket.level + lent)

    def _update_shares(self, at: float, customer: str, bucket: Bucket) -> None:
        """Find the shares of a quota that hosts lend to this server.

        Silent hosts add nothing to the rate. They keep the burst: all hosts are silent when the
        customer pauses. Hosts without requests for `MAX_SILENCE_S` are removed from the asking
        ones.
        """
        for host, asking in list(bucket.asking_hosts.items()):
            if at - asking.last_ask_at > MAX_SILENCE_S:
                del bucket.asking_hosts[host]
        silent = {host for host, asking in bucket.asking_hosts.items() if asking.is_silent(at)}
        absent = silent | self._asking_elsewhere
        lending = gaining = by_asking = 0
        for hosts in self._lenders.groups(customer):
            lending += len(hosts) - len(hosts & self._asking_elsewhere)
            gaining += len(hosts) - len(hosts & absent)
        for host in bucket.asking_hosts:
            by_asking += not self._lenders.lends(host, customer)
        if lending and not bucket.lending_hosts:
            # Another server has granted credit until now; how much is unknown.
            bucket.level = min(bucket.level, self._initial_credit)
        bucket.lending_hosts = lending
        bucket.rate_share = min(1.0, gaining * self._host_share)
        bucket.burst_share = min(1.0, (lending + by_asking) * self._host_share)

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
