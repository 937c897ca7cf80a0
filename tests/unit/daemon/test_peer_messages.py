"""Tests of what daemons tell each other of themselves."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from foldhoist.daemon.peer_messages import PeerMessages


class Told:
    """A daemon of which only the parts that these messages need are there."""

    def __init__(self) -> None:
        self.replies: list[str] = []
        self.now_told: set[str] = set()
        known = SimpleNamespace(incarnation="l1")
        self.registry = SimpleNamespace(peers={"b": known}, ended_incarnations=lambda name: None)
        self.links = SimpleNamespace(is_up=lambda name: True)
        self.versions = SimpleNamespace(is_behind=lambda member: False)
        self.owner_task = SimpleNamespace(reply=lambda link, kind, body: self.replies.append(kind))
        self.peers = SimpleNamespace(
            update_member=lambda member: None,
            has_latest_report=lambda name: name in self.now_told,
            record_reported=self.now_told.add,
        )

    def describe(self) -> dict[str, str]:
        """Return what peers are told."""
        return {"name": "a"}


def test_a_peer_that_was_told_before_a_change_is_told_again_on_its_own_connection() -> None:
    """When all daemons start at once, some peers of other data centres knew no upstream here.

    A daemon opens its connection to a peer and tells that it has no upstream yet; it may be served
    some milliseconds later, and tells all that have a connection to it; then the peer connects.
    The peer was taken for one that had been told, since the daemon's own connection to it stood: 10
    of 40 starts of four daemons left one out, until its upstream changed again.
    """
    daemon: Any = Told()
    messages = PeerMessages(daemon)
    member = {"name": "b", "incarnation": "l1", "ended": [], "version": 0}
    messages.on_inbound(3, "Member", member)
    assert daemon.replies == ["Member", "Noted"]
    messages.on_inbound(3, "Member", member)
    assert daemon.replies[2:] == ["Noted"]
