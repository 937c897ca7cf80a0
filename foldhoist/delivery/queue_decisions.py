"""Carries out the decisions of an owner's queue: starts calls or refuses them; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.admission.rate_limit import LIMITED
from foldhoist.admission.slots import Refuse, Start
from foldhoist.delivery.dispatch import StartCall

if TYPE_CHECKING:
    from foldhoist.admission.due import DueQueue
    from foldhoist.admission.slots import Decision, SlotQueue
    from foldhoist.delivery.call_finisher import CallFinisher
    from foldhoist.delivery.dispatch import Action, Counters
    from foldhoist.delivery.tickets import Tickets
    from foldhoist.delivery.upstream_status import UpstreamStatus

INGRESS_LEAVING = "ingress-leaving"
"""Reason of refusals of calls that could outlast the process of their ingress."""


class QueueDecisions:
    """Starts and refuses the calls of one owner; times are monotonic seconds."""

    def __init__(
        self,
        status: UpstreamStatus,
        queue: SlotQueue | DueQueue,
        tickets: Tickets,
        finisher: CallFinisher,
        count: Counters,
    ) -> None:
        self._status = status
        self._queue = queue
        self._tickets = tickets
        self._finisher = finisher
        self._count = count

    def apply(self, now: float, decisions: list[Decision]) -> list[Action]:
        """Carry out decisions; a call that may not start any more is refused."""
        actions: list[Action] = []
        for decision in decisions:
            match decision:
                case Start(ticket_id) if now > self._status.last_start_at:
                    actions += self._refuse_started(now, ticket_id, "upstream-leaving")
                case Start(ticket_id) if now > self._tickets[ticket_id].last_start:
                    actions += self._refuse_started(now, ticket_id, INGRESS_LEAVING)
                case Start(ticket_id):
                    actions.append(self._start(now, ticket_id))
                case Refuse(ticket_id, reason, retry_after_s):
                    self._count.limited += reason == LIMITED
                    actions += self._finisher.refused(ticket_id, "no", reason, retry_after_s)
        return actions

    def end_shed(
        self, now: float, ticket_id: int, reason: str, retry_after_s: float
    ) -> list[Action]:
        """End a call that the upstream received and turned away."""
        self._count.turned_away += 1
        started = self.apply(now, self._queue.release(now, None))
        return [
            *self._finisher.refused(ticket_id, "no", reason, retry_after_s, reached=True),
            *started,
        ]

    def _refuse_started(self, now: float, ticket_id: int, reason: str) -> list[Action]:
        """Refuse a call that the queue has given a slot, and pass the slot on."""
        started = self.apply(now, self._queue.release(now, None))
        return [*started, *self._finisher.refused(ticket_id, "no", reason, 0.0)]

    def _start(self, now: float, ticket_id: int) -> Action:
        ticket = self._tickets.start(ticket_id, now)
        ticket.running_at_start = self._queue.busy
        ticket.replacements = self._status.replacements
        self._count.dispatched += 1
        self._count.repeats += ticket.request["retried"]
        instance = self._status.instance
        return StartCall(ticket_id, ticket.request, ticket.deadline - now, instance)
