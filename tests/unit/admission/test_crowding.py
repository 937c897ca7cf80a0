"""How many slots of an upstream are worth using, learned from its answers.

Symptom: calls waited and were refused beside empty slots. Sequence: an upstream announces three
slots, its owner used two, whatever came. Cause: a fifth of the slots was left empty at every
upstream, since some work more slowly when they are close to full; of three slots that is one.
Figures: a service of 36 slots with work for 28 had 24.
"""

from __future__ import annotations

import random

import pytest

from foldhoist.admission.crowding import CLOSED_FIRST_S, CLOSED_LONGEST_S, Crowding

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


def played(crowding: Crowding, seed: int, *, knee: float = 1.0, nested: bool = False) -> int:
    """Answer calls in and out of a crowd; returns how many were answered before it closed."""
    rng = random.Random(seed)
    for number in range(CALLS):
        beside = rng.randint(1, crowding.slots)
        in_crowd = beside > crowding.steady
        waits = nested and (in_crowd or rng.random() < 0.3)
        took = times(rng, slower=knee if in_crowd else 1.0, nested=waits)
        crowding.answered(number / 10, ROUTE, beside, took)
        if crowding.room(number / 10) < crowding.slots:
            return number
    return CALLS


@pytest.mark.parametrize("slots", [3, 5, 12])
@pytest.mark.parametrize("seed", range(8))
def test_one_that_slows_in_a_crowd_is_given_fewer_soon(slots: int, seed: int) -> None:
    crowding = Crowding()
    crowding.announced(slots)
    assert crowding.room(0.0) == slots
    assert played(crowding, seed, knee=2.0) < CALLS / 2


def test_one_that_keeps_its_speed_is_given_all_of_them() -> None:
    closed = 0
    for seed in range(40):
        crowding = Crowding()
        crowding.announced(5)
        closed += played(crowding, seed) < CALLS
    assert closed <= 8


def test_what_was_given_up_is_tried_again_and_given_up_for_longer() -> None:
    crowding = Crowding()
    crowding.announced(10)
    now = 0.0
    closed: list[float] = []
    for _ in range(8):
        while crowding.room(now) == 10:
            crowding.answered(now, ROUTE, 3, 0.1)
            crowding.answered(now, ROUTE, 10, 0.2)
        began = now
        while crowding.room(now) == 8:
            now += 1.0
        closed.append(now - began)
    assert closed[0] == CLOSED_FIRST_S
    assert closed == sorted(closed)
    assert closed[-1] == CLOSED_LONGEST_S


def test_an_upstream_of_one_slot_is_given_it() -> None:
    crowding = Crowding()
    crowding.announced(1)
    assert crowding.room(0.0) == 1


def test_another_number_of_slots_is_learned_anew() -> None:
    crowding = Crowding()
    crowding.announced(10)
    for _ in range(20):
        crowding.answered(0.0, ROUTE, 3, 0.1)
    crowding.announced(4)
    for _ in range(40):
        crowding.answered(0.0, ROUTE, 4, 0.3)
    assert crowding.room(0.0) == 4
