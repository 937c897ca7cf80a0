"""Scheduling of samples of an upstream's pace."""

from __future__ import annotations

import pytest

from foldhoist.routing.sampling import (
    FIRST_BACKOFF_S,
    MAX_BACKOFF_S,
    MAX_INTERVAL_S,
    MIN_INTERVAL_S,
    SamplePlan,
    is_change,
)


def plan(
    calls_per_s: float, cost: float = 0.02, flips: bool = True, until: float = 10.0
) -> SamplePlan:
    """Return a plan after calls at this rate, with a pace that changes at every third answer."""
    made = SamplePlan(cost)
    step = 1.0 / calls_per_s
    for number in range(int(until * calls_per_s)):
        made.record_call(number * step)
        made.record_pace(number * step, 500 if flips and number % 3 == 0 else 100)
    made.record_pace(until, 100)
    return made


def interval(made: SamplePlan, now: float = 10.0) -> float | None:
    at = made.next_at(now)
    return None if at is None else at - now


def test_an_upstream_that_reports_no_pace_is_not_sampled() -> None:
    made = SamplePlan(0.02)
    for number in range(100):
        made.record_call(number / 50)
        made.record_pace(number / 50, 0)
    assert made.next_at(2.0) is None


def test_more_calls_more_changes_and_a_lower_cost_shorten_the_interval() -> None:
    usual = interval(plan(20.0))
    assert usual is not None
    for fewer in (plan(10.0), plan(20.0, flips=False), plan(20.0, cost=0.08)):
        rarer = interval(fewer)
        assert rarer is None or rarer > usual


def test_the_interval_grows_with_the_square_root_of_the_cost() -> None:
    """Four times the cost doubles the interval, above the minimum."""
    low_cost, high_cost = interval(plan(20.0, cost=0.05)), interval(plan(20.0, cost=0.2))
    assert low_cost is not None
    assert high_cost is not None
    assert high_cost / low_cost == pytest.approx(2.0, rel=0.05)


def test_without_calls_or_at_a_cost_of_zero_no_samples_are_taken() -> None:
    assert plan(20.0).next_at(40.0) is None
    assert plan(20.0, cost=0.0).next_at(10.0) is None
    assert plan(1.0, cost=1.0).next_at(10.0) is None


def test_an_answer_with_a_pace_postpones_the_next_sample() -> None:
    made = plan(20.0)
    before = made.next_at(10.0)
    made.record_pace(10.01, 100)
    after = made.next_at(10.01)
    assert before is not None
    assert after is not None
    assert after > before
    assert MIN_INTERVAL_S <= after - 10.01 < MAX_INTERVAL_S


def test_failed_samples_back_off() -> None:
    made = plan(20.0)
    pauses = []
    for _ in range(12):
        made.record_failure(10.0)
        pauses.append(interval(made) or 0.0)
    assert pauses[0] == pytest.approx(FIRST_BACKOFF_S)
    assert pauses == sorted(pauses)
    assert pauses[-1] == pytest.approx(MAX_BACKOFF_S)


def test_a_pace_has_changed_at_a_ratio_of_one_and_a_half() -> None:
    assert is_change(100, 150)
    assert is_change(500, 100)
    assert not is_change(100, 149)
