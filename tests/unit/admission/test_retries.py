"""Tests of the budget for further attempts, of one daemon and of all together."""

from __future__ import annotations

import random

import pytest

from bench.stages import fleet_text
from foldhoist.admission.retries import RetryBudget
from foldhoist.config.fleet import parse_fleet
from foldhoist.delivery.services import RetrySlack, Services
from tests.unit.allowance import Allowance


def test_retries_are_a_share_of_calls() -> None:
    budget = RetryBudget(0.1, random.Random(1))
    retries = 0
    for _ in range(1000):
        budget.record_call()
        retries += budget.spend()
    assert retries <= 1000 * 0.1 + RetryBudget.RESERVE


def test_a_call_that_is_a_repeat_itself_costs_a_retry() -> None:
    """Symptom: repeats added up along a chain. Cause: each earned a share of a further attempt."""
    budget = RetryBudget(0.1, random.Random(1))
    budget.record_call(repeat=1.0)
    for _ in range(9):
        budget.record_call()
    assert sum(budget.spend() for _ in range(9)) == 2
    half = RetryBudget(0.5, random.Random(1))
    for _ in range(100):
        half.record_call(repeat=0.5)
    assert not half.spend()


def test_what_repeats_owe_has_an_end() -> None:
    budget = RetryBudget(0.5, random.Random(1))
    for _ in range(1000):
        budget.record_call(repeat=1.0)
    for _ in range(2 * int(RetryBudget.MAX_DEBT) + 2):
        budget.record_call()
    assert budget.spend()


def test_no_share_means_no_retry() -> None:
    budget = RetryBudget(0.0, random.Random(1))
    budget.record_call()
    assert not budget.spend()


ATTEMPTS = 4
"""Upstreams that a call may be sent to."""
ALLOWED = Allowance()


class Fleet:
    """The retry budgets for one service of daemons that know nothing of each other's."""

    def __init__(self, daemons: int) -> None:
        self.rng = random.Random(5)
        self.daemons = daemons
        self.now = 0.0
        self.calls: list[float] = []
        self.spent: list[float] = []
        self.start(daemons)

    def start(self, known: int) -> None:
        """Start all daemons anew; each knows of so many at first."""
        self.services = [
            Services("a", self.rng, RetrySlack(ALLOWED.slack, ALLOWED.window_s))
            for _ in range(self.daemons)
        ]
        fleet, _ = parse_fleet(fleet_text(3), "x")
        for services in self.services:
            services.adopt(fleet, {})
        self.learn(known)
        states = [services.get("depo") for services in self.services]
        self.budgets = [state.budget for state in states if state is not None]

    def learn(self, known: int) -> None:
        """Let all daemons know of so many."""
        for services in self.services:
            services.track(self.now, {}, (), known)

    def call(self, daemon: int, fails: bool = True) -> None:
        """Let a call enter at a daemon; one that fails is sent again as often as it may be."""
        self.calls.append(self.now)
        budget = self.budgets[daemon]
        budget.record_call(self.now)
        for _ in range(ATTEMPTS - 1 if fails else 0):
            if budget.spend(self.now):
                self.spent.append(self.now)

    def most_over(self) -> float:
        """Return by how many the further attempts of the worst window exceed what is allowed."""
        return ALLOWED.most_over(self.spent, self.calls)


@pytest.mark.parametrize("daemons", [1, 8, 13, 16, 24, 88, 300])
@pytest.mark.parametrize("per_s", [5, 50, 400])
def test_all_daemons_together_stay_within_the_allowance_in_any_window(
    daemons: int, per_s: int
) -> None:
    """Every daemon sends again whenever it can; nobody knows of the others."""
    fleet = Fleet(daemons)
    for step in range(30 * per_s):
        fleet.now = step / per_s
        for _ in range(4 if 12 < fleet.now < 16 else 1):
            fleet.call(fleet.rng.randrange(daemons))
    assert fleet.most_over() <= 0.0


@pytest.mark.parametrize("daemons", [1, 8, 13, 16, 24, 88, 300])
def test_what_daemons_hold_from_long_ago_stays_within_the_allowance(daemons: int) -> None:
    """Symptom: more further attempts in a window than its calls and the slack allow.

    Sequence: each of many daemons has few calls and no reason to retry for a while; then all have
    one. Cause: each held a whole attempt, however many daemons share the slack.
    """
    fleet = Fleet(daemons)
    for step in range(2000):
        fleet.now = step * 0.4
        fleet.call(step % daemons, fails=False)
    for daemon in range(daemons):
        fleet.call(daemon)
    assert fleet.most_over() <= 0.0


def test_a_service_whose_options_change_keeps_what_it_has_spent() -> None:
    """Symptom: further attempts without end while options change.

    Cause: each change began a new budget, with one attempt: 49 changes gave 49.
    """
    services = Services("a", random.Random(5), RetrySlack(ALLOWED.slack, ALLOWED.window_s))
    fleet, _ = parse_fleet(fleet_text(3), "x")
    spent = 0
    for track in range(1, 50):
        cfg = fleet["services"]["depo"]
        services.adopt({**fleet, "services": {"depo": {**cfg, "track": track}}}, {})
        services.track(1.0, {}, (), 13)
        state = services.get("depo")
        assert state is not None
        spent += state.budget.spend(1.0)
    assert spent == 1


@pytest.mark.parametrize("known", [1, 8, 88])
@pytest.mark.parametrize("daemons", [8, 13, 16, 88])
@pytest.mark.parametrize("per_s", [10, 50, 300])
def test_daemons_that_all_start_anew_twice_in_a_window_stay_within_the_allowance(
    per_s: int, daemons: int, known: int
) -> None:
    """Symptom: more further attempts in a window than its calls and the slack allow.

    Sequence: all daemons start anew, and again; each knows of few others for half a second. Cause:
    each life began with a reserve, larger while it knew of few.
    """
    fleet = Fleet(daemons)
    happens = {
        2 * per_s: lambda: fleet.start(known),
        5 * per_s // 2: lambda: fleet.learn(daemons),
        6 * per_s: lambda: fleet.start(known),
        13 * per_s // 2: lambda: fleet.learn(daemons),
    }
    for step in range(10 * per_s):
        fleet.now = step / per_s
        if step in happens:
            happens[step]()
        fleet.call(fleet.rng.randrange(daemons))
    assert fleet.most_over() <= 0.0
