"""Tests of the detection of routes that are called by upstreams."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from foldhoist.admission.nested import (
    HALVE_AFTER_CALLS,
    MIN_CALLS,
    SINGLE_CALLER_SHARE,
    RouteCallers,
)


def learned(*calls: tuple[str, str, int]) -> RouteCallers:
    callers = RouteCallers()
    for route, caller, times in calls:
        for _ in range(times):
            callers.record(route, caller)
    return callers


def test_a_route_called_from_one_service_only_is_nested_where_others_are_called_from_all() -> None:
    callers = learned(("stock", "web", 30), ("pledge", "web", 20), ("pledge", "pay", 20))
    assert callers.is_nested("stock")
    assert not callers.is_nested("pledge")


def test_a_route_with_few_calls_is_not_nested() -> None:
    callers = learned(("stock", "web", 5), ("pledge", "web", 20), ("pledge", "pay", 20))
    assert not callers.is_nested("stock")
    assert not callers.is_nested("unheard")


def test_no_route_is_nested_if_callers_are_unknown() -> None:
    assert not learned(("stock", "", 50), ("pledge", "", 50)).is_nested("stock")


def test_no_route_is_nested_if_all_calls_come_from_one_service() -> None:
    """There is nothing to compare with: only that service's hosts may have callers."""
    assert not learned(("stock", "web", 50), ("pledge", "web", 50)).is_nested("stock")


def test_newer_calls_outweigh_older_ones() -> None:
    callers = learned(("stock", "web", 1000), ("pledge", "web", 20), ("pledge", "pay", 20))
    for number in range(400):
        callers.record("stock", ("pay", "web")[number % 2])
    assert not callers.is_nested("stock")


def expected_nested(calls: list[tuple[str, str]], route: str) -> bool:
    """Return the expected result from all calls, which must be too few to be halved."""
    shares: dict[str, float] = {}
    for name in {name for name, _ in calls}:
        counts = Counter(caller for of, caller in calls if of == name)
        if counts.total() >= MIN_CALLS:
            shares[name] = max(counts.values()) / counts.total()
    mine = shares.get(route, 0.0)
    return mine >= SINGLE_CALLER_SHARE and any(
        share < SINGLE_CALLER_SHARE for share in shares.values()
    )


@given(
    runs=st.lists(
        st.tuples(st.sampled_from("rst"), st.sampled_from("ab"), st.integers(1, 30)), max_size=6
    )
)
def test_the_counts_give_the_same_result_as_all_calls(
    runs: list[tuple[str, str, int]],
) -> None:
    calls = [(route, caller) for route, caller, times in runs for _ in range(times)]
    assert len(calls) <= HALVE_AFTER_CALLS
    callers = learned(*runs)
    for route in "rstx":
        assert callers.is_nested(route) == expected_nested(calls, route)
