"""Selection of connections and tracked upstreams in fleets of 195 daemons and six times as many.

Guards against connections to all daemons, and against updates whose cost grows with the fleet.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from foldhoist.membership import hash_ring
from foldhoist.membership.neighbours import (
    MAX_LOCAL,
    MIN_REMOTE,
    MIN_TRACKED,
    RELAYS_PER_DATA_CENTRE,
    SCAN_FACTOR,
)
from foldhoist.membership.registration import Registration
from foldhoist.membership.registry import UNREACHABLE_AFTER_S, Registry
from tests.unit.membership.test_registry import announced, member

CENTRES = 5
SHARES = {"shop": 95, "store": 60, "pay": 27, "track": 13}
"""Upstreams of each service in a fleet of 195."""


def fleet(scale: int) -> list[Registration]:
    """Return a fleet of 195 daemons, or `scale` times as many."""
    found: list[Registration] = []
    for service, count in SHARES.items():
        for number in range(count * scale):
            name = f"{service}-{number}"
            centre = f"c{number % CENTRES}"
            found.append(Registration(name, "l1", f"{name}:1", centre, (), service))
    return found


def registry_of(own: Registration, everyone: list[Registration]) -> Registry:
    registry = Registry(own.name, own.data_centre)
    registry.add_records(0.0, everyone)
    return registry


def most_links(scale: int) -> int:
    """Return how many connections a daemon may open in a fleet that many times as large."""
    near = len(fleet(scale)) // CENTRES + len(SHARES)
    far = len(SHARES) * max(MIN_REMOTE, MIN_TRACKED)
    return near + far + RELAYS_PER_DATA_CENTRE * (CENTRES - 1)


@pytest.mark.parametrize("scale", [1, 6])
def test_connections_grow_with_the_data_centre_not_with_the_fleet(scale: int) -> None:
    everyone = fleet(scale)
    for own in everyone[:: max(1, len(everyone) // 20)]:
        wanted = registry_of(own, everyone).wanted(0.0)
        assert own.name not in wanted
        assert len(wanted) <= most_links(scale) < len(everyone)
        near = {each.name for each in everyone if each.data_centre == own.data_centre}
        assert near - {own.name} <= wanted


def test_remote_ingresses_are_spread_evenly_over_the_upstreams_of_a_service() -> None:
    everyone = fleet(1)
    into: Counter[str] = Counter()
    for own in everyone:
        neighbours = registry_of(own, everyone).neighbours
        for service in SHARES:
            into.update(neighbours.remote(service, lambda _: True))
    for service, count in SHARES.items():
        found = [into[each.name] for each in everyone if each.service == service]
        mean = sum(found) / count
        assert min(found) >= 1, service
        assert max(found) < 4 * mean, service


def test_enough_upstreams_of_each_service_are_tracked() -> None:
    everyone = fleet(1)
    registry = registry_of(everyone[0], everyone)
    for each in everyone:
        if each.name == registry.name or each.name not in registry.wanted(0.0):
            continue
        report = member(each.name, each.frames, announced(f"i-{each.name}", each.service))
        registry.update_member(0.0, {**report, "data_centre": each.data_centre})
    tracked = registry.tracked(0.0, None)
    for service, count in SHARES.items():
        far = [m for m in tracked[service] if m.data_centre != registry.data_centre]
        assert len(tracked[service]) >= min(MIN_TRACKED, count - count // CENTRES)
        assert len(far) >= min(MIN_REMOTE, count - count // CENTRES - 1)
        assert len(tracked[service]) <= MAX_LOCAL + MIN_REMOTE


def test_an_unreachable_peer_is_retried_and_another_is_selected_beside_it() -> None:
    everyone = fleet(1)
    registry = registry_of(everyone[0], everyone)
    before = registry.wanted(0.0)
    unreachable = [name for name in registry.neighbours.remote("shop", lambda _: True)][:2]
    for name in unreachable:
        registry.set_connected(1.0, name, up=False)
    assert registry.wanted(1.0 + UNREACHABLE_AFTER_S / 2) == before
    after = registry.wanted(1.0 + 2 * UNREACHABLE_AFTER_S)
    assert set(unreachable) <= after
    assert len(after - before) == 2
    for name in unreachable:
        registry.set_connected(5.0, name, up=True)
    assert registry.wanted(5.0) == before


def test_the_selection_is_bounded_if_no_peer_is_reachable() -> None:
    everyone = fleet(1)
    registry = registry_of(everyone[0], everyone)
    for peer in registry.peers.values():
        registry.set_connected(0.0, peer.name, up=False)
    found = registry.neighbours.remote("shop", lambda _: False)
    assert len(found) == SCAN_FACTOR * max(MIN_REMOTE, MIN_TRACKED - MAX_LOCAL)
    assert len(registry.wanted(10.0)) <= 2 * most_links(1)


def test_the_cost_of_a_report_is_independent_of_the_fleet_size(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against ranking all peers on each report."""
    steps: Counter[int] = Counter()
    real: Any = hash_ring._entry

    def counted(name: str) -> tuple[bytes, str]:
        steps[scale] += 1
        place: tuple[bytes, str] = real(name)
        return place

    monkeypatch.setattr(hash_ring, "_entry", counted)
    for scale in (1, 6):
        everyone = fleet(scale)
        registry = registry_of(everyone[0], everyone)
        peer = everyone[7]
        steps[scale] = 0
        registry.update_member(
            1.0, {**member(peer.name, peer.frames, announced("i-9", peer.service))}
        )
        registry.update_member(2.0, {**member(peer.name, peer.frames, announced("i-9", "pay"))})
    assert steps[1] == steps[6] <= 12


def test_relayed_records_do_not_count_as_an_earlier_incarnation() -> None:
    """Else a restarted daemon serves before a peer that recorded a departure has answered."""
    registry = Registry("me", "one")
    row = {"name": "b", "incarnation": "l0", "frames": "b:1", "data_centre": "one", "service": "s"}
    registry.add_relayed(0.0, [row])  # type: ignore[list-item]
    registry.update_member(1.0, member("b", "b:1"))
    assert registry.ended_incarnations("b") is None
    registry.update_member(2.0, member("b", "b:1", incarnation="l2"))
    assert registry.ended_incarnations("b") == []


def test_a_daemon_that_changes_its_service_is_found_under_the_new_one() -> None:
    everyone = fleet(1)
    registry = registry_of(everyone[0], everyone)
    moved = next(each for each in everyone if each.service == "track" and each.data_centre == "c1")
    row = {
        "name": moved.name,
        "incarnation": "l1",
        "telling": 1,
        "frames": moved.frames,
        "data_centre": moved.data_centre,
        "service": "new",
    }
    registry.add_relayed(1.0, [row])  # type: ignore[list-item]
    assert moved.name in registry.wanted(1.0)
    assert registry.neighbours.remote("new", lambda _: True) == [moved.name]
