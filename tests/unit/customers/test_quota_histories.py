"""Tests that a quota holds across all hosts under failures, and is fully used without any.

At most (rate x window + burst) x 1.1 + 20 calls may run in any 5 s, and at least 98% of the rate is
served under overload.
"""

from __future__ import annotations

import random
from typing import Any, NamedTuple

import pytest

from foldhoist.customers import candidates, credit, lenders, quota_server
from tests.unit.customers.simulation import NAME, WINDOW_S, Simulation, allowed, max_in_window

HOSTS = 12
RATE, BURST = 40.0, 40.0
HOT_TIMES = 5.0
HOT_PER_S = HOT_TIMES * RATE
LARGE_BURST = (10.0, 60.0)
SMALL = [LARGE_BURST, (5.0, 5.0), (1.0, 30.0)]
"""Quotas of few calls a second, with a large and a small burst."""


def simulation(
    seed: int, hosts: int = HOSTS, rate: float = RATE, burst: float = BURST
) -> Simulation:
    """Return a simulation whose hosts are connected, before any calls."""
    sim = Simulation(hosts, rate, burst, seed)
    sim.run_until(3.0, 0.0)
    return sim


def simulation_with_failures(seed: int, rate: float = RATE, burst: float = BURST) -> Simulation:
    """Run 20 s at five times the rate, with failures drawn from the seed."""
    sim = simulation(seed, rate=rate, burst=burst)
    rng = random.Random(seed)
    while sim.now < 23.0:
        sim.run_until(sim.now + rng.uniform(0.2, 1.5), HOT_TIMES * rate)
        order = candidates.ranked_servers(NAME, sim.hosts["h0"].client._candidates)
        name = order[0] if rng.random() < 0.5 else rng.choice(sim.names)
        match rng.randrange(6):
            case 0:
                sim.restart(name, rng.uniform(0.3, 2.0))
            case 1:
                sim.freeze(name, rng.uniform(0.2, 3.0))
            case 2:
                sim.partition(set(rng.sample(sim.names, rng.randint(1, HOSTS // 2))))
            case 3:
                sim.heal()
            case 4 if rng.random() < 0.3:
                for each in sim.names:
                    sim.restart(each, rng.uniform(0.5, 1.0))
    return sim


@pytest.mark.parametrize("seed", range(24))
def test_no_window_exceeds_the_quota_under_failures(seed: int) -> None:
    sim = simulation_with_failures(seed)
    assert 0 < max_in_window(sim.granted_at) <= allowed(RATE, BURST)


@pytest.mark.parametrize(("rate", "burst"), [(40.0, 40.0), (5.0, 5.0), (100.0, 100.0)])
@pytest.mark.parametrize("times", [1.5, 5.0])
def test_the_allowed_rate_is_served_under_overload(rate: float, burst: float, times: float) -> None:
    sim = simulation(1, rate=rate, burst=burst)
    sim.run_until(5.0, rate * times)
    before = len(sim.granted_at)
    sim.run_until(15.0, rate * times)
    assert len(sim.granted_at) - before >= 0.98 * 10.0 * rate


@pytest.mark.parametrize(("rate", "burst"), [(5.0, 5.0), (95.0, 95.0)])
def test_calls_below_the_rate_are_granted(rate: float, burst: float) -> None:
    sim = simulation(2, rate=rate, burst=burst)
    sim.run_until(13.0, rate / 1.6)
    assert sim.denied <= 0.002 * sim.asked


def test_a_single_host_can_use_the_whole_quota() -> None:
    sim = simulation(3)
    before = sim.now
    for _ in range(1000):
        sim.run_until(sim.now + 0.01, 0.0)
        sim.call("h0")
    assert len(sim.granted_at) >= 0.98 * RATE * (sim.now - before)
    assert max_in_window(sim.granted_at) <= allowed(RATE, BURST)


def test_a_lowered_rate_applies_within_one_window() -> None:
    sim = simulation(4)
    sim.run_until(8.0, HOT_PER_S)
    sim.set_quota(4.0, 4.0)
    sim.run_until(13.0, HOT_PER_S)
    before = len(sim.granted_at)
    sim.run_until(23.0, HOT_PER_S)
    assert max_in_window(sim.granted_at[before:]) <= allowed(4.0, 4.0)
    assert len(sim.granted_at) - before >= 0.98 * 10.0 * 4.0


def test_calls_are_granted_again_after_the_quota_server_fails() -> None:
    sim = simulation(5)
    sim.run_until(6.0, RATE / 1.6)
    order = candidates.ranked_servers(NAME, sim.hosts["h0"].client._candidates)
    sim.restart(order[0], 30.0)
    sim.run_until(7.5, RATE / 1.6)
    denied, asked = sim.denied, sim.asked
    sim.run_until(12.0, RATE / 1.6)
    assert sim.denied - denied <= 0.02 * (sim.asked - asked)


class Fleet(NamedTuple):
    """Names of hosts, and of an absent one whose presence in a list changes the first server."""

    names: list[str]
    absent: str


def fleet_with_absent_host() -> Fleet:
    """Return hosts of which the last candidate is the customer's first server."""
    for number in range(1000):
        names = [f"f{number}-{each}" for each in range(HOSTS)]
        absent = f"f{number}-absent"
        first = candidates.first_server(NAME, candidates.quota_server_candidates(names))
        if first not in candidates.quota_server_candidates([*names, absent]):
            return Fleet(names, absent)
    raise AssertionError("no such hosts")


FLEET = fleet_with_absent_host()


def most_granted_beside_another_list(known: set[str], hosts: int) -> int:
    """Run 12 s at five times the rate, while some hosts know other hosts than the rest."""
    sim = Simulation(HOSTS, RATE, BURST, 6, FLEET.names)
    for name in FLEET.names[:hosts]:
        sim.hosts[name].learn(known)
    sim.run_until(5.0, 0.0)
    sim.run_until(17.0, HOT_PER_S)
    return max_in_window(sim.granted_at)


@pytest.mark.parametrize("hosts", [3, 6, 9])
def test_hosts_that_still_list_an_absent_host_do_not_double_the_quota(hosts: int) -> None:
    most = most_granted_beside_another_list({*FLEET.names, FLEET.absent}, hosts)
    assert 0.9 * RATE * WINDOW_S <= most <= allowed(RATE, BURST)


@pytest.mark.parametrize("hosts", [3, 6, 9])
def test_hosts_that_do_not_list_the_first_server_do_not_double_the_quota(hosts: int) -> None:
    first = candidates.first_server(NAME, candidates.quota_server_candidates(FLEET.names))
    others = [name for name in FLEET.names if name != first]
    most = most_granted_beside_another_list(set(others), hosts)
    assert 0.9 * RATE * WINDOW_S <= most <= allowed(RATE, BURST)


def test_one_cut_connection_between_two_servers_does_not_double_the_quota() -> None:
    sim = simulation(7)
    order = candidates.ranked_servers(NAME, sim.hosts["h0"].client._candidates)
    sim.cut = {frozenset(order[:2])}
    sim.run_until(6.0, 0.0)
    sim.run_until(18.0, HOT_PER_S)
    assert 0.9 * RATE * WINDOW_S <= max_in_window(sim.granted_at) <= allowed(RATE, BURST)


def change_one_list(sim: Simulation, rng: random.Random) -> None:
    """Let a third of the hosts add or drop one host in their lists, never themselves."""
    other = rng.choice([FLEET.absent, *FLEET.names])
    for name in rng.sample(FLEET.names, HOSTS // 3):
        known = set(FLEET.names).symmetric_difference({other})
        sim.hosts[name].learn({*known, name})


def simulation_with_changing_lists(
    seed: int, rate: float = RATE, burst: float = BURST
) -> Simulation:
    """Run 23 s at five times the rate while lists of hosts change, with some other failures."""
    sim = Simulation(HOSTS, rate, burst, seed, FLEET.names)
    rng = random.Random(seed)
    while sim.now < 23.0:
        sim.run_until(sim.now + rng.uniform(0.2, 1.5), HOT_TIMES * rate)
        match rng.randrange(5):
            case 0:
                sim.restart(rng.choice(FLEET.names), rng.uniform(0.3, 2.0))
            case 1:
                sim.freeze(rng.choice(FLEET.names), rng.uniform(0.2, 3.0))
            case 2:
                sim.cut = {frozenset(rng.sample(FLEET.names, 2))}
            case _:
                change_one_list(sim, rng)
    return sim


@pytest.mark.parametrize("seed", range(24))
def test_no_window_exceeds_the_quota_while_lists_change(seed: int) -> None:
    sim = simulation_with_changing_lists(seed)
    assert 0 < max_in_window(sim.granted_at) <= allowed(RATE, BURST)


@pytest.mark.parametrize("history", [simulation_with_failures, simulation_with_changing_lists])
@pytest.mark.parametrize(("rate", "burst"), SMALL)
def test_no_window_exceeds_a_small_quota(history: Any, rate: float, burst: float) -> None:
    """Guards against a burst that two servers hold at once."""
    for seed in range(4):
        sim = history(seed, rate, burst)
        assert 0 < max_in_window(sim.granted_at) <= allowed(rate, burst)


def most_granted_after_a_pause() -> int:
    """Let two servers, to each of which half of the hosts lend, fill up, then send calls."""
    sim = Simulation(HOSTS, *LARGE_BURST, 6, FLEET.names)
    for name in FLEET.names[: HOSTS // 2]:
        sim.hosts[name].learn({*FLEET.names, FLEET.absent})
    sim.run_until(60.0, 0.0)
    sim.run_until(70.0, HOT_TIMES * LARGE_BURST[0])
    return max_in_window(sim.granted_at)


def whole_burst(server: Any, customer: Any, bucket: Any) -> float:
    """Return the most credit of a server that may hold the whole burst."""
    return float(customer.max_credit)


def test_two_servers_hold_one_burst_together(monkeypatch: pytest.MonkeyPatch) -> None:
    assert most_granted_after_a_pause() <= allowed(*LARGE_BURST)
    monkeypatch.setattr(quota_server.QuotaServer, "_max_credit", whole_burst)
    assert most_granted_after_a_pause() > allowed(*LARGE_BURST)


def test_counting_connected_hosts_as_lenders_exceeds_the_quota(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(lenders.Lenders, "_is_first", lambda *_: True)
    most = max(max_in_window(simulation_with_changing_lists(seed).granted_at) for seed in range(24))
    assert most > allowed(RATE, BURST)


def ask_lending_a_share_again(account: Any, ask_id: int, want: int, lends_ms: int) -> Any:
    """Request credit as a host that lends its share for the same time repeatedly."""
    found = credit_ask(account, ask_id, want, lends_ms)
    return {**found, "lends_ms": 10_000}


credit_ask = credit._credit_ask
MUTANTS = {
    "a share is lent once": (credit, "_credit_ask", ask_lending_a_share_again),
    "a new server starts with a share of the slack": (quota_server, "INITIAL_SLACK_SHARE", 1e9),
}


@pytest.mark.parametrize("rule", MUTANTS)
def test_removing_a_rule_exceeds_the_quota(rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    module, name, value = MUTANTS[rule]
    monkeypatch.setattr(module, name, value)
    most = max(max_in_window(simulation_with_failures(seed).granted_at) for seed in range(24))
    assert most > allowed(RATE, BURST)
