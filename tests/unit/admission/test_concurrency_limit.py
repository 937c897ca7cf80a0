"""How many slots of an upstream are worth using, learned from its answers.

Symptom: calls waited and were refused concurrent empty slots. Sequence: an upstream announces three
slots, its owner used two, whatever came. Cause: a fifth of the slots was left empty at every
upstream, since some work more slowly when they are close to full; of three slots that is one.
Figures: a service of 36 slots with work for 28 had 24.
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


def times(rng: random.Random, *, slower: float, nested: bool) -> float:
    """Return the time of a call of 0.1 s: a quarter meets a spell of seven times."""
    work = 0.1 * rng.lognormvariate(0.0, 0.3) * slower
    if rng.random() < 0.25:
        work *= 7.0
    if nested and rng.random() < 0.7:
        work += rng.expovariate(4.0)
    return work


def played(limit: ConcurrencyLimit, seed: int, *, knee: float = 1.0, nested: bool = False) -> int:
    """Answer calls in and out of a crowd; returns how many were answered before it closed."""
    rng = random.Random(seed)
    for number in range(CALLS):
        concurrent = rng.randint(1, limit.slots)
        in_crowd = concurrent > limit.safe_slots
        waits = nested and (in_crowd or rng.random() < 0.3)
        took = times(rng, slower=knee if in_crowd else 1.0, nested=waits)
        limit.record_answer(number / 10, ROUTE, concurrent, took)
        if limit.current(number / 10) < limit.slots:
            return number
    return CALLS


@pytest.mark.parametrize("slots", [3, 5, 12])
@pytest.mark.parametrize("seed", range(8))
def test_one_that_slows_in_a_crowd_is_given_fewer_soon(slots: int, seed: int) -> None:
    limit = ConcurrencyLimit()
    limit.set_slots(slots)
    assert limit.current(0.0) == slots
    assert played(limit, seed, knee=2.0) < CALLS / 2


def test_one_that_keeps_its_speed_is_given_all_of_them() -> None:
    closed = 0
    for seed in range(40):
        limit = ConcurrencyLimit()
        limit.set_slots(5)
        closed += played(limit, seed) < CALLS
    assert closed <= 8


def test_what_was_given_up_is_tried_again_and_given_up_for_longer() -> None:
    limit = ConcurrencyLimit()
    limit.set_slots(10)
    now = 0.0
    closed: list[float] = []
    for _ in range(8):
        while limit.current(now) == 10:
            limit.record_answer(now, ROUTE, 3, 0.1)
            limit.record_answer(now, ROUTE, 10, 0.2)
        began = now
        while limit.current(now) == 8:
            now += 1.0
        closed.append(now - began)
    assert closed[0] == FIRST_REDUCTION_S
    assert closed == sorted(closed)
    assert closed[-1] == MAX_REDUCTION_S


def test_an_upstream_of_one_slot_is_given_it() -> None:
    limit = ConcurrencyLimit()
    limit.set_slots(1)
    assert limit.current(0.0) == 1


def test_another_number_of_slots_is_learned_anew() -> None:
    limit = ConcurrencyLimit()
    limit.set_slots(10)
    for _ in range(20):
        limit.record_answer(0.0, ROUTE, 3, 0.1)
    limit.set_slots(4)
    for _ in range(40):
        limit.record_answer(0.0, ROUTE, 4, 0.3)
    assert limit.current(0.0) == 4
