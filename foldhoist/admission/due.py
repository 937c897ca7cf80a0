"""The owner's slots and a queue ordered by due time, for routes with objectives; no I/O, no clock.

Calls that can still be on time start first, in order of their due times, those of low priority
last. Calls that can't be on time any more start after them, in order of their latest start. A call
that would wait too long is refused on arrival, so that its caller can try elsewhere.
"""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from typing import TYPE_CHECKING, NamedTuple

from foldhoist.admission.cold import ColdStart
from foldhoist.admission.completion import latest_start
from foldhoist.admission.nested import RouteCallers
from foldhoist.admission.pace import PaceMonitor
from foldhoist.admission.rate_limit import LIMITED, RateLimit
from foldhoist.admission.refusal_rates import RefusalRates
from foldhoist.admission.slots import DEFAULT_SERVICE_S, SMOOTHING, Refuse, Start, Wait

if TYPE_CHECKING:
    from foldhoist.admission.slots import Decision, QueueLimits
    from foldhoist.schema.messages import Dispatch

RANK_DELAY_S = 0.02
"""Added to the due time of a call once per rank, seconds; rank 0 adds nothing."""
LAST_ANSWERS = 3
"""Answers whose shortest time is the least that a call takes under a rate limit."""


class QueuedCall(NamedTuple):
    """A call that asks for a slot; times are monotonic seconds.

    `expect_s` is the expected service time. The call waits until `start_by`; a slot that is free
    after that is still taken before the `deadline`. Once it can't be answered by `on_time_by`
    (None: by `due`), it goes behind the calls that still can. Among calls that can be on time,
    those of `low_priority` go last.
    """

    due: float
    start_by: float
    expect_s: float
    deadline: float
    on_time_by: float | None = None
    rank: int = 0
    low_priority: bool = False

    @property
    def order(self) -> tuple[bool, float]:
        """Return the sort key among the calls that can still be on time."""
        return self.low_priority, self.due


