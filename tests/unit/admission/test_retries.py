"""Tests of the retry budget of one daemon and of all daemons together."""

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


def test_a_call_caused_by_a_retry_costs_a_token() -> None:
    """Guards against retries that multiply along a chain of services."""
    budget = RetryBudget(0.1, random.Random(1))
    budget.record_call(repeat=1.0)
    for _ in range(9):
        budget.record_call()
    assert sum(budget.spend() for _ in range(9)) == 2
    half = RetryBudget(0.5, random.Random(1))
    for _ in range(100):
        half.record_call(repeat=0.5)
    assert not half.spend()


def test_the_debt_for_repeats_is_bounded() -> None:
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
"""Upstreams to which a call may be sent."""
ALLOWED = Allowance()


class Fleet:
    """The retry budgets of daemons for one service; no daemon knows the others' calls."""

    def __init__(self, daemons: int) -> None:
        self.rng = random.Random(5)
        self.daemons = daemons
        self.now = 0.0
        self.calls: list[float] = []
        self.spent: list[float] = []
        self.start(daemons)

    def start(self, known: int) -> None:
        """Restart all daemons; each knows of `known` daemons at first."""
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
        """Set the number of daemons that each one knows of."""
        for services in self.services:
            services.track(self.now, {}, (), known)

    def call(self, daemon: int, fails: bool = True) -> None:
        """Start a call at a daemon; a failing one is retried as often as the budget allows."""
        self.calls.append(self.now)
        budget = self.budgets[daemon]
        budget.record_call(self.now)
        for _ in range(ATTEMPTS - 1 if fails else 0):
            if budget.spend(self.now):
                self.spent.append(self.now)

    def most_over(self) -> float:
        """Return by how many retries the worst window exceeds the allowance."""
        return ALLOWED.most_over(self.spent, self.calls)


@pytest.mark.parametrize("daemons", [1, 8, 13, 16, 24, 88, 300])
@pytest.mark.parametrize("per_s", [5, 50, 400])
def test_all_daemons_together_stay_within_the_allowance_in_any_window(
    daemons: int, per_s: int
) -> None:
    """Every daemon retries whenever it can, without knowing the others' retries."""
    fleet = Fleet(daemons)
    for step in range(30 * per_s):
        fleet.now = step / per_s
        for _ in range(4 if 12 < fleet.now < 16 else 1):
            fleet.call(fleet.rng.randrange(daemons))
    assert fleet.most_over() <= 0.0


@pytest.mark.parametrize("daemons", [1, 8, 13, 16, 24, 88, 300])
def test_saved_tokens_stay_within_the_allowance(daemons: int) -> None:
    """Guards against too many retries when all daemons have saved tokens.

    Many daemons with few calls have no reason to retry for a while; then all have one.
    """
    fleet = Fleet(daemons)
    for step in range(2000):
        fleet.now = step * 0.4
        fleet.call(step % daemons, fails=False)
    for daemon in range(daemons):
        fleet.call(daemon)
    assert fleet.most_over() <= 0.0


def test_a_service_whose_options_change_keeps_its_budget() -> None:
    """Guards against a new budget, and with it a further retry, for each change of options."""
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
def test_daemons_that_all_restart_twice_in_a_window_stay_within_the_allowance(
    per_s: int, daemons: int, known: int
) -> None:
    """Guards against too many retries after restarts.

    Daemons that have just started know of few others and must not each use a large reserve.
    """
    fleet = Fleet(daemons)
    events = {
        2 * per_s: lambda: fleet.start(known),
        5 * per_s // 2: lambda: fleet.learn(daemons),
        6 * per_s: lambda: fleet.start(known),
        13 * per_s // 2: lambda: fleet.learn(daemons),
    }
    for step in range(10 * per_s):
        fleet.now = step / per_s
        if step in events:
            events[step]()
        fleet.call(fleet.rng.randrange(daemons))
    assert fleet.most_over() <= 0.0
