"""Refuses and stops calls that crash upstreams; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.delivery.dispatch import CancelCall, QuarantineCalls, dispatch_identity
from foldhoist.quarantine.table import QUARANTINED

if TYPE_CHECKING:
    from foldhoist.delivery.dispatch import Action, Counters
    from foldhoist.delivery.load_reports import LoadReports
    from foldhoist.delivery.tickets import Tickets
    from foldhoist.delivery.waiting_calls import WaitingCalls
    from foldhoist.quarantine.table import Quarantine
    from foldhoist.schema.messages import Dispatch, Suspect


class QuarantinedCalls:
    """Records crashes of the upstream, and refuses or stops quarantined calls."""

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

    def upstream_crashed(self, now: float, ticket_ids: list[int]) -> list[Action]:
        """Record a crash of the upstream while these calls were running.

        The crash is reported before the calls are refused, so that an ingress has counted it before
        it retries one of them.
        """
        found = [ticket for each in ticket_ids if (ticket := self._tickets.get(each)) is not None]
        changed = self._quarantine.record_crash(now, {ticket.identity for ticket in found})
        quarantined = [
            row["call"] for row in changed if self._quarantine.remaining_s(now, row["call"])
        ]
        return [*self._reports.crashes(changed), *self._quarantine_calls(quarantined)]

    def merge(self, now: float, suspects: list[Suspect]) -> list[Action]:
        """Merge what another daemon knows of calls that crash upstreams."""
        return self._quarantine_calls(self._quarantine.merge(now, suspects))

    def remaining_s(self, now: float, req: Dispatch) -> float:
        """Return how long the call stays quarantined, seconds; 0 if it may run."""
        if not self._quarantine.active:
            return 0.0
        return self._quarantine.remaining_s(now, dispatch_identity(req))

    def _quarantine_calls(self, calls: list[str]) -> list[Action]:
        """Refuse waiting calls that are quarantined and cancel running ones.

        A running call that is not repeatable is left to finish.
        """
        if not calls:
            return []
        self._count.held += len(calls)
        actions: list[Action] = [QuarantineCalls(calls)]
        found = [each for each in self._tickets.ids() if self._tickets[each].identity in calls]
        for ticket_id in found:
            ticket = self._tickets[ticket_id]
            if ticket.running and ticket.request["repeatable"]:
                actions.append(CancelCall(ticket_id, QUARANTINED))
        return actions + self._waiting.refuse(found, QUARANTINED)
