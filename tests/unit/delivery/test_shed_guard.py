"""An upstream that sheds every call gets single trial calls, and ingresses are informed at once.

Guards against idle, shedding upstreams attracting calls and using up the retry budget.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import pytest

from foldhoist.admission.shedding import REJECTIONS_IN_A_ROW, Shedding
from foldhoist.delivery.dispatch import Complete, SendTo, Shed, StartCall
from foldhoist.delivery.shed_guard import SHEDS_ALL
from foldhoist.routing.picker import Choice, Member, NoChoice, Picker
from foldhoist.routing.policies import Mixed
from tests.unit.delivery.test_owner import announced, dispatch, hello, make

if TYPE_CHECKING:
    from foldhoist.delivery.owner import Owner

STEP_S = 0.01
SHEDS_S = 8.0
WORK_S = 0.05
FEW = 40
"""Calls that an upstream may get in SHEDS_S: five a second."""


class Service:
    """Owners with their upstreams, and the picker of one ingress, in simulated time."""

    def __init__(self, upstreams: int, shedding: set[int], seed: int) -> None:
        self.owners: list[Owner] = []
        self.picker = Picker(Mixed("a"), "a", 0.5, random.Random(seed))
        self.picker.members([Member(str(each), "a", 5) for each in range(upstreams)], 0.0)
        self.sheds = shedding
        self.arrivals = [0] * upstreams
        self.refused = 0
        self.answered = 0
        self.lost = 0
        self.seq = 0
        self.running: list[tuple[float, int, int, int]] = []
        for each in range(upstreams):
            owner = make(slots=5)
            owner.announce(0.0, announced(slots=5))
            owner.hello(0.0, 2, hello("ingress", 1))
            self.owners.append(owner)
            self.picker.linked(str(each), 0.0, True, True)

    def deliver(self, now: float, each: int, actions: list[Any]) -> str:
        """Deliver an owner's actions; returns "refused" if a call was, else an empty string."""
        ended = ""
        for action in actions:
            if isinstance(action, StartCall):
                self.start(now, each, action)
            elif isinstance(action, SendTo) and action.link == 2:
                ended = self.receive(now, each, action) or ended
        return ended

    def receive(self, now: float, each: int, action: SendTo) -> str:
        body: Any = action.frame.body
        match action.frame.kind:
            case "Report":
                self.picker.reported(str(each), now, body["load"])
            case "Refusal":
                self.picker.refused(str(each), body["seq"], now, 0.05, body["load"])
                return "refused"
            case "Answer":
                self.picker.answered(str(each), body["seq"], now, False, body["load"])
                self.answered += 1
        return ""

    def start(self, now: float, each: int, action: StartCall) -> None:
        self.arrivals[each] += 1
        sheds = each in self.sheds and now < SHEDS_S
        at = now + (0.001 if sheds else WORK_S)
        self.running.append((at, each, action.ticket, sheds))

    def call(self, now: float) -> None:
        """Send a call, with up to three attempts."""
        excluded: set[str] = set()
        for _ in range(3):
            choice = self.picker.pick(now, excluded)
            if isinstance(choice, NoChoice):
                break
            assert isinstance(choice, Choice)
            self.seq += 1
            each = int(choice.name)
            excluded.add(choice.name)
            self.picker.sent(choice.name, self.seq, now)
            if self.deliver(now, each, self.owners[each].dispatch(now, 0, 2, dispatch(self.seq))):
                self.refused += 1
                continue
            return
        self.lost += 1

    def step(self, now: float) -> None:
        for entry in [entry for entry in self.running if entry[0] <= now]:
            self.running.remove(entry)
            _, each, ticket, sheds = entry
            result = Shed(0.1) if sheds else Complete(200, [], b"")
            self.deliver(now, each, self.owners[each].finished(now, ticket, result))
        for each, owner in enumerate(self.owners):
            self.deliver(now, each, owner.tick(now))

    def run(self, until: float, per_step: float, rng: random.Random) -> None:
        at = 0.0
        while at < until:
            if rng.random() < per_step:
                self.call(at)
            self.step(at)
            at += STEP_S


