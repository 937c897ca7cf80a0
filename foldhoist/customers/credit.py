"""An ingress's side of quotas: credit lent by keepers, and the calls that wait for some.

A call of a limited customer runs on credit that the customer's keeper has lent to this host.
Without any the keeper is asked, and the call waits for its answer: as long as a message takes there
and back. A keeper that does not answer is left alone for a while and the next one is asked; if none
answers, this host goes by its own share of the quota.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from foldhoist.admission.decaying_ratio import DecayingRatio
from foldhoist.customers.keeper import LONGEST_AGAIN_S
from foldhoist.customers.seats import keepers, seats

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from foldhoist.customers.directory import Customer, Directory
    from foldhoist.schema.messages import Credit, CreditAsk

OVER_QUOTA = "over-quota"
"""Reason of a refusal: the customer's quota is used up."""
NO_KEEPER = "quota-unknown"
"""Reason of a refusal: no keeper of the quota answers, and this host's own share is used up."""
ASK_S = 0.25
"""Longest wait for a keeper's answer, seconds: a link full of large answers delays it so much."""
MOST_ASKED = 2
"""Keepers that are asked for one call, one after the other."""
HELD_S = 0.5
"""Credit that is not used for this long is given up, seconds: others may want it."""
AHEAD_S = 0.25
"""Credit is asked for what comes within this time, too, seconds."""
USE_S = 1.0
"""Calls count by 1/e after this long in what is expected to come, seconds."""
QUIET_S = 0.25
"""After a denial no more credit is asked for until then at most, seconds.

The keeper of a customer that sends many times its usual hears of each host so often at most.
"""
SUSPECT_S = 1.0
"""A keeper that has not answered is asked again after this long, seconds."""
OWN_AGAIN_S = 0.5
"""When a caller is told to come back while no keeper answers, seconds."""
FORGET_S = 10.0
"""A customer without calls here is forgotten after this long or twice as long, seconds."""
SPREAD = 0.5
"""Callers are told to come back later than there is credit by up to this share of the time."""


class Granted(NamedTuple):
    """A call that may run; `scarce` says that the customer has used up most of its burst."""

    call_id: int
    scarce: bool


class Denied(NamedTuple):
    """A call that may not run; there may be credit after `again_s` seconds."""

    call_id: int
    reason: str
    again_s: float


class Ask(NamedTuple):
    """Send this to a keeper."""

    keeper: str
    message: CreditAsk


Step: TypeAlias = Granted | Denied | Ask


class _Asked(NamedTuple):
    """A question without an answer: its number, whom, when, seconds."""

    number: int
    keeper: str
    at: float


class _Account:
    """What is known here of one customer's quota; times are seconds, monotonic."""

    __slots__ = (
        "again_at",
        "asked",
        "credit",
        "credit_until",
        "customer",
        "keeper",
        "keeper_since",
        "own",
        "own_at",
        "quiet_until",
        "scarce",
        "tried",
        "use",
        "used_at",
        "waiting",
    )

    def __init__(self, customer: Customer, now: float) -> None:
        self.customer = customer
        self.credit = 0
        self.credit_until = 0.0
        self.quiet_until = 0.0
        self.again_at = 0.0
        self.scarce = False
        self.waiting: deque[int] = deque()
        self.asked: _Asked | None = None
        self.tried: set[str] = set()
        self.use = DecayingRatio(now, USE_S)
        self.used_at = now
        self.own = 0.0
        self.own_at = now
        self.keeper = ""
        self.keeper_since = now

    def spend(self, now: float) -> bool:
        """Use credit for one call, if there is any."""
        if now >= self.credit_until:
            self.credit = 0
        if self.credit < 1:
            return False
        self.credit -= 1
        return True


