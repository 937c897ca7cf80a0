"""Refuses calls that wait at an owner and must not start; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from foldhoist.admission.due import DueQueue
    from foldhoist.admission.slots import SlotQueue
    from foldhoist.delivery.call_finisher import CallFinisher
    from foldhoist.delivery.dispatch import Action
    from foldhoist.delivery.tickets import Tickets


class WaitingCalls:
    """The calls of an owner that wait for a slot."""

    def __init__(
        self, queue: SlotQueue | DueQueue, tickets: Tickets, finisher: CallFinisher
    ) -> None:
        self._queue = queue
        self._tickets = tickets
        self._finisher = finisher

    def refuse(self, ticket_ids: list[int], reason: str) -> list[Action]:
        """Refuse those of these calls that wait for a slot."""
        actions: list[Action] = []
        for ticket_id in ticket_ids:
            if self._tickets[ticket_id].running:
                continue
            self._queue.withdraw(ticket_id)
            actions += self._finisher.refused(ticket_id, "no", reason, 0.0)
        return actions
