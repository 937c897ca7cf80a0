"""Tests of the queue that is ordered by due time."""

from __future__ import annotations

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from foldhoist.admission.due import LAST_ANSWERS, DueQueue, QueuedCall
from foldhoist.admission.slots import QueueLimits, Refuse, Start, Wait
from foldhoist.delivery.dispatch import Ticket


def queue(slots: int = 1, most: int = 10) -> DueQueue:
    return DueQueue(QueueLimits(slots, most, 0, 8))


def make_call(
    due: float, start_by: float = 9.0, expect: float = 0.1, deadline: float = 10.0
) -> QueuedCall:
    return QueuedCall(due, start_by, expect, deadline)


def test_the_call_that_is_due_first_goes_first() -> None:
    slots = queue()
    assert slots.submit(0.0, 1, make_call(5.0)) == Start(1)
    assert slots.submit(0.0, 2, make_call(4.0)) == Wait(2)
    assert slots.submit(0.0, 3, make_call(2.0)) == Wait(3)
    assert slots.release(0.5, 0.5) == [Start(3)]
    assert slots.release(1.0, 0.5) == [Start(2)]


def test_calls_that_cannot_be_on_time_wait_behind_those_that_can() -> None:
    slots = queue()
    slots.submit(0.0, 1, make_call(5.0))
    slots.submit(0.0, 2, make_call(1.0))
    slots.submit(0.0, 3, make_call(4.0))
    assert slots.release(2.0, 2.0) == [Start(3)]
    assert slots.release(3.0, 1.0) == [Start(2)]


def test_a_late_call_takes_a_free_slot_but_not_after_its_deadline() -> None:
    slots = queue()
    slots.submit(0.0, 1, make_call(5.0))
    slots.submit(0.0, 2, make_call(1.0, start_by=1.5, deadline=4.0))
    assert slots.release(2.0, 2.0) == [Start(2)]
    slots.submit(2.0, 3, make_call(3.0, start_by=3.5, deadline=4.0))
    (refused,) = slots.release(3.95, 2.0)
    assert isinstance(refused, Refuse)
    assert slots.busy == 0


def test_a_call_that_would_wait_too_long_is_refused_at_once_with_a_retry_time() -> None:
    slots = queue()
    slots.submit(0.0, 1, make_call(9.0))
    slots.submit(0.0, 2, make_call(1.0, expect=0.5))
    refused = slots.submit(0.0, 3, make_call(2.0, start_by=0.3))
    assert isinstance(refused, Refuse)
    assert refused.retry_after_s >= 0.5


def test_waiting_calls_are_refused_at_start_by() -> None:
    slots = queue()
    slots.submit(0.0, 1, make_call(9.0))
    slots.submit(0.0, 2, make_call(5.0, start_by=0.2))
    assert slots.next_at(0.0) == 0.2
    assert slots.expire(0.1) == []
    assert [type(each) for each in slots.expire(0.2)] == [Refuse]
    assert slots.release(0.3, 0.3) == []


def test_a_free_slot_is_taken_by_a_call_that_is_expected_to_be_late() -> None:
    """The expected service time may be too high."""
    slots = queue()
    late = make_call(due=1.0, start_by=0.5, expect=0.9, deadline=2.0)
    assert slots.submit(0.6, 1, late) == Start(1)
    assert isinstance(slots.submit(0.6, 2, late), Refuse)
    slots.release(0.7, 0.1)
    assert isinstance(slots.submit(2.0, 3, late), Refuse)


def test_calls_that_are_due_later_are_not_starved_under_overload() -> None:
    """One slot with twice the work it can do; one call in six is due later than the others."""
    slots = queue(1, 50)
    sent: list[int] = []
    started: list[int] = []

    def take(decisions: list[Any]) -> None:
        started.extend(each.ticket for each in decisions if isinstance(each, Start))

    for step in range(300):
        now = step * 0.1
        for number in range(2):
            ticket = 2 * step + number
            sent.append(ticket)
            due_ms = 1000 if ticket % 6 == 0 else 600
            request = call("any", "", due_ms=due_ms, budget_ms=2500, expect_ms=100)
            start_by = Ticket("", request, now).start_by
            new_call = slots.queued_call(now, request, start_by, now + 2.5)
            take([slots.submit(now, ticket, new_call)])
        if slots.busy:
            take(slots.release(now, 0.1))
        slots.expire(now)
    shares = []
    for due_later in (True, False):
        kind = [ticket for ticket in sent if (ticket % 6 == 0) is due_later]
        shares.append(sum(ticket in started for ticket in kind) / len(kind))
    assert min(shares) > 0.25
    assert shares[0] > shares[1] / 2


Steps = st.lists(st.tuples(st.integers(0, 3), st.floats(0.0, 2.0)), max_size=60)


