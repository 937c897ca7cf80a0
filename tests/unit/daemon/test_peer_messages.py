"""Tests of the reports that daemons send each other about themselves."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from foldhoist.daemon.peer_messages import PeerMessages


class FakeDaemon:
    """A daemon with only the parts that these messages need."""

    def __init__(self) -> None:
        self.replies: list[str] = []
        self.reported: set[str] = set()
        known = SimpleNamespace(incarnation="l1")
        self.registry = SimpleNamespace(peers={"b": known}, ended_incarnations=lambda name: None)
        self.links = SimpleNamespace(is_up=lambda name: True)
        self.versions = SimpleNamespace(is_behind=lambda member: False)
        self.owner_task = SimpleNamespace(reply=lambda link, kind, body: self.replies.append(kind))
        self.peers = SimpleNamespace(
            update_member=lambda member: None,
            has_latest_report=lambda name: name in self.reported,
            record_reported=self.reported.add,
        )

    def describe(self) -> dict[str, str]:
        """Return the report for peers."""
        return {"name": "a"}


def test_a_peer_with_an_older_report_gets_the_latest_one_on_its_own_connection() -> None:
    """A peer that connects just after a change must not be left with the report sent before it.

    Otherwise it would not know this daemon's upstream until the next change.
    """
    daemon: Any = FakeDaemon()
    messages = PeerMessages(daemon)
    member = {"name": "b", "incarnation": "l1", "ended": [], "version": 0}
    messages.on_inbound(3, "Member", member)
    assert daemon.replies == ["Member", "Noted"]
    messages.on_inbound(3, "Member", member)
    assert daemon.replies[2:] == ["Noted"]
