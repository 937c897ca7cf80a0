"""Registry of peers, from the store and from their own reports."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from foldhoist.membership.incarnations import UpstreamIncarnation
from foldhoist.membership.neighbours import MAX_LOCAL, MIN_REMOTE
from foldhoist.membership.registration import Registration
from foldhoist.membership.registry import (
    FORGET_AFTER_S,
    Connect,
    Disconnect,
    Registry,
    UpstreamChanged,
)

if TYPE_CHECKING:
    from foldhoist.schema.messages import Announced, EndedLife, Member


def announced(instance: str = "i-1", service: str = "shop", state: str = "ready") -> Announced:
    found: Any = {
        "instance": instance,
        "service": service,
        "slots": 4,
        "state": state,
        "sequence": 1,
        "born_ms": 0,
        "cold_ms": 0,
    }
    return found


def member(
    name: str,
    frames: str,
    upstream: Announced | None = None,
    incarnation: str = "l1",
    telling: int = 1,
) -> Member:
    return {
        "name": name,
        "incarnation": incarnation,
        "telling": telling,
        "frames": frames,
        "data_centre": "one",
        "version": 1,
        "upstream": upstream or announced(),
        "ended": [],
    }


def test_a_record_of_the_store_opens_a_connection_once() -> None:
    registry = Registry("me", "one")
    record = Registration("b", "l1", "b:1", "two")
    assert registry.add_records(0.0, [record]) == [Connect("b", "b:1")]
    assert registry.add_records(1.0, [record]) == []
    assert registry.add_records(1.0, [Registration("me", "l", "me:1", "one")]) == []


def test_a_peers_own_report_outranks_an_older_record() -> None:
    registry = Registry("me", "one")
    registry.update_member(0.0, member("b", "b:2"))
    assert registry.add_records(1.0, [Registration("b", "l0", "b:1", "one")]) == []
    assert registry.peers["b"].frames == "b:2"


def test_a_changed_upstream_is_reported_once() -> None:
    registry = Registry("me", "one")
    assert UpstreamChanged("b") in registry.update_member(0.0, member("b", "b:1"))
    assert registry.update_member(0.1, member("b", "b:1")) == []
    changed = registry.update_member(0.2, member("b", "b:1", announced("i-2", "pay")))
    assert changed == [UpstreamChanged("b")]


def test_a_peer_is_removed_when_another_daemon_takes_its_address() -> None:
    registry = Registry("me", "one")
    registry.update_member(0.0, member("b", "b:1"))
    actions = registry.update_member(1.0, member("c", "b:1"))
    assert Disconnect("b") in actions
    assert Connect("c", "b:1") in actions
    assert set(registry.peers) == {"c"}


def test_an_unreachable_peer_is_removed_after_the_timeout() -> None:
    registry = Registry("me", "one")
    registry.update_member(0.0, member("b", "b:1"))
    assert registry.expire(FORGET_AFTER_S + 1, set()) == [], "no connection to it was wanted"
    registry.update_member(0.0, member("b", "b:1"))
    registry.set_connected(0.0, "b", up=False)
    assert registry.expire(FORGET_AFTER_S - 1, set()) == []
    assert registry.expire(FORGET_AFTER_S + 1, {"b"}) == []
    assert Disconnect("b") in registry.expire(2 * FORGET_AFTER_S + 2, set())


def test_ended_incarnations_are_kept_for_the_next_incarnation_of_a_peer() -> None:
    registry = Registry("me", "one")
    rows: list[EndedLife] = [{"instance": "i-1", "born_ms": 5}]
    registry.update_member(0.0, {**member("b", "b:1"), "ended": rows})
    assert registry.ended_incarnations("b") is None
    registry.update_member(1.0, member("b", "b:1", incarnation="l2"))
    assert registry.ended_incarnations("b") == rows
    assert registry.ended_incarnations("nobody") is None


def test_only_present_upstreams_are_tracked_including_the_own_one() -> None:
    registry = Registry("me", "one")
    registry.update_member(0.0, member("b", "b:1"))
    registry.update_member(0.0, member("c", "c:1", announced("i-2", "shop", "gone")))
    registry.add_records(0.0, [Registration("d", "l", "d:1", "two")])
    names = [each.name for each in registry.tracked(0.0, announced("i-me"))["shop"]]
    assert sorted(names) == ["b", "me"]


def test_tracked_upstreams_are_bounded_and_some_are_remote() -> None:
    registry = Registry("me", "one")
    for number in range(100):
        report = member(f"p{number}", f"p{number}:1")
        report["data_centre"] = "one" if number % 2 else "two"
        registry.update_member(0.0, report)
    tracked = registry.tracked(0.0, None)["shop"]
    assert len(tracked) == MAX_LOCAL + MIN_REMOTE
    assert 0 < sum(each.data_centre == "two" for each in tracked) < (MAX_LOCAL + MIN_REMOTE) / 2


def test_a_record_does_not_take_the_address_of_a_peer_that_has_reported_itself() -> None:
    registry = Registry("me", "one")
    registry.update_member(0.0, member("c", "b:1"))
    assert registry.add_records(1.0, [Registration("b", "l1", "b:1", "one")]) == []
    assert list(registry.peers) == ["c"]


def test_of_two_records_with_one_address_the_peer_that_reports_stays() -> None:
    registry = Registry("me", "one")
    records = [Registration("c", "l1", "b:1", "one"), Registration("lost", "l1", "b:1", "one")]
    registry.add_records(0.0, records)
    registry.update_member(0.1, member("c", "b:1"))
    assert registry.add_records(0.2, records) == []
    assert list(registry.peers) == ["c"]


def test_a_late_report_on_another_connection_does_not_change_the_upstream() -> None:
    """Reports are not ordered between the two connections of a pair of daemons.

    Guards against an older report without an upstream that replaces a newer one with it.
    """
    registry = Registry("me", "one")
    registry.update_member(0.0, member("b", "b:1", announced(), telling=2))
    late = member("b", "b:1", announced(instance="", state="gone"), telling=1)
    late["ended"] = [{"instance": "i-0", "born_ms": 0}]
    assert registry.update_member(0.1, late) == []
    peer = registry.peers["b"]
    assert peer.upstream == announced()
    assert UpstreamIncarnation("i-0") in peer.ended
