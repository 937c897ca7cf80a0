"""An upstream that has just started is given a call at a time, and more with each answer.

Five of six upstreams that had all started at once, each given a call for every slot at once, ended
under that within 0.6 s, were back 3 s later, and ended again, for as long as callers came.
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
BORNE_AT_FIRST = 2
"""Calls at once that an upstream bears when it has just started; one more with each answer."""
BACK_S = 3.0
"""Time until an upstream that has ended is back, seconds."""


class Played(NamedTuple):
    """How often the upstream ended, and what it answered."""

    ended: int
    answered: int


def play(ramped: bool, length_s: float = 20.0) -> Played:
    """Let many callers press on one upstream that has just started."""
    env = simpy.Environment()
    queue = DueQueue(QueueLimits(SLOTS, 100, 0, 8))
    state = {"answers": 0, "life": 0, "ended": 0, "answered": 0, "up": True}

    def begin() -> None:
        state["answers"] = 0
        state["life"] += 1
        state["up"] = True
        if ramped:
            queue.cold.reset_on_replacement()

    def work(ticket: int, life: int):  # type: ignore[no-untyped-def]
        if queue.busy > BORNE_AT_FIRST + state["answers"] and state["up"]:
            state["up"] = False
            state["ended"] += 1
            env.process(back())
        yield env.timeout(WORK_S)
        good = state["up"] and state["life"] == life
        state["answers"] += good
        state["answered"] += good
        if good:
            queue.cold.record_answer()
        start(queue.release(env.now, WORK_S if good else None))

    def back():  # type: ignore[no-untyped-def]
        yield env.timeout(BACK_S)
        begin()

    def start(decisions):  # type: ignore[no-untyped-def]
        for decision in decisions:
            if isinstance(decision, Start):
                env.process(work(decision.ticket, state["life"]))

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
    return Played(state["ended"], state["answered"])


def test_one_that_bears_little_at_first_is_not_ended_again_and_again() -> None:
    at_once, ramped = play(ramped=False), play(ramped=True)
    assert at_once.ended >= 6
    assert ramped.ended == 0
    assert ramped.answered > 10 * at_once.answered


def test_where_it_is_told_what_is_borne_that_alone_counts() -> None:
    queue = DueQueue(QueueLimits(SLOTS, 100, 0, 8))
    queue.cold.set_rate(-10.0, ColdRate(4.0, 3.0))
    queue.cold.reset_on_replacement()
    queue.cold.extend(0.0, 3.0)
    call = QueuedCall(9.0, 8.0, WORK_S, 10.0)
    started = [type(queue.submit(0.0, ticket, call)) for ticket in range(6)]
    assert started == [Start] * 4 + [Wait] * 2


def test_room_grows_with_answers_to_all_slots() -> None:
    ramp = Ramp()
    assert ramp.usable_slots(3) == 3
    ramp.begin()
    rooms = []
    for _ in range(4):
        rooms.append(ramp.usable_slots(3))
        ramp.record_answer()
    assert rooms == [1, 2, 3, 3]
    assert ramp.usable_slots(9) == 9
