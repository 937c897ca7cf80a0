"""Calls that wait or run at an owner; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.admission.body_memory import (
    DEFAULT_BODY_MEMORY_BYTES,
    HEADER_COST_BYTES,
    BodyMemory,
)
from foldhoist.delivery.repeats import StartedRepeats
from foldhoist.delivery.replies import ended_record
from foldhoist.routing.routes import NO_RANK

if TYPE_CHECKING:
    from foldhoist.admission.due import DueQueue
    from foldhoist.admission.slots import SlotQueue
    from foldhoist.delivery.dispatch import Ended, Result, Ticket
    from foldhoist.schema.messages import Dispatch


CALL_COST_BYTES = 4096
"""Memory of a call in addition to its headers and body, bytes."""


class Tickets:
    """Calls by ticket number, with a limit on the total size of their bodies."""

    def __init__(self, bodies: BodyMemory | None) -> None:
        self.bodies = bodies if bodies is not None else BodyMemory(DEFAULT_BODY_MEMORY_BYTES)
        self._by_id: dict[int, Ticket] = {}
        self._next_id = 1
        self._running_by_rank: dict[int, int] = {}
        self._repeats = StartedRepeats()

    def __len__(self) -> int:
        """Return the number of calls that wait or run."""
        return len(self._by_id)

    def __getitem__(self, ticket_id: int) -> Ticket:
        """Return a call that waits or runs."""
        return self._by_id[ticket_id]

    def get(self, ticket_id: int) -> Ticket | None:
        """Return a call, or None if it has ended."""
        return self._by_id.get(ticket_id)

    def ids(self) -> list[int]:
        """Return the ticket numbers of all calls."""
        return list(self._by_id)

    def has_room(self, req: Dispatch) -> bool:
        """Return whether the call fits into the limits."""
        size = len(req["body"])
        if not self.bodies.has_made_room(size, size):
            return False
        return self.bodies.process.has_made_room(CALL_COST_BYTES)

    def add(self, ticket: Ticket, *, shared: bool = False) -> int:
        """Add a call and reserve memory for it; returns its ticket number.

        A request that is `shared` with the ingress of this process is counted there.
        """
        ticket_id = self._next_id
        self._next_id += 1
        self._by_id[ticket_id] = ticket
        if not shared:
            ticket.body_bytes = len(ticket.request["body"])
            ticket.cost_bytes = _cost_bytes(ticket.request)
        self.bodies.reserve(ticket.body_bytes)
        self.bodies.process.reserve(ticket.cost_bytes)
        return ticket_id

    def start(self, ticket_id: int, now: float) -> Ticket:
        """Mark a call as running at the upstream."""
        ticket = self._by_id[ticket_id]
        ticket.running = True
        ticket.started = now
        self._running_by_rank[ticket.rank] = self._running_by_rank.get(ticket.rank, 0) + 1
        self._repeats.started(now, ticket.repeat)
        return ticket

    @property
    def most_common_rank(self) -> int:
        """Return the most frequent rank among running calls, NO_RANK if none runs."""
        return max(self._running_by_rank, key=self._running_by_rank.__getitem__, default=NO_RANK)

    @property
    def repeat_share(self) -> float:
        """Return the share of repeats among recently started calls, 0 if none runs."""
        return self._repeats.share if self._running_by_rank else 0.0

    def pop(self, ticket_id: int) -> Ticket:
        """Remove a call that has ended and release its memory."""
        ticket = self._by_id.pop(ticket_id)
        self.bodies.release(ticket.body_bytes)
        self.bodies.process.release(ticket.cost_bytes)
        if ticket.running:
            self._running_by_rank[ticket.rank] -= 1
            if not self._running_by_rank[ticket.rank]:
                del self._running_by_rank[ticket.rank]
        return ticket

    def log_labels(self, ticket_ids: list[int]) -> list[str]:
        """Return `NAME=IDENTITY` for each of these calls that has not ended."""
        found = [ticket for each in ticket_ids if (ticket := self._by_id.get(each)) is not None]
        return [f"{ticket.request.get('name', '')}={ticket.identity}" for ticket in found]

    def ended_record(
        self, now: float, ticket_id: int, result: Result, queue: SlotQueue | DueQueue
    ) -> Ended | None:
        """Return the record of a call whose result has arrived but is not handled yet."""
        ticket = self._by_id.get(ticket_id)
        if ticket is None:
            return None
        return ended_record(now, ticket, result, queue.busy, queue.queued)

    def running(self) -> list[tuple[int, float]]:
        """Return ticket number and deadline of the running calls."""
        return [(each, t.deadline) for each, t in self._by_id.items() if t.running]


def _cost_bytes(req: Dispatch) -> int:
    """Return the memory of a call beside its body, bytes."""
    size = sum(len(name) + len(value) for name, value in req["headers"])
    return CALL_COST_BYTES + HEADER_COST_BYTES * len(req["headers"]) + size
