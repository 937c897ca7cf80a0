"""A quota holds over all hosts, whatever fails, and is used where nothing does.

Bounds are the users': (rate x window + burst) x 1.1 + 20 in any 5 s, and 98% of what a quota allows
served while it binds.
"""

from __future__ import annotations

import random
from typing import Any

import pytest

from foldhoist.customers import candidates, credit, quota_server
from tests.unit.customers.world import NAME, World, allowed, most_in_a_window

HOSTS = 12
RATE, BURST = 40.0, 40.0
HOT_PER_S = 200.0


def world(seed: int, hosts: int = HOSTS, rate: float = RATE, burst: float = BURST) -> World:
    """Return hosts that have been connected for a while, without calls."""
    made = World(hosts, rate, burst, seed)
    made.play(3.0, 0.0)
    return made


def troubled(seed: int) -> World:
    """Play 20 s of five times what is allowed, with failures drawn by the seed."""
    made = world(seed)
    rng = random.Random(seed)
    while made.now < 23.0:
        made.play(made.now + rng.uniform(0.2, 1.5), HOT_PER_S)
        order = candidates.ranked_servers(NAME, made.hosts["h0"].client._candidates)
        name = order[0] if rng.random() < 0.5 else rng.choice(made.names)
        match rng.randrange(6):
            case 0:
                made.kill(name, rng.uniform(0.3, 2.0))
            case 1:
                made.freeze(name, rng.uniform(0.2, 3.0))
            case 2:
                made.split(set(rng.sample(made.names, rng.randint(1, HOSTS // 2))))
            case 3:
                made.heal()
            case 4 if rng.random() < 0.3:
                for each in made.names:
                    made.kill(each, rng.uniform(0.5, 1.0))
    return made


@pytest.mark.parametrize("seed", range(24))
def test_no_window_holds_more_than_the_quota_allows(seed: int) -> None:
    made = troubled(seed)
    assert 0 < most_in_a_window(made.runs) <= allowed(RATE, BURST)


@pytest.mark.parametrize(("rate", "burst"), [(40.0, 40.0), (5.0, 5.0), (100.0, 100.0)])
@pytest.mark.parametrize("times", [1.5, 5.0])
def test_while_it_binds_what_it_allows_is_served(rate: float, burst: float, times: float) -> None:
    made = world(1, rate=rate, burst=burst)
    made.play(5.0, rate * times)
    before = len(made.runs)
    made.play(15.0, rate * times)
    assert len(made.runs) - before >= 0.98 * 10.0 * rate


@pytest.mark.parametrize(("rate", "burst"), [(5.0, 5.0), (95.0, 95.0)])
def test_below_it_nothing_is_refused(rate: float, burst: float) -> None:
    made = world(2, rate=rate, burst=burst)
    made.play(13.0, rate / 1.6)
    assert made.denied <= 0.002 * made.asked


def test_a_customer_whose_callers_all_enter_at_one_host_has_its_whole_quota() -> None:
    made = world(3)
    before = made.now
    for _ in range(1000):
        made.play(made.now + 0.01, 0.0)
        made.call("h0")
    assert len(made.runs) >= 0.98 * RATE * (made.now - before)
    assert most_in_a_window(made.runs) <= allowed(RATE, BURST)


def test_a_rate_that_is_lowered_binds_within_a_window() -> None:
    made = world(4)
    made.play(8.0, HOT_PER_S)
    made.lower(4.0, 4.0)
    made.play(13.0, HOT_PER_S)
    before = len(made.runs)
    made.play(23.0, HOT_PER_S)
    assert most_in_a_window(made.runs[before:]) <= allowed(4.0, 4.0)
    assert len(made.runs) - before >= 0.98 * 10.0 * 4.0


def test_callers_of_a_keeper_that_is_gone_are_served_again_soon() -> None:
    made = world(5)
    made.play(6.0, RATE / 1.6)
    order = candidates.ranked_servers(NAME, made.hosts["h0"].client._candidates)
    made.kill(order[0], 30.0)
    made.play(7.5, RATE / 1.6)
    denied, asked = made.denied, made.asked
    made.play(12.0, RATE / 1.6)
    assert made.denied - denied <= 0.02 * (made.asked - asked)


def lends_what_others_had(account: Any, number: int, want: int, lends_ms: int) -> Any:
    """Ask as a host that hands its share of a time over a second time."""
    found = question(account, number, want, lends_ms)
    return {**found, "lends_ms": 10_000}


question = credit._credit_ask
MUTANTS = {
    "a share is lent once": (credit, "_credit_ask", lends_what_others_had),
    "a new keeper begins with a part of the slack": (quota_server, "INITIAL_SLACK_SHARE", 1e9),
}


@pytest.mark.parametrize("rule", MUTANTS)
def test_without_the_rule_a_history_breaks_it(rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    module, name, value = MUTANTS[rule]
    monkeypatch.setattr(module, name, value)
    most = max(most_in_a_window(troubled(seed).runs) for seed in range(24))
    assert most > allowed(RATE, BURST)
