"""An ingress's side of quotas: credit lent by keepers, and the calls that wait for some.

A call of a limited customer runs on credit that the customer's keeper has lent to this host.
Without any the keeper is asked, and the call waits for its answer: as long as a message takes there
and back. A keeper that does not answer is left alone for a while and the next one is asked; if none
answers, this host goes by its own share of the quota.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from foldhoist.admission.fading import FadingShare
from foldhoist.customers.candidates import quota_server_candidates, ranked_servers
from foldhoist.customers.quota_server import MAX_RETRY_AFTER_S

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from foldhoist.customers.directory import Customer, Directory
    from foldhoist.schema.messages import Credit, CreditAsk

OVER_QUOTA = "over-quota"
"""Reason of a refusal: the customer's quota is used up."""
NO_QUOTA_SERVER = "quota-unknown"
"""Reason of a refusal: no keeper of the quota answers, and this host's own share is used up."""
ANSWER_TIMEOUT_S = 0.25
"""Longest wait for a keeper's answer, seconds: a link full of large answers delays it so much."""
MAX_SERVERS_ASKED = 2
"""Keepers that are asked for one call, one after the other."""
CREDIT_LIFETIME_S = 0.5
"""Credit that is not used for this long is given up, seconds: others may want it."""
PREFETCH_S = 0.25
"""Credit is asked for what comes within this time, too, seconds."""
DEMAND_DECAY_S = 1.0
"""Calls count by 1/e after this long in what is expected to come, seconds."""
MAX_DENIAL_PAUSE_S = 0.25
"""After a denial no more credit is asked for until then at most, seconds.

The keeper of a customer that sends many times its usual hears of each host so often at most.
"""
SUSPECT_S = 1.0
"""A keeper that has not answered is asked again after this long, seconds."""
OWN_SHARE_RETRY_AFTER_S = 0.5
"""When a caller is told to come back while no keeper answers, seconds."""
ACCOUNT_EXPIRY_S = 10.0
"""A customer without calls here is forgotten after this long or twice as long, seconds."""
RETRY_JITTER = 0.5
"""Callers are told to come back later than there is credit by up to this share of the time."""


class Granted(NamedTuple):
    """A call that may run; `scarce` says that the customer has used up most of its burst."""

    call_id: int
    over_burst: bool


class Denied(NamedTuple):
    """A call that may not run; there may be credit after `again_s` seconds."""

    call_id: int
    reason: str
    retry_after_s: float


class Ask(NamedTuple):
    """Send this to a keeper."""

    server: str
    message: CreditAsk


Step: TypeAlias = Granted | Denied | Ask


class _PendingAsk(NamedTuple):
    """A question without an answer: its number, whom, when, seconds."""

    ask_id: int
    server: str
    at: float


class _Account:
    """What is known here of one customer's quota; times are seconds, monotonic."""

    __slots__ = (
        "credit",
        "credit_until",
        "customer",
        "demand",
        "last_call_at",
        "no_asks_until",
        "over_burst",
        "own_credit",
        "own_credit_at",
        "pending",
        "retry_at",
        "server",
        "server_since",
        "tried",
        "waiting",
    )

    def __init__(self, customer: Customer, now: float) -> None:
        self.customer = customer
        self.credit = 0
        self.credit_until = 0.0
        self.no_asks_until = 0.0
        self.retry_at = 0.0
        self.over_burst = False
        self.waiting: deque[int] = deque()
        self.pending: _PendingAsk | None = None
        self.tried: set[str] = set()
        self.demand = FadingShare(now, DEMAND_DECAY_S)
        self.last_call_at = now
        self.own_credit = 0.0
        self.own_credit_at = now
        self.server = ""
        self.server_since = now

    def spend(self, now: float) -> bool:
        """Use credit for one call, if there is any."""
        if now >= self.credit_until:
            self.credit = 0
        if self.credit < 1:
            return False
        self.credit -= 1
        return True


