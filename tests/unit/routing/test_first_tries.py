"""How long ago a caller first asked, from the time that it still gives."""

from __future__ import annotations

import random

import pytest

from foldhoist.routing.first_tries import LEAST_CALLS, FirstTries


def test_what_is_missing_from_the_usual_time_has_passed_since_the_first_try() -> None:
    tries = FirstTries()
    for _ in range(LEAST_CALLS):
        assert tries.passed_s("read", 2.5) == 0.0
    assert tries.passed_s("read", 2.1) == pytest.approx(0.4)
    assert tries.passed_s("read", 2.5) == 0.0
    assert tries.passed_s("post", 2.1) == 0.0


def test_where_every_first_try_comes_back_it_is_still_seen_and_some_callers_are_patient() -> None:
    rng = random.Random(3)
    tries = FirstTries()
    for number in range(2000):
        kind = number % 20
        given_s = 5.0 if kind == 0 else 2.5 if kind % 2 else 2.4 - rng.random()
        passed_s = tries.passed_s("read", given_s)
        if number > 100:
            assert passed_s == pytest.approx(max(0.0, 2.5 - given_s), abs=0.001)


def test_calls_whose_times_all_differ_say_nothing() -> None:
    """Nested calls get what is left of the time of what they are a part of."""
    rng = random.Random(4)
    tries = FirstTries()
    assert not any(tries.passed_s("peek", 0.6 - 0.4 * rng.random()) for _ in range(3000))


def test_callers_that_give_less_time_from_some_day_on_are_first_tries_again() -> None:
    tries = FirstTries()
    for _ in range(200):
        tries.passed_s("read", 5.0)
    passed = [tries.passed_s("read", 2.0) for _ in range(1000)]
    assert passed[0] == pytest.approx(3.0)
    assert not any(passed[900:])
    assert tries.passed_s("read", 1.5) == pytest.approx(0.5)


def test_calls_without_a_time_are_not_counted() -> None:
    tries = FirstTries()
    assert tries.passed_s("read", 0.0) == 0.0
    assert tries.passed_s("read", -1.0) == 0.0


def test_routes_that_are_gone_are_forgotten() -> None:
    tries = FirstTries()
    for route in ("read", "post"):
        for _ in range(LEAST_CALLS):
            tries.passed_s(route, 2.5)
    tries.keep({"read"})
    assert tries.passed_s("read", 2.0) == pytest.approx(0.5)
    assert tries.passed_s("post", 2.0) == 0.0
