"""Withdraws calls from an owner that their ingress has given up; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.delivery.dispatch import CancelCall

if TYPE_CHECKING:
    from foldhoist.admission.due import DueQueue
    from foldhoist.admission.slots import SlotQueue
    from foldhoist.delivery.call_finisher import CallFinisher
    from foldhoist.delivery.dispatch import Action, Counters, Peer
    from foldhoist.delivery.tickets import Tickets
    from foldhoist.schema.messages import Withdraw


class Withdrawals:
    """Drops calls that wait and cancels those that run; ones with a key go on."""

    def __init__(
        self,
        queue: SlotQueue | DueQueue,
        tickets: Tickets,
        finisher: CallFinisher,
        count: Counters,
    ) -> None:
        self._queue = queue
        self._tickets = tickets
        self._finisher = finisher
        self._count = count

    def apply(self, peer: Peer, message: Withdraw) -> list[Action]:
        """Withdraw one call; one that has started goes on if the message says so."""
        ticket_id = peer.live.get(message["seq"])
        if ticket_id is None:
            return []
        ticket = self._tickets[ticket_id]
        if ticket.key:
            return []
        if not ticket.running:
            self._queue.withdraw(ticket_id)
            self._count.withdrawn += 1
            return self._finisher.refused(ticket_id, "no", "withdrawn", 0.0)
        if message.get("only_waiting", False):
            return []
        self._count.cancelled += 1
        return [CancelCall(ticket_id)]