class CreditBook:
    """Credit of all customers with calls at this host; `now` is in seconds, monotonic."""

    def __init__(self, rng: Random) -> None:
        self.asks = 0
        self.unanswered = 0
        self.late = 0
        self._rng = rng
        self._accounts: dict[str, _Account] = {}
        self._asked: dict[int, _Account] = {}
        self._hosts = 1
        self._seats: tuple[str, ...] = ()
        self._known: frozenset[str] = frozenset()
        self._up: set[str] = set()
        self._suspect_until: dict[str, float] = {}
        self._next_ask = 1
        self._forget_at = 0.0

    def adopt(self, now: float, directory: Directory) -> list[Step]:
        """Take over a configuration; calls that wait for credit they no longer need may run."""
        steps: list[Step] = []
        for name, account in list(self._accounts.items()):
            customer = directory.named(name)
            if customer is not None and customer.limited:
                account.customer = customer
                account.credit = min(account.credit, int(customer.most))
                continue
            steps += [Granted(call_id, False) for call_id in account.waiting]
            self._forget(name, account)
        return steps

    def place(self, hosts: Iterable[str]) -> None:
        """Take over the hosts that are known, this one included."""
        known = frozenset(hosts)
        if known != self._known:
            self._known = known
            self._seats = seats(known)
            self._hosts = max(1, len(known))

    def take(self, now: float, customer: Customer, call_id: int) -> list[Step]:
        """Decide on a call of a limited customer, at once or when its keeper has answered."""
        account = self._accounts.get(customer.name)
        if account is None:
            account = self._accounts[customer.name] = _Account(customer, now)
        account.use.count(now, 0.0)
        account.used_at = now
        if account.spend(now):
            return [Granted(call_id, account.scarce)]
        if account.asked is None and now < account.quiet_until:
            return [self._denied(now, account, call_id)]
        account.waiting.append(call_id)
        return self._ask(now, account) if account.asked is None else []

    def answered(self, now: float, message: Credit) -> list[Step]:
        """Take in a keeper's answer; one that comes too late counts for nothing."""
        account = self._asked.pop(message["ask"], None)
        if account is None or account.asked is None:
            self.late += 1
            return []
        asked, account.asked = account.asked, None
        # Until now this keeper has had this host's share.
        account.own, account.own_at = 0.0, now
        if not message["known"]:
            account.tried.add(asked.keeper)
            return self._ask(now, account)
        if now - asked.at > HELD_S:
            # This host has stood still: the credit is of then.
            return self._ask(now, account)
        account.tried.clear()
        account.scarce = message["scarce"]
        if now >= account.credit_until:
            account.credit = 0
        account.credit += message["granted"]
        account.credit_until = asked.at + HELD_S
        again_s = message["again_ms"] / 1000
        if again_s:
            account.quiet_until = now + min(again_s, QUIET_S)
            account.again_at = now + again_s
        return self._serve(now, account, denied=again_s > 0)

    def up(self, now: float, host: str, *, up: bool) -> list[Step]:
        """Take in that a host is connected, or not any more."""
        if up:
            self._up.add(host)
            return []
        self._up.discard(host)
        self._suspect_until.pop(host, None)
        steps: list[Step] = []
        for account in list(self._asked.values()):
            if account.asked is not None and account.asked.keeper == host:
                steps += self._ask_another(now, account, account.asked)
        return steps

    def tick(self, now: float) -> list[Step]:
        """Ask others in place of keepers that have not answered, forget who has no calls."""
        steps: list[Step] = []
        for account in list(self._asked.values()):
            asked = account.asked
            if asked is None or now < asked.at + ASK_S:
                continue
            self.unanswered += 1
            if asked.keeper in self._up and now >= self._suspect_until.get(asked.keeper, 0.0):
                self._suspect_until[asked.keeper] = now + SUSPECT_S
                steps.append(_elsewhere(account, asked))
            steps += self._ask_another(now, account, asked)
        if now >= self._forget_at:
            self._forget_at = now + FORGET_S
            self._forget_unused(now)
        return steps

    def next_at(self) -> float | None:
        """Return when `tick` has a question to end, None for never."""
        oldest = next(iter(self._asked.values()), None)
        if oldest is None or oldest.asked is None:
            return None
        return oldest.asked.at + ASK_S

    def give_back(self, now: float, customer: Customer) -> None:
        """Take back the credit of a call that did not run; the next one may use it."""
        account = self._accounts.get(customer.name)
        if account is None:
            return
        if now >= account.credit_until:
            account.credit = 0
        account.credit = min(account.credit + 1, int(customer.most))
        account.credit_until = max(account.credit_until, now + HELD_S)

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
        keeper = self._keeper(now, account)
        if keeper is None:
            account.tried.clear()
            return self._serve_own(now, account)
        number = self._next_ask
        self._next_ask += 1
        self.asks += 1
        account.asked = _Asked(number, keeper, now)
        self._asked[number] = account
        # Where credit is short, what one host holds unused is what another one lacks.
        ahead = 0 if account.scarce else int(account.use.total(now) * AHEAD_S)
        want = min(len(account.waiting) + ahead, int(account.customer.most) + 1)
        if keeper != account.keeper:
            account.keeper, account.keeper_since = keeper, now
        lends_ms = int((now - account.keeper_since) * 1000)
        return [Ask(keeper, _question(account, number, want, lends_ms))]

    def _ask_another(self, now: float, account: _Account, asked: _Asked) -> list[Step]:
        self._asked.pop(asked.number, None)
        account.asked = None
        account.tried.add(asked.keeper)
        return self._ask(now, account)

    def _keeper(self, now: float, account: _Account) -> str | None:
        if len(account.tried) >= MOST_ASKED:
            return None
        for host in keepers(account.customer.name, self._seats):
            if host not in self._up or host in account.tried:
                continue
            if now >= self._suspect_until.get(host, 0.0):
                return host
        return None

    def _serve(self, now: float, account: _Account, *, denied: bool) -> list[Step]:
        steps: list[Step] = []
        while account.waiting and account.spend(now):
            steps.append(Granted(account.waiting.popleft(), account.scarce))
        if not denied:
            return steps + self._ask(now, account)
        while account.waiting:
            steps.append(self._denied(now, account, account.waiting.popleft()))
        return steps

    def _serve_own(self, now: float, account: _Account) -> list[Step]:
        """Let calls run by this host's own share, which no keeper has of it now."""
        customer = account.customer
        gained = customer.rate_per_s / self._hosts * (now - account.own_at)
        account.own = min(max(1.0, customer.burst / self._hosts), account.own + gained)
        account.own_at = now
        # No keeper has had it until now: whichever is asked next is lent what comes.
        account.keeper = ""
        steps: list[Step] = []
        while account.waiting:
            call_id = account.waiting.popleft()
            if account.own < 1.0:
                steps.append(Denied(call_id, NO_KEEPER, OWN_AGAIN_S))
                continue
            account.own -= 1.0
            steps.append(Granted(call_id, account.scarce))
        return steps

    def _denied(self, now: float, account: _Account, call_id: int) -> Denied:
        left_s = max(0.0, account.again_at - now) * (1.0 + SPREAD * self._rng.random())
        return Denied(call_id, OVER_QUOTA, min(LONGEST_AGAIN_S, left_s))

    def _forget_unused(self, now: float) -> None:
        for name, account in list(self._accounts.items()):
            if not account.waiting and now - account.used_at > FORGET_S:
                self._forget(name, account)

    def _forget(self, name: str, account: _Account) -> None:
        del self._accounts[name]
        if account.asked is not None:
            self._asked.pop(account.asked.number, None)


def _elsewhere(account: _Account, asked: _Asked) -> Ask:
    return Ask(asked.keeper, {**_question(account, asked.number, 0, 0), "elsewhere": True})


def _question(account: _Account, number: int, want: int, lends_ms: int) -> CreditAsk:
    name = account.customer.name
    return {
        "ask": number,
        "customer": name,
        "want": want,
        "lends_ms": lends_ms,
        "elsewhere": False,
    }