@pytest.mark.parametrize("seed", range(4))
def test_shedding_half_of_a_service_gets_only_trial_calls(seed: int) -> None:
    service = Service(6, {0, 1, 2}, seed)
    service.run(SHEDS_S, 0.6, random.Random(seed))
    for each in service.sheds:
        assert service.arrivals[each] <= FEW
    asked = service.answered + service.lost
    assert service.lost <= 0.05 * asked


@pytest.mark.parametrize("seed", range(4))
def test_upstreams_are_used_again_soon_after_they_stop_shedding(seed: int) -> None:
    service = Service(6, {0, 1, 2}, seed)
    service.run(SHEDS_S + 2.5, 0.6, random.Random(seed))
    assert all(service.owners[each].load()["state"] == "warm" for each in service.sheds)


def test_calls_are_refused_without_an_attempt_if_all_upstreams_shed() -> None:
    service = Service(4, {0, 1, 2, 3}, 1)
    service.run(SHEDS_S, 0.6, random.Random(1))
    assert sum(service.arrivals) <= 4 * FEW
    service.run(SHEDS_S + 4, 0.6, random.Random(2))
    assert service.answered > 0


def test_full_upstream_that_answers_some_calls_is_not_taken_to_shed_all() -> None:
    shedding = Shedding()
    for number in range(200):
        now = number / 10
        assert shedding.admits(now)
        if number % REJECTIONS_IN_A_ROW:
            assert not shedding.record_rejection(now)
        else:
            shedding.record_answer(now)


def test_answer_to_a_call_started_before_shedding_began_is_ignored() -> None:
    shedding = Shedding()
    for _ in range(REJECTIONS_IN_A_ROW):
        shedding.record_rejection(1.0)
    assert shedding.sheds_all
    assert not shedding.record_answer(0.5)
    assert shedding.sheds_all
    assert shedding.record_answer(1.1)
    assert shedding.admits(1.1)


def test_waiting_calls_are_refused_and_a_new_incarnation_starts_fresh() -> None:
    owner = make(slots=1)
    owner.announce(0.0, announced(slots=1))
    tickets = [owner.dispatch(0.0, 0, 1, dispatch(seq)) for seq in (1, 2, 3, 4)]
    (first,) = tickets[0]
    assert isinstance(first, StartCall)
    actions: list[Any] = owner.finished(0.1, first.ticket, Shed(0.1))
    for seq in range(5, 4 + REJECTIONS_IN_A_ROW):
        (start,) = [each for each in actions if isinstance(each, StartCall)]
        owner.dispatch(0.1, 0, 1, dispatch(seq))
        actions = owner.finished(0.1, start.ticket, Shed(0.1))
    reasons = [each.frame.body.get("reason") for each in actions if isinstance(each, SendTo)]
    assert SHEDS_ALL in reasons
    (refused,) = owner.dispatch(0.11, 0, 1, dispatch(90))
    assert refused.frame.body["reason"] == SHEDS_ALL
    assert not refused.frame.body.get("reached")
    owner.announce(0.32, announced(slots=1, instance="i-2"))
    assert isinstance(owner.dispatch(0.33, 0, 1, dispatch(91))[0], StartCall)


@pytest.mark.parametrize("seed", range(4))
def test_upstream_that_sheds_half_of_its_calls_at_random_stays_in_use(seed: int) -> None:
    shedding, rng = Shedding(), random.Random(seed)
    running: list[tuple[float, float]] = []
    refused = 0
    for number in range(800):
        now = number / 50
        while running and running[0][0] <= now:
            shedding.record_answer(running.pop(0)[1])
        if not shedding.admits(now):
            refused += 1
        elif rng.random() < 0.55:
            shedding.record_rejection(now)
        else:
            running.append((now + WORK_S, now))
    assert refused <= 20
