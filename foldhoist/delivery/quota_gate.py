"""Holds calls of customers with quotas until credit is granted or denied."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from foldhoist.customers.credit import OVER_QUOTA, CreditClient
from foldhoist.customers.steps import Ask, Denied, Granted
from foldhoist.delivery.call import OwnerFrame, SendTo
from foldhoist.delivery.verdict import NotRun

if TYPE_CHECKING:
    from random import Random

    from foldhoist.customers.directory import Directory
    from foldhoist.customers.steps import Step
    from foldhoist.delivery.call import Call, Counters
    from foldhoist.delivery.call_table import CallTable
    from foldhoist.schema.messages import Credit

TOO_MANY_REQUESTS = 429
"""Status of a call over its customer's quota."""
UNAVAILABLE = 503
"""Status of a call refused because its customer's quota state is not known."""


class Begin(NamedTuple):
    """Make the first attempt of this call."""

    call: Call


class Refuse(NamedTuple):
    """End this call without an attempt."""

    call: Call
    verdict: NotRun


GateAction: TypeAlias = Begin | Refuse | SendTo


class QuotaGate:
    """Decides on calls by their customers' credit; times are monotonic seconds."""

    def __init__(self, calls: CallTable, count: Counters, rng: Random) -> None:
        self.credits = CreditClient(rng)
        self._calls = calls
        self._count = count

    def adopt(self, now: float, directory: Directory) -> list[GateAction]:
        """Apply the customers of a configuration."""
        return self._actions(self.credits.adopt(now, directory))

    def enter(self, now: float, call: Call) -> list[GateAction]:
        """Start a call, refuse it, or let it wait for credit; it must be in the call table."""
        if call.customer is None or not call.customer.limited:
            return [Begin(call)]
        return self._actions(self.credits.admit(now, call.customer, call.call_id))

    def credited(self, now: float, message: Credit) -> list[GateAction]:
        """Handle a quota server's reply to a request for credit."""
        return self._actions(self.credits.on_credit(now, message))

    def linked(self, now: float, host: str, *, up: bool) -> list[GateAction]:
        """Record that a host is connected or not."""
        return self._actions(self.credits.link_changed(now, host, up=up))

    def tick(self, now: float) -> list[GateAction]:
        """Handle quota servers that have not answered in time."""
        return self._actions(self.credits.tick(now))

    def next_at(self) -> float | None:
        """Return when `tick` is due next, monotonic seconds, or None."""
        return self.credits.next_at()

    def lendings(self) -> list[SendTo]:
        """Return the messages that tell quota servers to which of them this host lends."""
        asks = self.credits.lendings()
        return [SendTo(ask.server, OwnerFrame("CreditAsk", ask.message)) for ask in asks]

    def ended(self, now: float, call: Call, *, ran: bool) -> None:
        """Return the credit of a call that did not run, or withdraw its wait for credit."""
        if call.customer is None or not call.customer.limited:
            return
        if not call.admitted:
            self.credits.withdraw(call.customer, call.call_id)
        elif not ran:
            self.credits.return_credit(now, call.customer, call.credit_until)

    def _actions(self, steps: list[Step]) -> list[GateAction]:
        actions: list[GateAction] = []
        for step in steps:
            match step:
                case Ask(quota_server, message):
                    actions.append(SendTo(quota_server, OwnerFrame("CreditAsk", message)))
                case Granted(call_id, over_burst, until):
                    call = self._calls.get(call_id)
                    if call is not None:
                        call.over_burst = over_burst
                        call.credit_until = until
                        actions.append(Begin(call))
                case Denied(call_id, reason, retry_after_s):
                    call = self._calls.get(call_id)
                    if call is not None:
                        actions.append(Refuse(call, self._verdict(reason, retry_after_s)))
        return actions

    def _verdict(self, reason: str, retry_after_s: float) -> NotRun:
        over = reason == OVER_QUOTA
        self._count.over_quota += over
        return NotRun(reason, retry_after_s, status=TOO_MANY_REQUESTS if over else UNAVAILABLE)
