"""Dispatches the messages of other daemons on a platform to the tasks that handle them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from foldhoist.membership.incarnations import incarnations_from_rows

if TYPE_CHECKING:
    from foldhoist.daemon.mesh import MeshDaemon
    from foldhoist.schema.messages import Crashes, Member, Suspect


class PeerMessages:
    """Passes each message of a peer to the task that handles it, and sends the replies."""

    def __init__(self, daemon: MeshDaemon) -> None:
        self._daemon = daemon

    def on_outbound(self, name: str, kind: str, body: Any) -> None:
        """Handle a message received on a connection that this daemon opened."""
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
                daemon.peers.on_full_roster(body)
            case _:
                daemon.ingress_task.message(name, kind, body)

    def on_inbound(self, link: int, kind: str, body: Any) -> None:
        """Handle a message received on a connection that a peer opened."""
        daemon = self._daemon
        match kind:
            case "Hello":
                daemon.peers.forget_report(body["name"])
            case "Member":
                self._on_member(link, body)
            case "Remembered":
                daemon.upstream.add_ended(incarnations_from_rows(body["ended"]))
            case "Versioned":
                daemon.versions.on_versioned(daemon.owner.peer_name(link), body)
            case "Crashes":
                self._on_crashes(body)
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
        """Send calls suspected of crashing upstreams to the relays of other data centres."""
        self._daemon.peers.send_to_relays("Crashes", {"suspects": suspects, "spread": True})

    def store_quarantined(self, calls: list[str]) -> None:
        """Write newly quarantined calls to the store if the upstream here crashed during one."""
        daemon = self._daemon
        if any(daemon.quarantine.is_own(call) for call in calls):
            daemon.peers.rewrite_record()

    def send_member(self, link: int, name: str) -> None:
        """Send this daemon's report to a peer, on the connection that the peer opened."""
        self._daemon.owner_task.reply(link, "Member", self._daemon.describe())
        self._daemon.peers.record_reported(name)

    def _on_crashes(self, message: Crashes) -> None:
        """Merge a daemon's suspected calls; relays them in this data centre if `spread` is set."""
        daemon = self._daemon
        daemon.owner_task.learn_crashes(message["suspects"])
        if message["spread"]:
            relayed: Crashes = {**message, "spread": False}
            daemon.peers.broadcast("Crashes", relayed, local=True)

    def _on_member(self, link: int, member: Member) -> None:
        daemon = self._daemon
        known = daemon.registry.peers.get(member["name"])
        is_new = known is None or known.incarnation != member["incarnation"]
        daemon.peers.update_member(member)
        reply = daemon.owner_task.reply
        ended = daemon.registry.ended_incarnations(member["name"])
        if ended is not None:
            reply(link, "Remembered", {"ended": ended})
        # The last report to it, on either connection, may be older than the latest change.
        # It may have been sent on a connection of this daemon's own, before something changed.
        if is_new or not daemon.peers.has_latest_report(member["name"]):
            self.send_member(link, member["name"])
        reply(link, "Noted", {"ended": member["ended"]})
        if daemon.versions.is_behind(member):
            reply(link, *daemon.versions.update_for(member["name"], member["version"]))
