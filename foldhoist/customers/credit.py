"""The ingress's side of quotas: credit granted by quota servers, and calls that wait for it.

A call of a customer with a quota spends credit that a quota server has granted to this host.
Without credit, the client asks the customer's quota server, and the call waits for the answer. A
server that does not answer is suspected for a while and the next one is asked. If
`MAX_SERVERS_ASKED` servers have not answered, or no other can be asked, this host admits calls at
its own share of the quota.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.customers.account import Account, Grant, PendingAsk
from foldhoist.customers.candidates import quota_server_candidates, ranked_servers
from foldhoist.customers.quota_server import MAX_RETRY_AFTER_S
from foldhoist.customers.steps import Ask, Denied, Granted, Step

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from foldhoist.customers.directory import Customer, Directory
    from foldhoist.schema.messages import Credit, CreditAsk

OVER_QUOTA = "over-quota"
"""Reason of a refusal: the customer's quota is used up."""
NO_QUOTA_SERVER = "quota-unknown"
"""Reason of a refusal: no quota server answers, and this host's own share is used up."""
ANSWER_TIMEOUT_S = 0.25
"""Longest wait for a quota server's answer, seconds; large answers on the same link delay it."""
MAX_SERVERS_ASKED = 2
"""Quota servers asked one after the other before this host uses its own share."""
CREDIT_LIFETIME_S = 0.5
"""Lifetime of unused credit, seconds, so that hosts do not hoard it.

It counts from the request. What a call that did not run returns keeps the rest of its lifetime.
"""
PREFETCH_S = 0.25
"""Credit is also requested for the calls expected within this time, seconds."""
MAX_DENIAL_PAUSE_S = 0.25
"""Longest pause in requests for credit after a denial, seconds.

The pause limits the requests that a quota server gets from each host for an overloading customer.
"""
SUSPECT_S = 1.0
"""A quota server that has not answered is not asked for this long, seconds."""
OWN_SHARE_RETRY_AFTER_S = 0.5
"""Retry-after of a call denied while no quota server answers, seconds."""
ACCOUNT_EXPIRY_S = 10.0
"""Age of the last call from which on an account is removed, and interval of that, seconds."""
RETRY_JITTER = 0.5
"""A denied call's retry-after is extended at random by up to this share of it."""


