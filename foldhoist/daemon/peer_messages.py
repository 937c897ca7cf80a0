"""What daemons on a platform tell each other beside calls: who takes in which message."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from foldhoist.membership.incarnations import incarnations_from_rows

if TYPE_CHECKING:
    from foldhoist.daemon.mesh import MeshDaemon
    from foldhoist.schema.messages import Crashes, Member, Suspect


class PeerMessages:
    """Hands the messages of peers to the tasks that they are for, and answers them."""

    def __init__(self, daemon: MeshDaemon) -> None:
        self._daemon = daemon

    def on_outbound(self, name: str, kind: str, body: Any) -> None:
        """Take in a message on a connection that this daemon opened."""
        daemon = self._daemon
        daemon.registry.record_contact(asyncio.get_running_loop().time(), name)
        match kind:
            case "Member":
                daemon.peers.update_member(body)
                ended = daemon.registry.ended_incarnations(name)
                if ended is not None:
                    daemon.links.send(name, "Remembered", {"ended": ended})
            case "Remembered":
                daemon.upstream.add_ended(incarnations_from_rows(body["ended"]))
            case "Noted":
                daemon.upstream.peer_answered(name, incarnations_from_rows(body["ended"]))
            case "Versioned":
                daemon.versions.on_versioned(name, body)
            case "Fresh":
                daemon.versions.on_fresh(name, body)
            case "Roster":
                daemon.peers.on_roster(body)
            case _:
                daemon.ingress_task.message(name, kind, body)

    def on_inbound(self, link: int, kind: str, body: Any) -> None:
        """Take in a message on a connection that a peer opened."""
        daemon = self._daemon
        match kind:
            case "Member":
                self._member(link, body)
            case "Remembered":
                daemon.upstream.add_ended(incarnations_from_rows(body["ended"]))
            case "Versioned":
                daemon.versions.on_versioned(daemon.owner.peer_name(link), body)
            case "Crashes":
                self._crashes(body)
            case "Roster":
                daemon.peers.on_roster(body)
                if body["wanted"]:
                    daemon.owner_task.reply(link, "Roster", daemon.peers.full_roster())
            case "CreditAsk":
                daemon.quotas.on_ask(link, body)
            case "Fresh":
                name = daemon.owner.peer_name(link)
                if name:
                    daemon.versions.on_fresh(name, body)

    def share_suspects(self, suspects: list[Suspect]) -> None:
        """Have the other data centres hear of calls that end upstreams."""
        self._daemon.peers.send_to_relays("Crashes", {"suspects": suspects, "spread": True})

    def store_quarantined(self, calls: list[str]) -> None:
        """Have the store keep what this daemon has seen of calls that are refused from now on."""
        daemon = self._daemon
        if any(daemon.quarantine.is_own(call) for call in calls):
            daemon.peers.rewrite_record()

    def send_member(self, link: int, name: str) -> None:
        """Tell a peer what this daemon is now, on the connection that the peer opened."""
        self._daemon.owner_task.reply(link, "Member", self._daemon.describe())
        self._daemon.peers.record_reported(name)

    # Steps

    def _crashes(self, message: Crashes) -> None:
        """Take in, as a relay, what is known elsewhere of calls that end upstreams."""
        daemon = self._daemon
        daemon.owner_task.learn_crashes(message["suspects"])
        if message["spread"]:
            passed_on: Crashes = {**message, "spread": False}
            daemon.peers.broadcast("Crashes", passed_on, local=True)

    def _member(self, link: int, member: Member) -> None:
        daemon = self._daemon
        known = daemon.registry.peers.get(member["name"])
        is_new = known is None or known.incarnation != member["incarnation"]
        daemon.peers.update_member(member)
        reply = daemon.owner_task.reply
        ended = daemon.registry.ended_incarnations(member["name"])
        if ended is not None:
            reply(link, "Remembered", {"ended": ended})
        # It may have been told on a connection of this daemon's, before something changed.
        if is_new or not daemon.peers.has_latest_report(member["name"]):
            self.send_member(link, member["name"])
        reply(link, "Noted", {"ended": member["ended"]})
        if daemon.versions.is_behind(member):
            reply(link, *daemon.versions.update_for(member["name"], member["version"]))