class CreditClient:
    """Credit of all customers with calls at this host; `now` is in seconds, monotonic."""

    def __init__(self, rng: Random) -> None:
        self.asks = 0
        self.unanswered = 0
        self.late = 0
        self._rng = rng
        self._accounts: dict[str, _Account] = {}
        self._pending: dict[int, _Account] = {}
        self._host_count = 1
        self._candidates: tuple[str, ...] = ()
        self._known_hosts: frozenset[str] = frozenset()
        self._connected: set[str] = set()
        self._suspect_until: dict[str, float] = {}
        self._next_ask_id = 1
        self._forget_at = 0.0

    def adopt(self, now: float, directory: Directory) -> list[Step]:
        """Take over a configuration; calls that wait for credit they no longer need may run."""
        steps: list[Step] = []
        for name, account in list(self._accounts.items()):
            customer = directory.named(name)
            if customer is not None and customer.limited:
                account.customer = customer
                account.credit = min(account.credit, int(customer.max_credit))
                continue
            steps += [Granted(call_id, False) for call_id in account.waiting]
            self._forget(name, account)
        return steps

    def set_hosts(self, hosts: Iterable[str]) -> None:
        """Take over the hosts that are known, this one included."""
        known = frozenset(hosts)
        if known != self._known_hosts:
            self._known_hosts = known
            self._candidates = quota_server_candidates(known)
            self._host_count = max(1, len(known))

    def admit(self, now: float, customer: Customer, call_id: int) -> list[Step]:
        """Decide on a call of a limited customer, at once or when its keeper has answered."""
        account = self._accounts.get(customer.name)
        if account is None:
            account = self._accounts[customer.name] = _Account(customer, now)
        account.demand.count(now, 0.0)
        account.last_call_at = now
        if account.spend(now):
            return [Granted(call_id, account.over_burst)]
        if account.pending is None and now < account.no_asks_until:
            return [self._denied(now, account, call_id)]
        account.waiting.append(call_id)
        return self._ask(now, account) if account.pending is None else []

    def on_credit(self, now: float, message: Credit) -> list[Step]:
        """Take in a keeper's answer; one that comes too late counts for nothing."""
        account = self._pending.pop(message["ask"], None)
        if account is None or account.pending is None:
            self.late += 1
            return []
        pending, account.pending = account.pending, None
        # Until now this keeper has had this host's share.
        account.own_credit, account.own_credit_at = 0.0, now
        if not message["known"]:
            account.tried.add(pending.server)
            return self._ask(now, account)
        if now - pending.at > CREDIT_LIFETIME_S:
            # This host has stood still: the credit is of then.
            return self._ask(now, account)
        account.tried.clear()
        account.over_burst = message["scarce"]
        if now >= account.credit_until:
            account.credit = 0
        account.credit += message["granted"]
        account.credit_until = pending.at + CREDIT_LIFETIME_S
        retry_after_s = message["again_ms"] / 1000
        if retry_after_s:
            account.no_asks_until = now + min(retry_after_s, MAX_DENIAL_PAUSE_S)
            account.retry_at = now + retry_after_s
        return self._decide_waiting(now, account, denied=retry_after_s > 0)

    def link_changed(self, now: float, host: str, *, up: bool) -> list[Step]:
        """Take in that a host is connected, or not any more."""
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
        """Ask others in place of keepers that have not answered, forget who has no calls."""
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
        """Return when `tick` has a question to end, None for never."""
        oldest = next(iter(self._pending.values()), None)
        if oldest is None or oldest.pending is None:
            return None
        return oldest.pending.at + ANSWER_TIMEOUT_S

    def return_credit(self, now: float, customer: Customer) -> None:
        """Take back the credit of a call that did not run; the next one may use it."""
        account = self._accounts.get(customer.name)
        if account is None:
            return
        if now >= account.credit_until:
            account.credit = 0
        account.credit = min(account.credit + 1, int(customer.max_credit))
        account.credit_until = max(account.credit_until, now + CREDIT_LIFETIME_S)

    def withdraw(self, customer: Customer, call_id: int) -> bool:
        """Take in that a call has ended; returns whether it was still waiting for credit."""
        account = self._accounts.get(customer.name)
        if account is None or call_id not in account.waiting:
            return False
        account.waiting.remove(call_id)
        return True

    # Steps

    def _ask(self, now: float, account: _Account) -> list[Step]:
        """Ask the keeper for the calls that wait, or go by the own share if none is left to ask."""
        if not account.waiting:
            return []
        server = self._next_server(now, account)
        if server is None:
            account.tried.clear()
            return self._decide_by_own_share(now, account)
        ask_id = self._next_ask_id
        self._next_ask_id += 1
        self.asks += 1
        account.pending = _PendingAsk(ask_id, server, now)
        self._pending[ask_id] = account
        # Where credit is short, what one host holds unused is what another one lacks.
        prefetch = 0 if account.over_burst else int(account.demand.counted(now) * PREFETCH_S)
        want = min(len(account.waiting) + prefetch, int(account.customer.max_credit) + 1)
        if server != account.server:
            account.server, account.server_since = server, now
        lends_ms = int((now - account.server_since) * 1000)
        return [Ask(server, _credit_ask(account, ask_id, want, lends_ms))]

    def _ask_next(self, now: float, account: _Account, pending: _PendingAsk) -> list[Step]:
        self._pending.pop(pending.ask_id, None)
        account.pending = None
        account.tried.add(pending.server)
        return self._ask(now, account)

    def _next_server(self, now: float, account: _Account) -> str | None:
        if len(account.tried) >= MAX_SERVERS_ASKED:
            return None
        for host in ranked_servers(account.customer.name, self._candidates):
            if host not in self._connected or host in account.tried:
                continue
            if now >= self._suspect_until.get(host, 0.0):
                return host
        return None

    def _decide_waiting(self, now: float, account: _Account, *, denied: bool) -> list[Step]:
        steps: list[Step] = []
        while account.waiting and account.spend(now):
            steps.append(Granted(account.waiting.popleft(), account.over_burst))
        if not denied:
            return steps + self._ask(now, account)
        while account.waiting:
            steps.append(self._denied(now, account, account.waiting.popleft()))
        return steps

    def _decide_by_own_share(self, now: float, account: _Account) -> list[Step]:
        """Let calls run by this host's own share, which no keeper has of it now."""
        customer = account.customer
        gained = customer.rate_per_s / self._host_count * (now - account.own_credit_at)
        account.own_credit = min(
            max(1.0, customer.burst / self._host_count), account.own_credit + gained
        )
        account.own_credit_at = now
        # No keeper has had it until now: whichever is asked next is lent what comes.
        account.server = ""
        steps: list[Step] = []
        while account.waiting:
            call_id = account.waiting.popleft()
            if account.own_credit < 1.0:
                steps.append(Denied(call_id, NO_QUOTA_SERVER, OWN_SHARE_RETRY_AFTER_S))
                continue
            account.own_credit -= 1.0
            steps.append(Granted(call_id, account.over_burst))
        return steps

    def _denied(self, now: float, account: _Account, call_id: int) -> Denied:
        left_s = max(0.0, account.retry_at - now) * (1.0 + RETRY_JITTER * self._rng.random())
        return Denied(call_id, OVER_QUOTA, min(MAX_RETRY_AFTER_S, left_s))

    def _forget_unused(self, now: float) -> None:
        for name, account in list(self._accounts.items()):
            if not account.waiting and now - account.last_call_at > ACCOUNT_EXPIRY_S:
                self._forget(name, account)

    def _forget(self, name: str, account: _Account) -> None:
        del self._accounts[name]
        if account.pending is not None:
            self._pending.pop(account.pending.ask_id, None)


def _ask_elsewhere(account: _Account, pending: _PendingAsk) -> Ask:
    return Ask(pending.server, {**_credit_ask(account, pending.ask_id, 0, 0), "elsewhere": True})


def _credit_ask(account: _Account, ask_id: int, want: int, lends_ms: int) -> CreditAsk:
    name = account.customer.name
    return {
        "ask": ask_id,
        "customer": name,
        "want": want,
        "lends_ms": lends_ms,
        "elsewhere": False,
    }
