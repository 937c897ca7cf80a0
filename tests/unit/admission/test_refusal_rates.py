"""Tests that no rank is refused far more often than a less urgent one, and that none starves."""

from __future__ import annotations

from typing import Any

from foldhoist.admission.due import DueQueue
from foldhoist.admission.refusal_rates import MIN_DECISIONS, RefusalRates
from foldhoist.admission.slots import QueueLimits, Refuse, Start
from foldhoist.delivery.dispatch import Ticket


def test_a_rank_has_low_priority_while_a_more_urgent_one_is_refused_more_often() -> None:
    rates = RefusalRates()
    for number in range(int(MIN_DECISIONS) + 5):
        rates.record(0.0, 1, refused=number % 2 == 0)
        rates.record(0.0, 2, refused=False)
    assert rates.is_low_priority(0.0, 2)
    assert not rates.is_low_priority(0.0, 1)
    assert not rates.is_low_priority(0.0, 0)
    for _ in range(20):
        rates.record(0.1, 2, refused=True)
    assert not rates.is_low_priority(0.1, 2)


def test_few_or_old_decisions_are_ignored() -> None:
    rates = RefusalRates()
    rates.record(0.0, 0, refused=True)
    assert not rates.is_low_priority(0.0, 1)
    for _ in range(20):
        rates.record(0.0, 0, refused=True)
    assert rates.is_low_priority(0.1, 1)
    assert not rates.is_low_priority(30.0, 1)


def call(route: str, caller: str, rank: int, **fields: Any) -> Any:
    plain = {
        "route": route,
        "caller": caller,
        "rank": rank,
        "key": "",
        "retried": False,
        "budget_ms": 2500,
    }
    return {**plain, "due_ms": 800, "expect_ms": 100, **fields}


def test_a_nested_call_has_the_rank_of_its_parent() -> None:
    slots = DueQueue(QueueLimits(4, 10, 0, 8))
    for number in range(40):
        slots.queued_call(0.0, call("post", ("web", "pay")[number % 2], 1), 1.0, 2.5)
        slots.queued_call(0.0, call("peek", "quotes", 1, parent_rank=2), 1.0, 2.5)
    assert slots.queued_call(0.0, call("peek", "quotes", 1, parent_rank=2), 1.0, 2.5).rank == 2
    assert slots.queued_call(0.0, call("peek", "quotes", 1), 1.0, 2.5).rank == 1
    assert slots.queued_call(0.0, call("post", "web", 1, parent_rank=2), 1.0, 2.5).rank == 1


def test_urgent_calls_are_refused_no_more_often_than_others_that_are_due_sooner() -> None:
    """One slot under overload; calls of rank 2 are due sooner than those of rank 1."""
    slots = DueQueue(QueueLimits(1, 50, 0, 8))
    ranks: dict[int, int] = {}
    started: set[int] = set()
    free_at = 0.0
    for step in range(3000):
        now = step * 0.01
        if slots.busy and now >= free_at:
            take(slots.release(now, 0.1), started)
            free_at = now + 0.05
        slots.expire(now)
        if step % 5:
            continue
        rank = 1 if step % 10 else 2
        ranks[step] = rank
        request = call("any", "", rank, due_ms=800 if rank == 1 else 300, expect_ms=80)
        start_by = Ticket("", request, now).start_by
        decision = slots.submit(now, step, slots.queued_call(now, request, start_by, now + 2.5))
        take([decision], started)
        if isinstance(decision, Start):
            free_at = now + 0.1
    served = {rank: _share(ranks, started, rank) for rank in (1, 2)}
    assert served[1] >= served[2] - 0.1
    assert min(served.values()) > 0.25


def take(decisions: list[Any], started: set[int]) -> None:
    started.update(each.ticket for each in decisions if isinstance(each, Start))
    assert all(isinstance(each, Start | Refuse) or each for each in decisions)


def _share(ranks: dict[int, int], started: set[int], rank: int) -> float:
    kind = [ticket for ticket, each in ranks.items() if each == rank]
    return sum(ticket in started for ticket in kind) / len(kind)
