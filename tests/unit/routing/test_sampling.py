"""When an owner samples the pace of its upstream."""

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


def test_an_upstream_that_tells_no_pace_is_not_asked() -> None:
    made = SamplePlan(0.02)
    for number in range(100):
        made.record_call(number / 50)
        made.record_pace(number / 50, 0)
    assert made.next_at(2.0) is None


def test_more_calls_and_more_changes_and_a_lower_cost_are_reasons_for_more_samples() -> None:
    usual = interval(plan(20.0))
    assert usual is not None
    for fewer in (plan(10.0), plan(20.0, flips=False), plan(20.0, cost=0.08)):
        rarer = interval(fewer)
        assert rarer is None or rarer > usual


def test_samples_cost_as_much_as_they_save() -> None:
    """Four times the cost halves their number, above the shortest time between two."""
    cheap, dear = interval(plan(20.0, cost=0.05)), interval(plan(20.0, cost=0.2))
    assert cheap is not None
    assert dear is not None
    assert dear / cheap == pytest.approx(2.0, rel=0.05)


def test_without_calls_or_at_a_cost_of_zero_no_samples_are_taken() -> None:
    assert plan(20.0).next_at(40.0) is None
    assert plan(20.0, cost=0.0).next_at(10.0) is None
    assert plan(1.0, cost=1.0).next_at(10.0) is None


def test_an_answer_that_tells_the_pace_is_as_good_as_a_sample() -> None:
    made = plan(20.0)
    before = made.next_at(10.0)
    made.record_pace(10.01, 100)
    after = made.next_at(10.01)
    assert before is not None
    assert after is not None
    assert after > before
    assert MIN_INTERVAL_S <= after - 10.01 < MAX_INTERVAL_S


def test_failed_samples_are_taken_more_and_more_rarely() -> None:
    made = plan(20.0)
    pauses = []
    for _ in range(12):
        made.record_failure(10.0)
        pauses.append(interval(made) or 0.0)
    assert pauses[0] == pytest.approx(FIRST_BACKOFF_S)
    assert pauses == sorted(pauses)
    assert pauses[-1] == pytest.approx(MAX_BACKOFF_S)


def test_a_pace_is_another_one_from_half_as_much_again() -> None:
    assert is_change(100, 150)
    assert is_change(500, 100)
    assert not is_change(100, 149)
