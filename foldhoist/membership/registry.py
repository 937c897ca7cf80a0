"""The daemons that one daemon knows, and the upstreams beside them; no I/O.

Membership is learned from records in the platform's store, which tell where daemons listen, and
from what daemons tell each other on their connections, which goes first. Who is alive is a matter
of connections, not of this list.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from foldhoist.routing.picker import Member as Tracked
from foldhoist.routing.rendezvous import ranked

if TYPE_CHECKING:
    from foldhoist.schema.messages import Announced, Member

TRACKED = 24
"""Upstreams of one service that a daemon tracks."""
REMOTE_SHARE = 4
"""One in this many tracked upstreams is of another data centre, if there are too many."""
SILENT_S = 60.0
"""A peer that could not be reached for this long is forgotten, seconds."""


class Registration(NamedTuple):
    """Where a daemon listens, as the platform's store keeps it."""

    name: str
    incarnation: str
    frames: str
    data_centre: str
    ended: tuple[str, ...] = ()


class Connect(NamedTuple):
    """Keep a connection to this peer."""

    name: str
    frames: str


class Disconnect(NamedTuple):
    """Close the connection to this peer for good: it is gone, or is another's now."""

    name: str


class Changed(NamedTuple):
    """The upstream of this peer is another one than before."""

    name: str


Action: TypeAlias = Connect | Disconnect | Changed


class Peer:
    """Another daemon; `upstream` is None until it has told of it.

    `earlier` says that an earlier life of it was known here.
    """

    __slots__ = (
        "data_centre",
        "earlier",
        "ended",
        "frames",
        "heard_at",
        "incarnation",
        "name",
        "upstream",
    )

    def __init__(self, known: Registration, now: float) -> None:
        self.name = known.name
        self.incarnation = known.incarnation
        self.frames = known.frames
        self.data_centre = known.data_centre
        self.ended: list[str] = list(known.ended)
        self.upstream: Announced | None = None
        self.earlier = False
        self.heard_at = now


class Registry:
    """All peers of a daemon; `now` is in seconds, monotonic."""

    def __init__(self, name: str, data_centre: str) -> None:
        self.name = name
        self.data_centre = data_centre
        self.peers: dict[str, Peer] = {}

    def stored(self, now: float, records: list[Registration]) -> list[Action]:
        """Take in records of the store; what a peer itself has told is not replaced."""
        actions: list[Action] = []
        for record in records:
            if record.name == self.name:
                continue
            peer = self.peers.get(record.name)
            if peer is not None and peer.upstream is not None:
                continue
            if peer is not None and peer.frames == record.frames:
                continue
            if self._has_told(record.frames):
                continue
            actions += self._place(now, record)
        return actions

    def told(self, now: float, member: Member) -> list[Action]:
        """Take in what a peer tells of itself on a connection of its own."""
        name = member["name"]
        if name == self.name:
            return []
        known = Registration(name, member["incarnation"], member["frames"], member["data_centre"])
        actions: list[Action] = []
        peer = self.peers.get(name)
        if peer is None or peer.frames != known.frames:
            actions += self._place(now, known)
            peer = self.peers[name]
        peer.earlier = peer.earlier or peer.incarnation != known.incarnation
        before = _identity(peer.upstream)
        peer.incarnation = known.incarnation
        peer.data_centre = known.data_centre
        peer.heard_at = now
        peer.upstream = member["upstream"]
        for instance in member["ended"]:
            if instance not in peer.ended:
                peer.ended.append(instance)
        if _identity(peer.upstream) != before:
            actions.append(Changed(name))
        return actions

    def heard(self, now: float, name: str) -> None:
        """Take in a sign of life of a peer."""
        peer = self.peers.get(name)
        if peer is not None:
            peer.heard_at = now

    def expire(self, now: float, connected: set[str]) -> list[Action]:
        """Forget peers that could not be reached for long."""
        actions: list[Action] = []
        for name, peer in list(self.peers.items()):
            if name in connected:
                peer.heard_at = now
                continue
            if now - peer.heard_at > SILENT_S:
                del self.peers[name]
                actions += [Disconnect(name), Changed(name)]
        return actions

    def remembered(self, name: str) -> list[str] | None:
        """Return the ended lives of a peer's upstreams for its present life.

        None if no earlier life of it was known here.
        """
        peer = self.peers.get(name)
        return list(peer.ended) if peer is not None and peer.earlier else None

    def tracked(self, own: Announced | None) -> dict[str, list[Tracked]]:
        """Return the upstreams to choose from, by service; `own` is the one beside this daemon."""
        near: dict[str, dict[str, Tracked]] = {}
        far: dict[str, dict[str, Tracked]] = {}
        rows = [(peer.name, peer.data_centre, peer.upstream) for peer in self.peers.values()]
        rows.append((self.name, self.data_centre, own))
        for name, data_centre, upstream in rows:
            if upstream is None or upstream["state"] == "gone" or not upstream["instance"]:
                continue
            side = near if data_centre == self.data_centre else far
            member = Tracked(name, data_centre, upstream["slots"])
            side.setdefault(upstream["service"], {})[name] = member
        found: dict[str, list[Tracked]] = {}
        for service in {*near, *far}:
            close, distant = near.get(service, {}), far.get(service, {})
            names = _bounded(ranked(list(close), self.name), ranked(list(distant), self.name))
            found[service] = [close.get(name) or distant[name] for name in names]
        return found

    def _has_told(self, frames: str) -> bool:
        """Return whether a peer has told that this address is its own: a record of it is older."""
        peers = self.peers.values()
        return any(peer.frames == frames and peer.upstream is not None for peer in peers)

    def _place(self, now: float, record: Registration) -> list[Action]:
        actions: list[Action] = []
        for other in list(self.peers.values()):
            if other.frames != record.frames and other.name != record.name:
                continue
            if other.name != record.name:
                del self.peers[other.name]
                actions += [Disconnect(other.name), Changed(other.name)]
        before = self.peers.get(record.name)
        peer = Peer(record, now)
        if before is not None:
            peer.ended = [*before.ended, *(e for e in peer.ended if e not in before.ended)]
            peer.earlier = before.earlier or before.incarnation != record.incarnation
            actions.append(Changed(record.name))
        self.peers[record.name] = peer
        actions.append(Connect(record.name, record.frames))
        return actions


def _identity(upstream: Announced | None) -> tuple[str, str, int, bool] | None:
    if upstream is None:
        return None
    gone = upstream["state"] != "ready"
    return upstream["instance"], upstream["service"], upstream["slots"], gone


def _bounded(near: list[str], far: list[str]) -> list[str]:
    if len(near) + len(far) <= TRACKED:
        return near + far
    remote = min(len(far), max(1, TRACKED // REMOTE_SHARE))
    local = min(len(near), TRACKED - remote)
    return near[:local] + far[: TRACKED - local]