class CreditClient:
    """Obtains and spends credit for all customers with calls at this host.

    `now` is in monotonic seconds. Before `set_hosts` this host's own share is unknown, and 0.
    """

    def __init__(self, rng: Random) -> None:
        self.asks = 0
        self.unanswered = 0
        self.late = 0
        self._rng = rng
        self._accounts: dict[str, Account] = {}
        self._pending: dict[int, Account] = {}
        self._host_share = 0.0
        self._candidates: tuple[str, ...] = ()
        self._known_hosts: frozenset[str] = frozenset()
        self._connected: set[str] = set()
        self._told: dict[str, frozenset[str]] = {}
        self._suspect_until: dict[str, float] = {}
        self._next_ask_id = 1
        self._forget_at = 0.0

    def adopt(self, now: float, directory: Directory) -> list[Step]:
        """Apply a configuration; grants the waiting calls of customers that have no quota now."""
        steps: list[Step] = []
        for name, account in list(self._accounts.items()):
            customer = directory.named(name)
            if customer is not None and customer.limited:
                account.customer = customer
                account.drop_excess()
                continue
            steps += [Granted(call_id, False, now) for call_id in account.waiting]
            self._forget(name, account)
        return steps

    def set_hosts(self, hosts: Iterable[str]) -> None:
        """Set the known hosts, this one included."""
        known = frozenset(hosts)
        if known != self._known_hosts:
            self._known_hosts = known
            self._candidates = quota_server_candidates(known)
            self._host_share = 1 / max(1, len(known))

    def lendings(self) -> list[Ask]:
        """Return a message to each server that does not know to which ones this host lends.

        Such a server may also be one that was told before and is no longer among them.
        """
        usable = self._connected.intersection(self._candidates)
        servers = frozenset(usable)
        asks: list[Ask] = []
        for server in sorted(usable | self._told.keys()):
            if self._told.get(server) == servers:
                continue
            self._told[server] = servers
            asks.append(Ask(server, _lending(servers)))
        return asks

    def admit(self, now: float, customer: Customer, call_id: int) -> list[Step]:
        """Decide on a call of a customer with a quota, or queue it until a server answers."""
        account = self._accounts.get(customer.name)
        if account is None:
            account = self._accounts[customer.name] = Account(customer, now)
        account.demand.count(now, 0.0)
        account.last_call_at = now
        until = account.spend(now)
        if until is not None:
            return [Granted(call_id, account.over_burst, until)]
        if account.pending is None and now < account.no_asks_until:
            return [self._denied(now, account, call_id)]
        account.waiting.append(call_id)
        return self._ask(now, account) if account.pending is None else []

    def on_credit(self, now: float, message: Credit) -> list[Step]:
        """Handle a quota server's answer; one to no pending request is only counted."""
        account = self._pending.pop(message["ask"], None)
        if account is None or account.pending is None:
            self.late += 1
            return []
        pending, account.pending = account.pending, None
        # This host's share has been lent to the server until now.
        account.own_credit, account.own_credit_at = 0.0, now
        if not message["known"]:
            account.tried.add(pending.server)
            return self._ask(now, account)
        if now - pending.at > CREDIT_LIFETIME_S:
            # This process stalled: the credit has expired.
            return self._ask(now, account)
        account.tried.clear()
        account.over_burst = message["scarce"]
        account.add(Grant(pending.at + CREDIT_LIFETIME_S, message["granted"]))
        retry_after_s = message["again_ms"] / 1000
        if retry_after_s:
            account.no_asks_until = now + min(retry_after_s, MAX_DENIAL_PAUSE_S)
            account.retry_at = now + retry_after_s
        return self._decide_waiting(now, account, denied=retry_after_s > 0)

    def link_changed(self, now: float, host: str, *, up: bool) -> list[Step]:
        """Record an opened or lost connection; requests pending at a lost host go to the next."""
        self._told.pop(host, None)
        if up:
            self._connected.add(host)
            return []
        self._connected.discard(host)
        self._suspect_until.pop(host, None)
        steps: list[Step] = []
        for account in list(self._pending.values()):
            if account.pending is not None and account.pending.server == host:
                steps += self._ask_next(now, account, account.pending)
        return steps

    def tick(self, now: float) -> list[Step]:
        """Time out pending requests, ask the next servers, and drop accounts without calls."""
        steps: list[Step] = []
        for account in list(self._pending.values()):
            pending = account.pending
            if pending is None or now < pending.at + ANSWER_TIMEOUT_S:
                continue
            self.unanswered += 1
            if pending.server in self._connected and now >= self._suspect_until.get(
                pending.server, 0.0
            ):
                self._suspect_until[pending.server] = now + SUSPECT_S
                steps.append(_ask_elsewhere(account, pending))
            steps += self._ask_next(now, account, pending)
        if now >= self._forget_at:
            self._forget_at = now + ACCOUNT_EXPIRY_S
            self._forget_unused(now)
        return steps

    def next_at(self) -> float | None:
        """Return when the oldest pending request times out, None if there is none."""
        oldest = next(iter(self._pending.values()), None)
        if oldest is None or oldest.pending is None:
            return None
        return oldest.pending.at + ANSWER_TIMEOUT_S

    def return_credit(self, now: float, customer: Customer, until: float) -> None:
        """Return the credit of a call that did not run, for use by another until it expires."""
        account = self._accounts.get(customer.name)
        if account is not None and now < until:
            account.add(Grant(until, 1))
            account.drop_excess()

    def withdraw(self, customer: Customer, call_id: int) -> bool:
        """Remove an ended call; returns whether it was still waiting for credit."""
        account = self._accounts.get(customer.name)
        if account is None or call_id not in account.waiting:
            return False
        account.waiting.remove(call_id)
        return True

    def _ask(self, now: float, account: Account) -> list[Step]:
        """Request credit for the waiting calls, or use the own share if no server is left."""
        if not account.waiting:
            return []
        server = self._next_server(now, account)
        if server is None:
            account.tried.clear()
            return self._decide_by_own_share(now, account)
        ask_id = self._next_ask_id
        self._next_ask_id += 1
        self.asks += 1
        account.pending = PendingAsk(ask_id, server, now)
        self._pending[ask_id] = account
        # Where credit is short, what one host holds unused is what another one lacks.
        prefetch = 0 if account.over_burst else int(account.demand.total(now) * PREFETCH_S)
        want = min(len(account.waiting) + prefetch, int(account.customer.max_credit) + 1)
        if server != account.server:
            account.server, account.server_since = server, now
        lends_ms = int((now - account.server_since) * 1000)
        return [Ask(server, _credit_ask(account, ask_id, want, lends_ms))]

    def _ask_next(self, now: float, account: Account, pending: PendingAsk) -> list[Step]:
        self._pending.pop(pending.ask_id, None)
        account.pending = None
        account.tried.add(pending.server)
        return self._ask(now, account)

    def _next_server(self, now: float, account: Account) -> str | None:
        if len(account.tried) >= MAX_SERVERS_ASKED:
            return None
        for host in ranked_servers(account.customer.name, self._candidates):
            if host not in self._connected or host in account.tried:
                continue
            if now >= self._suspect_until.get(host, 0.0):
                return host
        return None

    def _decide_waiting(self, now: float, account: Account, *, denied: bool) -> list[Step]:
        steps: list[Step] = []
        while account.waiting:
            until = account.spend(now)
            if until is None:
                break
            steps.append(Granted(account.waiting.popleft(), account.over_burst, until))
        if not denied:
            return steps + self._ask(now, account)
        while account.waiting:
            steps.append(self._denied(now, account, account.waiting.popleft()))
        return steps

    def _decide_by_own_share(self, now: float, account: Account) -> list[Step]:
        """Decide on the waiting calls by this host's share of the quota, now lent to no server."""
        customer = account.customer
        gained = customer.rate_per_s * self._host_share * (now - account.own_credit_at)
        account.own_credit = min(
            max(1.0, customer.burst * self._host_share), account.own_credit + gained
        )
        account.own_credit_at = now
        # The next server asked is lent the share only from that request on.
        account.server = ""
        steps: list[Step] = []
        while account.waiting:
            call_id = account.waiting.popleft()
            if account.own_credit < 1.0:
                steps.append(Denied(call_id, NO_QUOTA_SERVER, OWN_SHARE_RETRY_AFTER_S))
                continue
            account.own_credit -= 1.0
            steps.append(Granted(call_id, account.over_burst, now + CREDIT_LIFETIME_S))
        return steps

    def _denied(self, now: float, account: Account, call_id: int) -> Denied:
        left_s = max(0.0, account.retry_at - now) * (1.0 + RETRY_JITTER * self._rng.random())
        return Denied(call_id, OVER_QUOTA, min(MAX_RETRY_AFTER_S, left_s))

    def _forget_unused(self, now: float) -> None:
        for name, account in list(self._accounts.items()):
            if not account.waiting and now - account.last_call_at > ACCOUNT_EXPIRY_S:
                self._forget(name, account)

    def _forget(self, name: str, account: Account) -> None:
        del self._accounts[name]
        if account.pending is not None:
            self._pending.pop(account.pending.ask_id, None)


def _ask_elsewhere(account: Account, pending: PendingAsk) -> Ask:
    """Return the notice to a suspected server that this host asks another one."""
    return Ask(pending.server, {**_credit_ask(account, pending.ask_id, 0, 0), "elsewhere": True})


def _lending(servers: frozenset[str]) -> CreditAsk:
    """Return the message that says which quota servers this host may ask."""
    return {
        "ask": 0,
        "customer": "",
        "want": 0,
        "lends_ms": 0,
        "elsewhere": False,
        "servers": sorted(servers),
    }


def _credit_ask(account: Account, ask_id: int, want: int, lends_ms: int) -> CreditAsk:
    name = account.customer.name
    return {
        "ask": ask_id,
        "customer": name,
        "want": want,
        "lends_ms": lends_ms,
        "elsewhere": False,
    }
