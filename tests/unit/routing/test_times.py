"""Mean times by route, and pace estimates."""

from __future__ import annotations

import pytest

from foldhoist.routing.times import MIN_RESULTS, PACE_DECAY_S, PaceEstimates, RouteTimes


def test_times_are_scaled_to_the_mean_of_the_service() -> None:
    times = RouteTimes()
    for _ in range(200):
        times.update("short", 0.03, 100)
        times.update("long", 0.15, 5000)
    assert 0.03 * times.scale("short") == pytest.approx(0.15 * times.scale("long"), rel=0.01)
    assert times.mean("short") == pytest.approx(0.03)
    assert times.size("long") == pytest.approx(5000)


def test_a_route_with_few_results_uses_the_mean_of_the_service() -> None:
    times = RouteTimes()
    for _ in range(MIN_RESULTS - 1):
        times.update("new", 1.0)
    assert times.scale("new") == 1.0
    assert times.scale("never") == 1.0


def test_a_pace_decays_with_its_age() -> None:
    paces = PaceEstimates()
    for pace in (100, 100, 100, 400) * 50:
        paces.update(pace)
    fresh, old = paces.factor(400, 0.0), paces.factor(400, 10 * PACE_DECAY_S)
    assert fresh > 2
    assert old == pytest.approx(1.0, abs=0.01)
    assert paces.factor(100, 0.0) < 1
    assert paces.factor(0, 0.0) == 1.0
