"""Which routes are called by upstreams, learned from where their calls start."""

from __future__ import annotations

from foldhoist.admission.nested import CallersOfRoutes


def learned(*calls: tuple[str, str, int]) -> CallersOfRoutes:
    callers = CallersOfRoutes()
    for route, caller, times in calls:
        for _ in range(times):
            callers.learn(route, caller)
    return callers


def test_a_route_called_from_one_service_only_is_nested_where_others_are_called_from_all() -> None:
    callers = learned(("stock", "web", 30), ("pledge", "web", 20), ("pledge", "pay", 20))
    assert callers.is_nested("stock")
    assert not callers.is_nested("pledge")


def test_nothing_is_known_of_a_route_that_was_called_a_few_times() -> None:
    callers = learned(("stock", "web", 5), ("pledge", "web", 20), ("pledge", "pay", 20))
    assert not callers.is_nested("stock")
    assert not callers.is_nested("unheard")


def test_a_deployment_whose_callers_are_not_told_apart_has_no_nested_routes() -> None:
    assert not learned(("stock", "", 50), ("pledge", "", 50)).is_nested("stock")


def test_where_all_calls_come_from_one_service_none_is_taken_for_nested() -> None:
    """There is nothing to compare with: perhaps only that service's hosts have callers."""
    assert not learned(("stock", "web", 50), ("pledge", "web", 50)).is_nested("stock")


def test_what_was_learned_gives_way_to_what_comes_now() -> None:
    callers = learned(("stock", "web", 1000), ("pledge", "web", 20), ("pledge", "pay", 20))
    for number in range(400):
        callers.learn("stock", ("pay", "web")[number % 2])
    assert not callers.is_nested("stock")
