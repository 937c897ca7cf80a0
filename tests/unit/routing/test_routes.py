"""Route lookup by host and prefix, and split routes."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from foldhoist.routing.routes import RouteTable, WeightedService, parse_split
from foldhoist.routing.split import Split


@pytest.mark.parametrize("weight", ["-1", "nan", "inf", "1e400", "x", "", "9" * 400])
def test_a_weight_that_is_no_finite_number_is_refused(weight: str) -> None:
    with pytest.raises(ValueError, match="is no service with a weight"):
        parse_split(f"a:{weight}, b:1")


def table(*routes: tuple[str, str, str]) -> RouteTable:
    plain: dict[str, Any] = {
        "methods": "",
        "repeatable": True,
        "urgent": False,
        "split": "",
        "timeout_ms": 500,
        "attempts": 2,
        "rank": 1,
        "objective_ms": 100,
        "open": False,
        "bulk": False,
    }
    found: Any = {
        "services": {},
        "routes": {
            f"{host}{prefix}": {**plain, "host": host, "prefix": prefix, "service": service}
            for host, prefix, service in routes
        },
    }
    return RouteTable(found)


def test_the_longest_prefix_of_the_host_wins() -> None:
    routes = table(("a.x", "/", "one"), ("a.x", "/b/", "two"), ("b.x", "/b/c/", "three"))
    for path, service in (("/", "one"), ("/b", "one"), ("/b/", "two"), ("/b/c/d", "two")):
        found = routes.find("GET", path, "a.x")
        assert found is not None
        assert found.service == service
    assert routes.find("GET", "/", "c.x") is None
    assert routes.find("GET", "/b/", "b.x") is None


def test_a_route_sets_the_options_of_its_calls() -> None:
    found = table(("a.x", "/", "one")).find("POST", "/x", "a.x")
    assert found is not None
    assert (found.timeout_s, found.attempts, found.rank, found.objective_s) == (0.5, 2, 1, 0.1)


@pytest.mark.parametrize("text", ["a", "a:", "a:-1", ":3", "a:b"])
def test_a_malformed_split_is_refused(text: str) -> None:
    with pytest.raises(ValueError, match="no service with a weight"):
        parse_split(text)


@settings(max_examples=100, derandomize=True)
@given(st.lists(st.integers(1, 99), min_size=2, max_size=4), st.integers(0, 1000))
def test_a_hundred_calls_come_close_to_the_weights(weights: list[int], seed: int) -> None:
    parts = tuple(WeightedService(f"s{number}", weight) for number, weight in enumerate(weights))
    split = Split(parts, random.Random(seed))
    drawn = Counter(split.draw() for _ in range(100))
    for part in parts:
        assert abs(drawn[part.service] - 100 * part.weight / sum(weights)) <= 4


def test_a_service_of_weight_zero_gets_no_calls() -> None:
    split = Split(
        (WeightedService("a", 0), WeightedService("b", 75), WeightedService("c", 25)),
        random.Random(1),
    )
    drawn = Counter(split.draw() for _ in range(400))
    assert drawn["a"] == 0
    assert abs(drawn["b"] - 300) <= 4
