"""Tests of the ramp of an upstream that has just started.

They guard against an upstream that crashes after each restart under a call for every slot at once.
"""

from __future__ import annotations

from typing import NamedTuple

import simpy

from foldhoist.admission.cold import ColdRate
from foldhoist.admission.due import DueQueue, QueuedCall
from foldhoist.admission.ramp import Ramp
from foldhoist.admission.slots import QueueLimits, Start, Wait

SLOTS = 6
"""Slots of each upstream."""
WORK_S = 0.05
"""Time of a call, seconds."""
INITIAL_CAPACITY = 2
"""Concurrent calls that a new upstream can handle; one more with each answer."""
RESTART_S = 3.0
"""Time until a crashed upstream is back, seconds."""


class Outcome(NamedTuple):
    """How often the upstream crashed, and how many calls it answered."""

    crashes: int
    answered: int


def simulate(ramped: bool, length_s: float = 20.0) -> Outcome:
    """Simulate many callers of an upstream that has just started."""
    env = simpy.Environment()
    queue = DueQueue(QueueLimits(SLOTS, 100, 0, 8))
    state = {"answers": 0, "incarnation": 0, "crashes": 0, "answered": 0, "up": True}

    def begin() -> None:
        state["answers"] = 0
        state["incarnation"] += 1
        state["up"] = True
        if ramped:
            queue.cold.reset_on_replacement()

    def work(ticket: int, incarnation: int):  # type: ignore[no-untyped-def]
        if queue.busy > INITIAL_CAPACITY + state["answers"] and state["up"]:
            state["up"] = False
            state["crashes"] += 1
            env.process(restart())
        yield env.timeout(WORK_S)
        good = state["up"] and state["incarnation"] == incarnation
        state["answers"] += good
        state["answered"] += good
        if good:
            queue.cold.record_answer()
        start(queue.release(env.now, WORK_S if good else None))

    def restart():  # type: ignore[no-untyped-def]
        yield env.timeout(RESTART_S)
        begin()

    def start(decisions):  # type: ignore[no-untyped-def]
        for decision in decisions:
            if isinstance(decision, Start):
                env.process(work(decision.ticket, state["incarnation"]))

    def callers():  # type: ignore[no-untyped-def]
        ticket = 0
        while True:
            ticket += 1
            if state["up"]:
                call = QueuedCall(env.now + 0.3, env.now + 0.2, WORK_S, env.now + 0.5)
                start([queue.submit(env.now, ticket, call)])
            yield env.timeout(0.01)

    begin()
    env.process(callers())
    env.run(until=length_s)
    return Outcome(state["crashes"], state["answered"])


def test_the_ramp_prevents_repeated_crashes() -> None:
    at_once, ramped = simulate(ramped=False), simulate(ramped=True)
    assert at_once.crashes >= 6
    assert ramped.crashes == 0
    assert ramped.answered > 10 * at_once.answered


def test_a_known_rate_replaces_the_ramp() -> None:
    queue = DueQueue(QueueLimits(SLOTS, 100, 0, 8))
    queue.cold.set_rate(-10.0, ColdRate(4.0, 3.0))
    queue.cold.reset_on_replacement()
    queue.cold.extend(0.0, 3.0)
    call = QueuedCall(9.0, 8.0, WORK_S, 10.0)
    started = [type(queue.submit(0.0, ticket, call)) for ticket in range(6)]
    assert started == [Start] * 4 + [Wait] * 2


def test_usable_slots_grow_with_answers_up_to_all() -> None:
    ramp = Ramp()
    assert ramp.usable_slots(3) == 3
    ramp.begin()
    usable = []
    for _ in range(4):
        usable.append(ramp.usable_slots(3))
        ramp.record_answer()
    assert usable == [1, 2, 3, 3]
    assert ramp.usable_slots(9) == 9