class DueQueue:
    """Counts busy slots and orders waiting calls; `now` is in seconds, monotonic."""

    def __init__(self, limits: QueueLimits) -> None:
        self.limits = limits
        self.busy = 0
        self.service_s = DEFAULT_SERVICE_S
        self.pace = PaceMonitor()
        self.cold = ColdStart()
        self.rate = RateLimit()
        self._callers = RouteCallers()
        self._last_served_s: deque[float] = deque(maxlen=LAST_ANSWERS)
        self._waiting: dict[int, QueuedCall] = {}
        self._refusal_rates = RefusalRates()
        self._on_time: list[tuple[tuple[bool, float], int]] = []
        self._late: list[tuple[float, int]] = []

    @property
    def queued(self) -> int:
        """Return the number of waiting calls."""
        return len(self._waiting)

    def queued_call(
        self,
        now: float,
        req: Dispatch,
        start_by: float,
        deadline: float,
        last_start: float = float("inf"),
    ) -> QueuedCall:
        """Return a new call with its times and priority; records which service it comes from.

        It is due by the objective of its route, or without one when its budget ends, plus the delay
        of its rank. Calls of a customer that has used more than half of its burst have low
        priority, and so have calls of a rank that `RefusalRates` puts behind more urgent ones.

        A nested call takes the rank of its parent. If it is refused, the parent's work is lost, so
        it may wait longer, but not beyond `last_start`, and counts as on time until its deadline. A
        nested call of low priority waits no longer than other calls, since it would keep the slot
        of its parent occupied.
        """
        route = req.get("route", "")
        self._callers.record(route, req.get("caller", ""))
        nested = self._callers.is_nested(route)
        rank = max(0, req.get("rank", 0))
        if nested:
            rank = max(0, req.get("parent_rank", rank))
        due = now + req.get("due_ms", req["budget_ms"]) / 1000 + rank * RANK_DELAY_S
        expect_s = req.get("expect_ms", 0) / 1000
        low_priority = req.get("scarce", False) or self._refusal_rates.is_low_priority(now, rank)
        call = QueuedCall(due, start_by, expect_s, deadline, None, rank, low_priority)
        if not nested or call.low_priority:
            return call
        useful = latest_start(now, deadline, deadline, expect_s)
        start_by = min(max(start_by, useful), last_start)
        return call._replace(start_by=start_by, on_time_by=deadline)

    def submit(self, now: float, ticket: int, call: QueuedCall) -> Decision:
        """Decide on a new call.

        A call that finds a free slot starts even if it is expected to be late, since the expected
        service time may be wrong; it waits only if a slow upstream is likely to speed up soon. A
        call that has to wait must be able to start by `start_by`. Under a rate limit each start
        counts: a call that is expected to miss its deadline starts only at an idle upstream, which
        shows whether it has become faster.
        """
        if now >= call.deadline:
            return self._refused(now, ticket, call, "deadline-passed", 0.0)
        if self.rate.active and self.busy and now + self._least_s(call) >= call.deadline:
            return self._refused(now, ticket, call, "no-slot-in-time", self.service_s)
        # Under a rate limit a waiting call goes first, even if its timer is due but not run.
        is_next = not (self.rate.active and self._waiting)
        if is_next and self._has_room(now) and self._may_start(now, call):
            return self._started(now, ticket, call)
        if self.rate.active:
            ahead = sum(1 for other in self._waiting.values() if other.order <= call.order)
            start_by = min(call.start_by, call.deadline - self._least_s(call))
            if self.rate.ready_at(now, ahead) > start_by:
                return self._limited(now, ticket, call, ahead)
        expected = self.expected_wait(now, call)
        if len(self._waiting) >= self.limits.queue:
            return self._refused(now, ticket, call, "queue-full", expected)
        if now + expected > call.start_by:
            return self._refused(now, ticket, call, "no-slot-in-time", expected)
        self._waiting[ticket] = call
        heappush(self._on_time, (call.order, ticket))
        return Wait(ticket)

    def expected_wait(self, now: float, call: QueuedCall) -> float:
        """Estimate the seconds until a new call gets a slot, from the calls that go before it."""
        ahead = [other for other in self._waiting.values() if other.order <= call.order]
        work_s = sum(other.expect_s for other in ahead)
        slot_s = (work_s + self.service_s) / self.limits.slots
        cold_s = self.cold.ready_at(now, len(ahead)) - now
        return max(slot_s, cold_s, self.rate.ready_at(now, len(ahead)) - now)

    def withdraw(self, ticket: int) -> None:
        """Remove a waiting call from the queue."""
        self._waiting.pop(ticket, None)

    def release(self, now: float, served_s: float | None) -> list[Decision]:
        """Free a slot and start waiting calls.

        `served_s` is the service time, None if no answer came.
        """
        self.busy -= 1
        if served_s is not None:
            self.service_s += SMOOTHING * (served_s - self.service_s)
            self._last_served_s.append(served_s)
        return self.advance(now)

    def advance(self, now: float) -> list[Decision]:
        """Start calls while slots are free; refuse those that would miss their deadline."""
        decisions: list[Decision] = []
        while self._has_room(now):
            ticket = self._next(now)
            if ticket is None:
                return decisions
            call = self._waiting.pop(ticket)
            if now + self._least_s(call) >= call.deadline:
                reason, retry_after_s = "no-slot-in-time", self.service_s
                decisions.append(self._refused(now, ticket, call, reason, retry_after_s))
                continue
            decisions.append(self._started(now, ticket, call))
        return decisions

    def expire(self, now: float) -> list[Decision]:
        """Refuse every waiting call whose `start_by` has passed."""
        late = [ticket for ticket, call in self._waiting.items() if now >= call.start_by]
        reason, retry_after_s = "no-slot-in-time", self.service_s
        return [
            self._refused(now, ticket, self._waiting.pop(ticket), reason, retry_after_s)
            for ticket in late
        ]

    def limit_changed(self, now: float) -> list[Decision]:
        """Refuse the waiting calls that could start too late by the new rate limit."""
        decisions: list[Decision] = []
        ahead = 0
        for ticket, call in sorted(self._waiting.items(), key=lambda item: item[1].order):
            if self.rate.ready_at(now, ahead) <= call.start_by:
                ahead += 1
                continue
            del self._waiting[ticket]
            decisions.append(self._limited(now, ticket, call, ahead))
        return [*decisions, *self.advance(now)]

    def next_at(self, now: float) -> float | None:
        """Return when to look again: a waiting call expires, or the upstream may take one.

        None if no call waits.
        """
        if not self._waiting:
            return None
        late_at = min(call.start_by for call in self._waiting.values())
        ready_at = max(self.cold.ready_at(now), self.rate.ready_at(now))
        return min(late_at, ready_at) if ready_at > now else late_at

    def _least_s(self, call: QueuedCall) -> float:
        """Return the least time that a call is expected to take, seconds.

        Under a rate limit there are few answers, so that the expected time follows late when the
        upstream becomes slower; a call takes at least as long as each of the last answers did.
        """
        if not self.rate.active or len(self._last_served_s) < LAST_ANSWERS:
            return call.expect_s
        return max(call.expect_s, min(self._last_served_s))

    def _has_room(self, now: float) -> bool:
        if self.busy >= self.cold.usable_slots(self.limits.slots):
            return False
        return self.cold.may_start(now) and self.rate.may_start(now)

    def _started(self, now: float, ticket: int, call: QueuedCall) -> Start:
        self.busy += 1
        self.cold.record_start(now)
        self.rate.record_start(now)
        self._refusal_rates.record(now, call.rank, refused=False)
        return Start(ticket)

    def _refused(
        self, now: float, ticket: int, call: QueuedCall, reason: str, retry_after_s: float
    ) -> Refuse:
        self._refusal_rates.record(now, call.rank, refused=True)
        return Refuse(ticket, reason, retry_after_s)

    def _limited(self, now: float, ticket: int, call: QueuedCall, ahead: int) -> Refuse:
        """Refuse a call that could start too late by the rate limit."""
        retry_at = self.rate.reserve_start(now, ahead, call.deadline)
        return self._refused(now, ticket, call, LIMITED, retry_at - now)

    def _may_start(self, now: float, call: QueuedCall) -> bool:
        """Return whether the call should start now rather than wait for a faster upstream.

        A call that starts while the upstream is slow occupies its slot several times as long as one
        that starts afterwards.
        """
        return not self.pace.is_worth_waiting(now, call.expect_s)

    def _next(self, now: float) -> int | None:
        skipped: list[tuple[tuple[bool, float], int]] = []
        found = self._first_on_time(now, skipped)
        for entry in skipped:
            heappush(self._on_time, entry)
        return self._first_late(now) if found is None else found

    def _first_on_time(
        self, now: float, skipped: list[tuple[tuple[bool, float], int]]
    ) -> int | None:
        while self._on_time:
            order, ticket = heappop(self._on_time)
            call = self._waiting.get(ticket)
            if call is None:
                continue
            if now + call.expect_s > (call.on_time_by or call.due):
                heappush(self._late, (call.start_by, ticket))
                continue
            if self._may_start(now, call):
                return ticket
            skipped.append((order, ticket))
        return None

    def _first_late(self, now: float) -> int | None:
        skipped: list[tuple[float, int]] = []
        found: int | None = None
        while self._late and found is None:
            start_by, ticket = heappop(self._late)
            call = self._waiting.get(ticket)
            if call is None:
                continue
            if self._may_start(now, call):
                found = ticket
            else:
                skipped.append((start_by, ticket))
        for entry in skipped:
            heappush(self._late, entry)
        return found
