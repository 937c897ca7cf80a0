"""The owner's slots and its queue: admit, wait or refuse, urgent calls first but not alone."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple, TypeAlias

DEFAULT_SERVICE_S = 0.005
"""Service time assumed before the first answer, seconds."""
SMOOTHING = 0.1
"""Weight of the newest service time in the running mean."""


class Start(NamedTuple):
    """A slot was taken; the call goes to the upstream now."""

    ticket: int


class Wait(NamedTuple):
    """The call waits in the queue."""

    ticket: int


class Refuse(NamedTuple):
    """The call gets no slot in time; ask again after `retry_after_s` seconds."""

    ticket: int
    reason: str
    retry_after_s: float


Decision: TypeAlias = Start | Wait | Refuse


class QueueLimits(NamedTuple):
    """Sizes of one owner's queue, from the configuration."""

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
        self._urgent: deque[_Waiting] = deque()
        self._ordinary: deque[_Waiting] = deque()
        self._gone: set[int] = set()
        self._queued = 0
        self._urgent_in_row = 0

    @property
    def queued(self) -> int:
        """Return the number of calls that wait."""
        return self._queued

    def submit(self, now: float, ticket: int, urgent: bool, deadline: float) -> Decision:
        """Decide on a new call; `deadline` is the latest useful start, seconds."""
        if now >= deadline:
            return Refuse(ticket, "deadline-passed", 0.0)
        if self._is_first(urgent) and self._may_start(urgent):
            self.busy += 1
            return Start(ticket)
        ahead = len(self._urgent) if urgent else self._queued
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
        """Return the seconds until a call with `ahead` others before it gets a slot."""
        over = ahead + 1 + self.busy - self.limits.slots
        return max(0, over) * self.service_s / self.limits.slots

    def withdraw(self, ticket: int) -> None:
        """Take a waiting call out of the queue."""
        self._gone.add(ticket)
        self._queued -= 1

    def release(self, now: float, served_s: float | None) -> list[Decision]:
        """Free a slot; `served_s` is the service time if an answer came. Starts waiting calls."""
        self.busy -= 1
        if served_s is not None:
            self.service_s += SMOOTHING * (served_s - self.service_s)
        return self.advance(now)

    def advance(self, now: float) -> list[Decision]:
        """Start what can be started and refuse what has waited past its deadline."""
        decisions: list[Decision] = []
        while True:
            self._drop_gone(self._urgent)
            self._drop_gone(self._ordinary)
            lane = self._next_lane()
            if lane is None:
                return decisions
            call = lane.popleft()
            self._queued -= 1
            if now >= call.deadline:
                decisions.append(Refuse(call.ticket, "deadline-passed", 0.0))
                continue
            self._count_lane(lane)
            self.busy += 1
            decisions.append(Start(call.ticket))

    def expire(self, now: float) -> list[Decision]:
        """Refuse every waiting call whose deadline has passed."""
        decisions: list[Decision] = []
        for lane in (self._urgent, self._ordinary):
            late = [call for call in lane if now >= call.deadline and call.ticket not in self._gone]
            for call in late:
                self.withdraw(call.ticket)
                decisions.append(Refuse(call.ticket, "deadline-passed", 0.0))
            self._drop_gone(lane)
        return decisions

    def _drop_gone(self, lane: deque[_Waiting]) -> None:
        while lane and lane[0].ticket in self._gone:
            self._gone.discard(lane.popleft().ticket)

    def _is_first(self, urgent: bool) -> bool:
        self._drop_gone(self._urgent)
        return not self._urgent if urgent else self._queued == 0

    def _may_start(self, urgent: bool) -> bool:
        limit = self.limits.slots if urgent else self.limits.slots - self.limits.urgent_slots
        return self.busy < limit

    def _next_lane(self) -> deque[_Waiting] | None:
        if self.busy >= self.limits.slots:
            return None
        passed_enough = self._urgent_in_row >= self.limits.urgent_run
        if self._ordinary and passed_enough:
            return self._ordinary
        if self._urgent:
            return self._urgent
        if self._ordinary and self._may_start(urgent=False):
            return self._ordinary
        return None

    def _count_lane(self, lane: deque[_Waiting]) -> None:
        if lane is self._urgent and self._ordinary:
            self._urgent_in_row += 1
            return
        if lane is self._ordinary:
            self._urgent_in_row = 0
