"""What an owner does about calls under which upstreams end; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.delivery.dispatch import CancelCall, QuarantineCalls, dispatch_identity
from foldhoist.quarantine.table import HELD

if TYPE_CHECKING:
    from foldhoist.delivery.dispatch import Action, Counters
    from foldhoist.delivery.load_reports import LoadReports
    from foldhoist.delivery.tickets import Tickets
    from foldhoist.delivery.waiting_calls import WaitingCalls
    from foldhoist.quarantine.table import Quarantine
    from foldhoist.schema.messages import Dispatch, Suspect


class QuarantinedCalls:
    """Notes ends of the upstream, and refuses or stops what would end it again."""

    def __init__(
        self,
        quarantine: Quarantine,
        tickets: Tickets,
        reports: LoadReports,
        waiting: WaitingCalls,
        count: Counters,
    ) -> None:
        self._quarantine = quarantine
        self._tickets = tickets
        self._reports = reports
        self._waiting = waiting
        self._count = count

    def upstream_ended(self, now: float, ticket_ids: list[int]) -> list[Action]:
        """Take in that the upstream has ended with these calls at work.

        They are told before their refusals: an ingress that may send one of them again, or gets one
        like it, has then counted this crash.
        """
        found = [ticket for each in ticket_ids if (ticket := self._tickets.get(each)) is not None]
        changed = self._quarantine.crashed(now, {ticket.identity for ticket in found})
        held = [row["call"] for row in changed if self._quarantine.held_s(now, row["call"])]
        return [*self._reports.crashes(changed), *self._quarantine_calls(held)]

    def learned(self, now: float, suspects: list[Suspect]) -> list[Action]:
        """Take in what another daemon knows of calls that end upstreams."""
        return self._quarantine_calls(self._quarantine.learned(now, suspects))

    def remaining_s(self, now: float, req: Dispatch) -> float:
        """Return for how long a call like this is refused, seconds; 0 if it may run."""
        if not self._quarantine.holding:
            return 0.0
        return self._quarantine.held_s(now, dispatch_identity(req))

    def _quarantine_calls(self, calls: list[str]) -> list[Action]:
        """Refuse waiting calls that would end the upstream, and stop those at work.

        One at work that may not be repeated keeps its chance of an answer.
        """
        if not calls:
            return []
        self._count.held += len(calls)
        actions: list[Action] = [QuarantineCalls(calls)]
        found = [each for each in self._tickets.ids() if self._tickets[each].identity in calls]
        for ticket_id in found:
            ticket = self._tickets[ticket_id]
            if ticket.running and ticket.request["repeatable"]:
                actions.append(CancelCall(ticket_id, HELD))
        return actions + self._waiting.refuse(found, HELD)
