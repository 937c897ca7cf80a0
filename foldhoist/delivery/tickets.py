"""Calls that wait or run at an owner; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.admission.body_memory import DEFAULT_BODY_MEMORY_BYTES, BodyMemory
from foldhoist.delivery.repeats import StartedRepeats
from foldhoist.routing.routes import NO_RANK

if TYPE_CHECKING:
    from foldhoist.delivery.dispatch import Ticket
    from foldhoist.schema.messages import Dispatch


class Tickets:
    """Calls by ticket number, with a limit on the total size of their bodies."""

    def __init__(self, bodies: BodyMemory | None) -> None:
        self._bodies = bodies if bodies is not None else BodyMemory(DEFAULT_BODY_MEMORY_BYTES)
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
        """Return whether the body of the call fits into the limit."""
        size = len(req["body"])
        return self._bodies.has_room(size, size)

    def add(self, ticket: Ticket) -> int:
        """Add a call and reserve memory for its body; returns its ticket number."""
        ticket_id = self._next_id
        self._next_id += 1
        self._by_id[ticket_id] = ticket
        self._bodies.reserve(len(ticket.request["body"]))
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
        """Remove a call that has ended and release the memory of its body."""
        ticket = self._by_id.pop(ticket_id)
        self._bodies.release(len(ticket.request["body"]))
        if ticket.running:
            self._running_by_rank[ticket.rank] -= 1
            if not self._running_by_rank[ticket.rank]:
                del self._running_by_rank[ticket.rank]
        return ticket

    def log_labels(self, ticket_ids: list[int]) -> list[str]:
        """Return `NAME=IDENTITY` for each of these calls that has not ended."""
        found = [ticket for each in ticket_ids if (ticket := self._by_id.get(each)) is not None]
        return [f"{ticket.request.get('name', '')}={ticket.identity}" for ticket in found]

    def running(self) -> list[tuple[int, float]]:
        """Return ticket number and deadline of the running calls."""
        return [(each, t.deadline) for each, t in self._by_id.items() if t.running]
