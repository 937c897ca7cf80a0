"""The slots that an owner uses of an upstream that announces itself; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.admission.concurrency_limit import ConcurrencyLimit

if TYPE_CHECKING:
    from foldhoist.admission.slots import QueueLimits
    from foldhoist.delivery.dispatch import Ticket

QUEUE_PER_SLOT = 3
"""Calls that may wait for each slot of an upstream that announces itself."""


class SlotLimits:
    """The announced slots, or fewer where answers show that many calls slow the upstream."""

    def __init__(self) -> None:
        self._concurrency = ConcurrencyLimit()

    def set_announced(self, slots: int) -> None:
        """Set the number of slots that the upstream announces."""
        self._concurrency.set_slots(slots)

    def record_answer(self, now: float, ticket: Ticket, served_s: float) -> None:
        """Record the service time of a call, seconds."""
        route = ticket.request.get("route", "")
        self._concurrency.record_answer(now, route, ticket.running_at_start, served_s)

    def apply_to(self, now: float, limits: QueueLimits) -> QueueLimits:
        """Return the limits of the queue with the current slots."""
        slots = self._concurrency.current(now)
        return limits._replace(slots=slots, queue=slots * QUEUE_PER_SLOT)