@settings(max_examples=200, derandomize=True)
@given(Steps, st.integers(1, 3))
def test_slots_are_never_exceeded_and_every_call_is_decided_once(
    steps: list[tuple[int, float]], size: int
) -> None:
    slots = queue(size, 4)
    now = 0.0
    running: list[int] = []
    waiting: set[int] = set()
    decided: list[int] = []

    def take(decisions: list[object]) -> None:
        for decision in decisions:
            match decision:
                case Start(ticket):
                    running.append(ticket)
                    waiting.discard(ticket)
                    decided.append(ticket)
                case Refuse(ticket):
                    waiting.discard(ticket)
                    decided.append(ticket)
                case Wait(ticket):
                    waiting.add(ticket)

    for ticket, (kind, amount) in enumerate(steps):
        now += 0.1
        match kind:
            case 0 | 1:
                new_call = make_call(now + amount, now + amount / 2, 0.1, now + 2 * amount)
                take([slots.submit(now, ticket, new_call)])
            case 2 if running:
                running.pop()
                take(list(slots.release(now, 0.1)))
            case 3:
                take(list(slots.expire(now)))
        assert slots.busy == len(running) <= size
        assert slots.queued == len(waiting)
    assert len(decided) == len(set(decided))


def test_a_nested_call_waits_beyond_its_objective_and_keeps_its_order() -> None:
    slots = queue()
    nested = slots.queued_call(0.0, call("stock", "web", due_ms=100), 0.025, 0.4)
    assert nested.start_by == 0.025
    for caller in ("web", "pay"):
        for _ in range(20):
            slots.queued_call(0.0, call("pledge", caller), 0.1, 1.0)
    for _ in range(20):
        nested = slots.queued_call(0.0, call("stock", "web", due_ms=100), 0.025, 0.4)
    assert nested.start_by > 0.1
    slots.submit(0.0, 1, make_call(5.0))
    assert slots.submit(0.0, 2, make_call(0.6)) == Wait(2)
    assert slots.submit(0.0, 3, nested) == Wait(3)
    assert slots.release(0.15, 0.1) == [Start(3)]


def call(route: str, caller: str, **fields: Any) -> Any:
    """Return the fields of a request that the queue reads."""
    plain = {"route": route, "caller": caller, "due_ms": 500, "budget_ms": 400, "expect_ms": 30}
    return {"key": "", "retried": False, **plain, **fields}


def test_calls_of_a_customer_over_its_burst_go_behind_others() -> None:
    """One slot and nine calls of a customer that has used up its burst.

    Guards against a call of another customer that is refused or starts last because of them.
    """
    slots = queue(slots=1, most=20)
    plain: Any = {"budget_ms": 9000, "due_ms": 5000, "expect_ms": 100, "rank": 1}
    for ticket in range(1, 10):
        new_call = slots.queued_call(0.0, {**plain, "scarce": True}, 9.0, 10.0)
        slots.submit(0.0, ticket, new_call)
    other = slots.queued_call(0.1, plain, 9.0, 10.0)
    assert not other.low_priority
    assert slots.expected_wait(0.1, other) < 0.2
    assert isinstance(slots.submit(0.1, 10, other), Wait)
    (started,) = slots.release(0.2, 0.1)
    assert isinstance(started, Start)
    assert started.ticket == 10


def limited_and_slow() -> DueQueue:
    """Return a queue whose upstream sends a limit and has just taken 0.5 s for each call."""
    slots = queue(slots=4)
    slots.rate.set(0.0, 2.0)
    for number in range(LAST_ANSWERS):
        assert slots.submit(2.0 + number, number, make_call(9.0)) == Start(number)
        slots.release(2.5 + number, 0.5)
    return slots


def test_under_a_limit_no_start_is_spent_on_a_call_that_can_not_end_in_time() -> None:
    """Its start counted against the limit, and the call ended at its deadline."""
    slots = limited_and_slow()
    assert slots.submit(6.0, 10, make_call(9.0)) == Start(10)
    refused = slots.submit(6.6, 11, make_call(9.0, start_by=7.0, deadline=7.05))
    assert isinstance(refused, Refuse)
    slots.submit(6.7, 12, make_call(9.0, start_by=9.0, deadline=9.5))
    waiting = slots.submit(6.7, 13, make_call(9.5, start_by=8.0, deadline=8.1))
    assert isinstance(waiting, Wait)
    (late,) = slots.release(7.7, 1.7)
    assert isinstance(late, Refuse)


def test_under_a_limit_an_idle_upstream_gets_a_call_that_may_be_late() -> None:
    """Otherwise nobody would notice that it has become faster."""
    slots = limited_and_slow()
    assert slots.submit(6.6, 10, make_call(9.0, start_by=6.7, deadline=6.8)) == Start(10)
