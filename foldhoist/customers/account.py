"""Credit and pending request of one customer at an ingress; no I/O, no clock."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from foldhoist.admission.decaying_ratio import DecayingRatio

if TYPE_CHECKING:
    from foldhoist.customers.directory import Customer

DEMAND_DECAY_S = 1.0
"""Time constant of the decaying count of calls that predicts demand, seconds."""


class PendingAsk(NamedTuple):
    """An unanswered request: its id, the quota server, and when it was sent (seconds)."""

    ask_id: int
    server: str
    at: float


class Account:
    """Credit and pending request of one customer at this host; times are monotonic seconds."""

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
        self.pending: PendingAsk | None = None
        self.tried: set[str] = set()
        self.demand = DecayingRatio(now, DEMAND_DECAY_S)
        self.last_call_at = now
        self.own_credit = 0.0
        self.own_credit_at = now
        self.server = ""
        self.server_since = now

    def spend(self, now: float) -> bool:
        """Spend the credit of one call; returns False if there is none."""
        if now >= self.credit_until:
            self.credit = 0
        if self.credit < 1:
            return False
        self.credit -= 1
        return True
