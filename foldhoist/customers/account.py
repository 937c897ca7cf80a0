"""Credit and pending request of one customer at an ingress; no I/O, no clock."""

from __future__ import annotations

from bisect import insort
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from foldhoist.admission.decaying_ratio import DecayingRatio

if TYPE_CHECKING:
    from foldhoist.customers.directory import Customer

DEMAND_DECAY_S = 1.0
"""Time constant of the decaying count of calls that predicts demand, seconds."""


class Grant(NamedTuple):
    """Credit that expires at a time, monotonic seconds, for a number of calls."""

    until: float
    calls: int


class PendingAsk(NamedTuple):
    """An unanswered request: its id, the quota server, and when it was sent (seconds)."""

    ask_id: int
    server: str
    at: float


class Account:
    """Credit and pending request of one customer at this host; times are monotonic seconds."""

    __slots__ = (
        "customer",
        "demand",
        "grants",
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
        self.grants: list[Grant] = []
        self.no_asks_until = 0.0
        self.retry_at = 0.0
        self.over_burst = False
        self.waiting: deque[int] = deque()
        self.pending: PendingAsk | None = None
        self.tried: set[str] = set()
        self.demand = DecayingRatio(now, DEMAND_DECAY_S)
        self.last_call_at = now
        self.own_credit = 0.0
        self.own_credit_at = now
        self.server = ""
        self.server_since = now

    def add(self, grant: Grant) -> None:
        """Add credit."""
        if grant.calls:
            insort(self.grants, grant)

    def drop_excess(self) -> None:
        """Drop the credit that exceeds the burst, which expires first."""
        excess = sum(grant.calls for grant in self.grants) - int(self.customer.max_credit)
        while excess > 0:
            first = self.grants.pop(0)
            if first.calls > excess:
                self.grants.insert(0, first._replace(calls=first.calls - excess))
            excess -= first.calls

    def spend(self, now: float) -> float | None:
        """Spend the credit of one call; returns when it would expire, or None if there is none."""
        while self.grants and now >= self.grants[0].until:
            del self.grants[0]
        if not self.grants:
            return None
        first = self.grants[0]
        if first.calls > 1:
            self.grants[0] = first._replace(calls=first.calls - 1)
        else:
            del self.grants[0]
        return first.until
