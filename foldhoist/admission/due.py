"""The owner's slots and a queue ordered by when answers are due, for routes with objectives.

Calls that can still be on time go first, the one that is due first before the others; calls that
cannot be on time any more wait behind them. A call that would wait too long is refused at once, so
that its caller can go elsewhere.
"""

from __future__ import annotations

from heapq import heappop, heappush
from typing import TYPE_CHECKING, NamedTuple

from foldhoist.admission.completion import latest_start
from foldhoist.admission.nested import CallersOfRoutes
from foldhoist.admission.pace import PaceWatch
from foldhoist.admission.slots import DEFAULT_SERVICE_S, SMOOTHING, Refuse, Start, Wait

if TYPE_CHECKING:
    from foldhoist.admission.slots import Decision, Shape
    from foldhoist.schema.messages import Dispatch

RANK_S = 0.02
"""Each rank counts as if its calls were due this much later, seconds."""


class Wish(NamedTuple):
    """What a call asks for; times are monotonic seconds, `expect_s` how long it takes.

    It waits until `start_by`; a slot that is free then is still taken before the `deadline`. What
    can't be answered before `timely` goes behind the others; None for the time that it is `due`.
    """

    due: float
    start_by: float
    expect_s: float
    deadline: float
    timely: float | None = None


class DueQueue:
    """Counts busy slots and orders waiting calls; `now` is in seconds, monotonic."""

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self.busy = 0
        self.service_s = DEFAULT_SERVICE_S
        self.pace = PaceWatch()
        self._callers = CallersOfRoutes()
        self._waiting: dict[int, Wish] = {}
        self._timely: list[tuple[float, int]] = []
        self._late: list[tuple[float, int]] = []

    @property
    def queued(self) -> int:
        """Return the number of calls that wait."""
        return len(self._waiting)

    def wish_of(self, now: float, req: Dispatch, start_by: float, deadline: float) -> Wish:
        """Return what a new call asks for; without an objective it is due at its deadline.

        The call is counted for what its route is taken for. A nested call is a part of another
        one, which is lost if it is refused: it waits longer, and is of use until its deadline.
        """
        due = now + req.get("due_ms", req["budget_ms"]) / 1000
        due += max(0, req.get("rank", 0)) * RANK_S
        expect_s = req.get("expect_ms", 0) / 1000
        route = req.get("route", "")
        self._callers.learn(route, req.get("caller", ""))
        if not self._callers.is_nested(route):
            return Wish(due, start_by, expect_s, deadline)
        useful = latest_start(now, deadline, deadline, expect_s)
        return Wish(due, max(start_by, useful), expect_s, deadline, deadline)

    def submit(self, now: float, ticket: int, wish: Wish) -> Decision:
        """Decide on a new call: with a slot free, what waits only waits for a faster moment."""
        if now >= wish.start_by:
            return Refuse(ticket, "deadline-passed", 0.0)
        if self.busy < self.shape.slots and self._may_start(now, wish):
            self.busy += 1
            return Start(ticket)
        expected = self.expected_wait(wish)
        if len(self._waiting) >= self.shape.queue:
            return Refuse(ticket, "queue-full", expected)
        if now + expected > wish.start_by:
            return Refuse(ticket, "no-slot-in-time", expected)
        self._waiting[ticket] = wish
        heappush(self._timely, (wish.due, ticket))
        return Wait(ticket)

    def expected_wait(self, wish: Wish) -> float:
        """Return the seconds until a new call gets a slot, by the work that goes before it."""
        ahead = sum(other.expect_s for other in self._waiting.values() if other.due <= wish.due)
        return (ahead + self.service_s) / self.shape.slots

    def withdraw(self, ticket: int) -> None:
        """Take a waiting call out of the queue."""
        self._waiting.pop(ticket, None)

    def release(self, now: float, served_s: float | None) -> list[Decision]:
        """Free a slot; `served_s` is the service time if an answer came. Starts waiting calls."""
        self.busy -= 1
        if served_s is not None:
            self.service_s += SMOOTHING * (served_s - self.service_s)
        return self.advance(now)

    def advance(self, now: float) -> list[Decision]:
        """Start what can be started and refuse what has waited too long."""
        decisions: list[Decision] = []
        while self.busy < self.shape.slots:
            ticket = self._next(now)
            if ticket is None:
                return decisions
            wish = self._waiting.pop(ticket)
            if now + wish.expect_s >= wish.deadline:
                decisions.append(Refuse(ticket, "no-slot-in-time", self.service_s))
                continue
            self.busy += 1
            decisions.append(Start(ticket))
        return decisions

    def expire(self, now: float) -> list[Decision]:
        """Refuse every waiting call that may not start any more."""
        late = [ticket for ticket, wish in self._waiting.items() if now >= wish.start_by]
        for ticket in late:
            del self._waiting[ticket]
        return [Refuse(ticket, "no-slot-in-time", self.service_s) for ticket in late]

    def next_at(self) -> float | None:
        """Return when the first waiting call may not start any more, None if none waits."""
        return min((wish.start_by for wish in self._waiting.values()), default=None)

    def _may_start(self, now: float, wish: Wish) -> bool:
        """Return whether the call should start now rather than wait for a faster moment.

        A call that starts in a slow spell of the upstream holds its slot for several times as long
        as one that waits for the end of the spell.
        """
        return not self.pace.is_worth_waiting(now, wish.expect_s)

    def _next(self, now: float) -> int | None:
        held: list[tuple[float, int]] = []
        found = self._first_timely(now, held)
        for entry in held:
            heappush(self._timely, entry)
        return self._first_late(now) if found is None else found

    def _first_timely(self, now: float, held: list[tuple[float, int]]) -> int | None:
        while self._timely:
            due, ticket = heappop(self._timely)
            wish = self._waiting.get(ticket)
            if wish is None:
                continue
            if now + wish.expect_s > (wish.timely or wish.due):
                heappush(self._late, (wish.start_by, ticket))
                continue
            if self._may_start(now, wish):
                return ticket
            held.append((due, ticket))
        return None

    def _first_late(self, now: float) -> int | None:
        held: list[tuple[float, int]] = []
        found: int | None = None
        while self._late and found is None:
            start_by, ticket = heappop(self._late)
            wish = self._waiting.get(ticket)
            if wish is None:
                continue
            if self._may_start(now, wish):
                found = ticket
            else:
                held.append((start_by, ticket))
        for entry in held:
            heappush(self._late, entry)
        return found
