"""The owner's slots and queue: urgent calls first, without starving ordinary ones; no I/O."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple, TypeAlias

from foldhoist.admission.rate_limit import LIMITED, RateLimit

DEFAULT_SERVICE_S = 0.005
"""Service time assumed before the first answer, seconds."""
SMOOTHING = 0.1
"""Weight of the newest service time in the moving average."""


class Start(NamedTuple):
    """The call takes a slot and goes to the upstream now."""

    ticket: int


class Wait(NamedTuple):
    """The call waits in the queue."""

    ticket: int


class Refuse(NamedTuple):
    """The call is refused for `reason`; its caller may retry after `retry_after_s` seconds."""

    ticket: int
    reason: str
    retry_after_s: float


Decision: TypeAlias = Start | Wait | Refuse


class QueueLimits(NamedTuple):
    """Limits of one owner's queue, from the configuration.

    At most `slots` calls run and `queue` calls wait. `SlotQueue` keeps `urgent_slots` of the slots
    for urgent calls. After it has started `urgent_run` urgent calls from the queue while ordinary
    ones waited, an ordinary call goes next, in any slot.
    """

    slots: int
    queue: int
    urgent_slots: int
    urgent_run: int


class _Waiting(NamedTuple):
    ticket: int
    deadline: float


class SlotQueue:
    """Counts busy slots and orders waiting calls; `now` is in seconds, monotonic."""

    def __init__(self, limits: QueueLimits) -> None:
        self.limits = limits
        self.busy = 0
        self.service_s = DEFAULT_SERVICE_S
        self.rate = RateLimit()
        self._urgent: deque[_Waiting] = deque()
        self._ordinary: deque[_Waiting] = deque()
        self._withdrawn: set[int] = set()
        self._queued = 0
        self._urgent_in_row = 0

    @property
    def queued(self) -> int:
        """Return the number of waiting calls."""
        return self._queued

    def submit(self, now: float, ticket: int, urgent: bool, deadline: float) -> Decision:
        """Decide on a new call; `deadline` is its latest start, monotonic seconds."""
        if now >= deadline:
            return Refuse(ticket, "deadline-passed", 0.0)
        if self._is_first(urgent) and self._may_start(urgent) and self.rate.may_start(now):
            return self._started(now, ticket)
        ahead = len(self._urgent) if urgent else self._queued
        if self.rate.ready_at(now, ahead) > deadline:
            retry_at = self.rate.reserve_start(now, ahead, deadline)
            return Refuse(ticket, LIMITED, retry_at - now)
        expected = self.expected_wait(ahead)
        if self._queued >= self.limits.queue:
            return Refuse(ticket, "queue-full", self.expected_wait(self._queued))
        if now + expected > deadline:
            return Refuse(ticket, "no-slot-before-deadline", expected)
        lane = self._urgent if urgent else self._ordinary
        lane.append(_Waiting(ticket, deadline))
        self._queued += 1
        return Wait(ticket)

    def expected_wait(self, ahead: int) -> float:
        """Estimate the seconds until a call with `ahead` others before it gets a slot."""
        over = ahead + 1 + self.busy - self.limits.slots
        return max(0, over) * self.service_s / self.limits.slots

    def withdraw(self, ticket: int) -> None:
        """Remove a waiting call from the queue."""
        self._withdrawn.add(ticket)
        self._queued -= 1

    def release(self, now: float, served_s: float | None) -> list[Decision]:
        """Free a slot and start waiting calls.

        `served_s` is the service time, None if no answer came.
        """
        self.busy -= 1
        if served_s is not None:
            self.service_s += SMOOTHING * (served_s - self.service_s)
        return self.advance(now)

    def advance(self, now: float) -> list[Decision]:
        """Start waiting calls while slots are free; refuse those found past their deadline."""
        decisions: list[Decision] = []
        while True:
            self._drop_withdrawn(self._urgent)
            self._drop_withdrawn(self._ordinary)
            lane = self._next_lane() if self.rate.may_start(now) else None
            if lane is None:
                return decisions
            call = lane.popleft()
            self._queued -= 1
            if now >= call.deadline:
                decisions.append(Refuse(call.ticket, "deadline-passed", 0.0))
                continue
            self._count_urgent_run(lane)
            decisions.append(self._started(now, call.ticket))

    def limit_changed(self, now: float) -> list[Decision]:
        """Refuse the waiting calls that could start too late by the new rate limit."""
        decisions: list[Decision] = []
        ahead = 0
        for call in [*self._urgent, *self._ordinary]:
            if call.ticket in self._withdrawn:
                continue
            if self.rate.ready_at(now, ahead) <= call.deadline:
                ahead += 1
                continue
            self.withdraw(call.ticket)
            retry_at = self.rate.reserve_start(now, ahead, call.deadline)
            decisions.append(Refuse(call.ticket, LIMITED, retry_at - now))
        return [*decisions, *self.advance(now)]

    def expire(self, now: float) -> list[Decision]:
        """Refuse every waiting call whose deadline has passed."""
        decisions: list[Decision] = []
        for lane in (self._urgent, self._ordinary):
            late = [
                call for call in lane if now >= call.deadline and call.ticket not in self._withdrawn
            ]
            for call in late:
                self.withdraw(call.ticket)
                decisions.append(Refuse(call.ticket, "deadline-passed", 0.0))
            self._drop_withdrawn(lane)
        return decisions

    def _started(self, now: float, ticket: int) -> Start:
        self.busy += 1
        self.rate.record_start(now)
        return Start(ticket)

    def _drop_withdrawn(self, lane: deque[_Waiting]) -> None:
        while lane and lane[0].ticket in self._withdrawn:
            self._withdrawn.discard(lane.popleft().ticket)

    def _is_first(self, urgent: bool) -> bool:
        self._drop_withdrawn(self._urgent)
        return not self._urgent if urgent else self._queued == 0

    def _may_start(self, urgent: bool) -> bool:
        limit = self.limits.slots if urgent else self.limits.slots - self.limits.urgent_slots
        return self.busy < limit

    def _next_lane(self) -> deque[_Waiting] | None:
        if self.busy >= self.limits.slots:
            return None
        run_is_over = self._urgent_in_row >= self.limits.urgent_run
        if self._ordinary and run_is_over:
            return self._ordinary
        if self._urgent:
            return self._urgent
        if self._ordinary and self._may_start(urgent=False):
            return self._ordinary
        return None

    def _count_urgent_run(self, lane: deque[_Waiting]) -> None:
        if lane is self._urgent and self._ordinary:
            self._urgent_in_row += 1
            return
        if lane is self._ordinary:
            self._urgent_in_row = 0
