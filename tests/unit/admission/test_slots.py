"""Tests of the owner's slots and queue."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from foldhoist.admission.slots import QueueLimits, Refuse, SlotQueue, Start, Wait

SHAPE = QueueLimits(slots=4, queue=6, urgent_slots=1, urgent_run=3)


def test_ordinary_calls_leave_the_urgent_slots_free() -> None:
    queue = SlotQueue(SHAPE)
    decisions = [queue.submit(0.0, ticket, False, 1.0) for ticket in range(4)]
    assert [type(each) for each in decisions] == [Start, Start, Start, Wait]
    assert isinstance(queue.submit(0.0, 9, True, 1.0), Start)


def test_urgent_calls_go_first_without_starving_ordinary_ones() -> None:
    queue = SlotQueue(SHAPE._replace(queue=100))
    for ticket in range(4):
        queue.submit(0.0, ticket, True, 9.0)
    queue.submit(0.0, 100, False, 9.0)
    for ticket in range(200, 220):
        queue.submit(0.0, ticket, True, 9.0)
    started = [each.ticket for _ in range(6) for each in queue.release(0.1, 0.001)]
    assert 100 in started[: SHAPE.urgent_run + 1]


def test_a_call_that_cannot_start_in_time_is_refused_on_arrival_with_a_retry_time() -> None:
    queue = SlotQueue(SHAPE._replace(queue=100))
    queue.service_s = 0.1
    for ticket in range(20):
        queue.submit(0.0, ticket, False, 9.0)
    refused = queue.submit(0.0, 99, False, 0.05)
    assert isinstance(refused, Refuse)
    assert refused.reason == "no-slot-before-deadline"
    assert refused.retry_after_s > 0.05


def test_a_call_that_waited_past_its_deadline_is_refused_not_started() -> None:
    queue = SlotQueue(QueueLimits(1, 5, 0, 1))
    queue.submit(0.0, 1, False, 9.0)
    queue.submit(0.0, 2, False, 0.5)
    assert queue.release(1.0, 0.1) == [Refuse(2, "deadline-passed", 0.0)]


class SlotMachine(RuleBasedStateMachine):
    """Compares the queue with a simple model under random calls, ends, withdrawals and waits."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = SlotQueue(SHAPE)
        self.now = 0.0
        self.ticket = 0
        self.running: set[int] = set()
        self.waiting: dict[int, float] = {}

    def take(self, decisions: list[Start | Wait | Refuse]) -> None:
        for each in decisions:
            match each:
                case Start(ticket):
                    assert self.waiting.pop(ticket, self.now + 1) > self.now
                    self.running.add(ticket)
                case Refuse(ticket):
                    self.waiting.pop(ticket, None)

    @rule(urgent=st.booleans(), left=st.floats(0.001, 1.0))
    def submit(self, urgent: bool, left: float) -> None:
        self.ticket += 1
        decision = self.queue.submit(self.now, self.ticket, urgent, self.now + left)
        if isinstance(decision, Wait):
            self.waiting[self.ticket] = self.now + left
            return
        self.take([decision])

    @rule()
    def end_one(self) -> None:
        if not self.running:
            return
        self.running.pop()
        self.take(self.queue.release(self.now, 0.01))

    @rule()
    def withdraw_one(self) -> None:
        if not self.waiting:
            return
        ticket, _ = self.waiting.popitem()
        self.queue.withdraw(ticket)

    @rule(seconds=st.floats(0.0, 0.3))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.take(self.queue.expire(self.now))

    @invariant()
    def counts_agree(self) -> None:
        assert self.queue.busy == len(self.running) <= SHAPE.slots
        assert self.queue.queued == len(self.waiting) <= SHAPE.queue


TestSlotMachine = SlotMachine.TestCase
TestSlotMachine.settings = settings(max_examples=60, stateful_step_count=40, derandomize=True)
