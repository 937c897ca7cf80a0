"""Tests of how many slots of an upstream are used, as learned from its answers.

They guard against calls that wait in spite of unused slots of an upstream that keeps its speed.
"""

from __future__ import annotations

import random

import pytest

from foldhoist.admission.concurrency_limit import (
    FIRST_REDUCTION_S,
    MAX_REDUCTION_S,
    ConcurrencyLimit,
)

ROUTE = "r"
CALLS = 400


def service_time(rng: random.Random, *, factor: float, nested: bool) -> float:
    """Return a service time around 0.1 s; a quarter of the calls take seven times as long."""
    work = 0.1 * rng.lognormvariate(0.0, 0.3) * factor
    if rng.random() < 0.25:
        work *= 7.0
    if nested and rng.random() < 0.7:
        work += rng.expovariate(4.0)
    return work


def answers_before_reduction(
    limit: ConcurrencyLimit, seed: int, *, slowdown: float = 1.0, nested: bool = False
) -> int:
    """Record answers at random concurrency; returns how many came before the limit was reduced."""
    rng = random.Random(seed)
    for number in range(CALLS):
        concurrent = rng.randint(1, limit.slots)
        loaded = concurrent > limit.safe_slots
        waits = nested and (loaded or rng.random() < 0.3)
        took = service_time(rng, factor=slowdown if loaded else 1.0, nested=waits)
        limit.record_answer(number / 10, ROUTE, concurrent, took)
        if limit.current(number / 10) < limit.slots:
            return number
    return CALLS


@pytest.mark.parametrize("slots", [3, 5, 12])
@pytest.mark.parametrize("seed", range(8))
def test_an_upstream_that_slows_down_under_load_soon_gets_fewer_calls(
    slots: int, seed: int
) -> None:
    limit = ConcurrencyLimit()
    limit.set_slots(slots)
    assert limit.current(0.0) == slots
    assert answers_before_reduction(limit, seed, slowdown=2.0) < CALLS / 2


def test_all_slots_of_an_upstream_that_keeps_its_speed_are_used() -> None:
    reduced = 0
    for seed in range(40):
        limit = ConcurrencyLimit()
        limit.set_slots(5)
        reduced += answers_before_reduction(limit, seed) < CALLS
    assert reduced <= 8


def test_reductions_end_and_each_is_longer_up_to_a_maximum() -> None:
    limit = ConcurrencyLimit()
    limit.set_slots(10)
    now = 0.0
    reduced: list[float] = []
    for _ in range(8):
        while limit.current(now) == 10:
            limit.record_answer(now, ROUTE, 3, 0.1)
            limit.record_answer(now, ROUTE, 10, 0.2)
        began = now
        while limit.current(now) == 8:
            now += 1.0
        reduced.append(now - began)
    assert reduced[0] == FIRST_REDUCTION_S
    assert reduced == sorted(reduced)
    assert reduced[-1] == MAX_REDUCTION_S


def test_the_only_slot_of_an_upstream_is_used() -> None:
    limit = ConcurrencyLimit()
    limit.set_slots(1)
    assert limit.current(0.0) == 1


def test_a_new_number_of_slots_discards_all_samples() -> None:
    limit = ConcurrencyLimit()
    limit.set_slots(10)
    for _ in range(20):
        limit.record_answer(0.0, ROUTE, 3, 0.1)
    limit.set_slots(4)
    for _ in range(40):
        limit.record_answer(0.0, ROUTE, 4, 0.3)
    assert limit.current(0.0) == 4
