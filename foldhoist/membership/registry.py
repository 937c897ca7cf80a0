"""Registry of the daemons that one daemon knows, and of their upstreams; no I/O.

Membership comes from records in the platform's store, which hold the addresses of daemons, from
what other daemons relay, and from reports that each daemon sends on its own connections, which take
precedence. Liveness is determined by connections, not by this list.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from foldhoist.membership.incarnations import (
    EndedIncarnations,
    incarnation_of,
    incarnations_from_rows,
)
from foldhoist.membership.neighbours import Neighbours
from foldhoist.membership.registration import Registration
from foldhoist.routing.picker import Member as Tracked

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foldhoist.membership.incarnations import UpstreamIncarnation
    from foldhoist.schema.messages import Announced, EndedLife, Member, Row

FORGET_AFTER_S = 60.0
"""A peer with a missing connection is removed after this time without contact, seconds."""
UNREACHABLE_AFTER_S = 1.0
"""Another peer is selected beside one that could not be reached for this long, seconds.

It is about the time in which a restarted process listens again.
"""


class Connect(NamedTuple):
    """A connection to this peer may be opened at the address `frames`."""

    name: str
    frames: str


class Disconnect(NamedTuple):
    """A peer was removed; its connection is to be closed."""

    name: str


class UpstreamChanged(NamedTuple):
    """The upstream of this peer has changed."""

    name: str


Action: TypeAlias = Connect | Disconnect | UpstreamChanged


class Peer:
    """Another daemon.

    `upstream` is what the peer reports, None while no report is known; `service` is the last one
    known. `relayed` marks a peer known only from other daemons. `had_earlier_incarnation` is set
    once an earlier incarnation was known from its own report or the store. `missing_since` is when
    a wanted connection was found missing; None while it is up or not wanted. `report_number` is the
    number of its last report.
    """

    __slots__ = (
        "data_centre",
        "ended",
        "frames",
        "had_earlier_incarnation",
        "incarnation",
        "last_contact_at",
        "missing_since",
        "name",
        "relayed",
        "report_number",
        "service",
        "upstream",
    )

    def __init__(self, known: Registration, now: float, *, relayed: bool = False) -> None:
        self.name = known.name
        self.incarnation = known.incarnation
        self.frames = known.frames
        self.data_centre = known.data_centre
        self.service = known.service
        self.relayed = relayed
        self.ended = EndedIncarnations(known.ended)
        self.upstream: Announced | None = None
        self.had_earlier_incarnation = False
        self.report_number = 0
        self.last_contact_at = now
        self.missing_since: float | None = None


class Registry:
    """All peers of a daemon; `now` is monotonic time in seconds.

    Every daemon connects to the hosts in `quota_servers`.
    """

    def __init__(self, name: str, data_centre: str) -> None:
        self.name = name
        self.data_centre = data_centre
        self.peers: dict[str, Peer] = {}
        self.neighbours = Neighbours(name, data_centre)
        self.quota_servers: frozenset[str] = frozenset()
        self._by_address: dict[str, str] = {}

    def add_records(
        self, now: float, records: Iterable[Registration], *, relayed: bool = False
    ) -> list[Action]:
        """Add records of daemons; they do not replace what a peer itself has reported.

        `relayed` marks records received from other daemons, which lack ended incarnations.
        """
        actions: list[Action] = []
        for record in records:
            if record.name == self.name:
                continue
            peer = self.peers.get(record.name)
            if peer is not None and peer.upstream is not None:
                continue
            if peer is not None and peer.frames == record.frames:
                self._set_service(peer, record.service or peer.service)
                continue
            if self._is_address_reported(record.frames):
                continue
            actions += self._insert(now, Peer(record, now, relayed=relayed))
        return actions

    def add_relayed(self, now: float, rows: Iterable[Row]) -> list[Action]:
        """Add what other daemons know of daemons."""
        records = [
            Registration(
                row["name"],
                row["incarnation"],
                row["frames"],
                row["data_centre"],
                (),
                row["service"],
            )
            for row in rows
        ]
        return self.add_records(now, records, relayed=True)

    def update_member(self, now: float, member: Member) -> list[Action]:
        """Update a peer from its own report, received on a connection with it."""
        name = member["name"]
        if name == self.name:
            return []
        known = Registration(name, member["incarnation"], member["frames"], member["data_centre"])
        actions: list[Action] = []
        peer = self.peers.get(name)
        if peer is None or peer.frames != known.frames or peer.data_centre != known.data_centre:
            actions += self._insert(now, Peer(known, now))
            peer = self.peers[name]
        if peer.incarnation != known.incarnation and not peer.relayed:
            peer.had_earlier_incarnation = True
        for incarnation in incarnations_from_rows(member["ended"]):
            peer.ended.add(incarnation)
        peer.last_contact_at = now
        if peer.incarnation == known.incarnation and member["telling"] < peer.report_number:
            # Two connections join two daemons, so that a report may arrive after a newer one.
            return actions
        peer.report_number = member["telling"]
        before = _identity(peer.upstream)
        peer.incarnation = known.incarnation
        peer.relayed = False
        peer.upstream = member["upstream"]
        self._set_service(peer, member["upstream"]["service"])
        if _identity(peer.upstream) != before:
            actions.append(UpstreamChanged(name))
        return actions

    def record_contact(self, now: float, name: str) -> None:
        """Record that a message of a peer has arrived."""
        peer = self.peers.get(name)
        if peer is not None:
            peer.last_contact_at = now

    def set_connected(self, now: float, name: str, up: bool) -> None:
        """Record that the connection to a peer is up, or is wanted and down."""
        peer = self.peers.get(name)
        if peer is None:
            return
        if up:
            peer.missing_since = None
        elif peer.missing_since is None:
            peer.missing_since = now

    def stop_connecting(self, now: float, name: str) -> None:
        """Record that no connection to a peer is wanted; its upstream is then unknown."""
        peer = self.peers.get(name)
        if peer is not None:
            peer.missing_since = None
            peer.upstream = None
            peer.last_contact_at = now

    def expire(self, now: float, connected: set[str]) -> list[Action]:
        """Remove the peers whose wanted connection is down and that sent nothing for too long.

        `connected` are the names of the peers with a connection.
        """
        actions: list[Action] = []
        for name, peer in list(self.peers.items()):
            if name in connected or peer.missing_since is None:
                peer.last_contact_at = now
                continue
            if now - peer.last_contact_at > FORGET_AFTER_S:
                self._remove(peer)
                actions += [Disconnect(name), UpstreamChanged(name)]
        return actions

    def ended_incarnations(self, name: str) -> list[EndedLife] | None:
        """Return the ended incarnations of a peer's upstream, as rows of a message.

        None if no earlier incarnation of the peer is known here.
        """
        peer = self.peers.get(name)
        return peer.ended.rows() if peer is not None and peer.had_earlier_incarnation else None

    def rows(self) -> list[Row]:
        """Return a row for every peer, to be sent to other daemons."""
        return [
            {
                "name": peer.name,
                "incarnation": peer.incarnation,
                "frames": peer.frames,
                "data_centre": peer.data_centre,
                "service": peer.service,
            }
            for peer in self.peers.values()
        ]

    def wanted(self, now: float) -> set[str]:
        """Return the peers to keep connections to."""
        found = {*self.neighbours.local_daemons(), *self.neighbours.relays()}
        found.update(self.quota_servers & self.peers.keys())
        for service in self.neighbours.services:
            found.update(self.neighbours.remote(service, lambda name: self._is_usable(now, name)))
        return found

    def tracked(self, now: float, own: Announced | None) -> dict[str, list[Tracked]]:
        """Return the upstreams to choose from, by service; `own` is the one beside this daemon."""

        def is_usable(name: str) -> bool:
            return self._is_usable(now, name)

        found: dict[str, list[Tracked]] = {}
        if own is not None and _is_present(own):
            tracked = Tracked(self.name, self.data_centre, own["slots"], incarnation_of(own))
            found[own["service"]] = [tracked]
        for service in self.neighbours.services:
            local_peers = self.neighbours.local(service, is_usable)
            for name in local_peers + self.neighbours.remote(service, is_usable):
                peer = self.peers[name]
                if peer.upstream is None or not _is_present(peer.upstream):
                    continue
                incarnation = incarnation_of(peer.upstream)
                slots = peer.upstream["slots"]
                tracked = Tracked(name, peer.data_centre, slots, incarnation)
                found.setdefault(service, []).append(tracked)
        return found

    def _is_usable(self, now: float, name: str) -> bool:
        """Return whether a peer can take calls now or soon; one without a known upstream counts."""
        peer = self.peers[name]
        if peer.missing_since is not None and now - peer.missing_since > UNREACHABLE_AFTER_S:
            return False
        upstream = peer.upstream
        if upstream is None or not upstream["instance"]:
            return True
        return upstream["state"] == "ready"

    def _is_address_reported(self, frames: str) -> bool:
        """Return whether the peer at this address has reported itself; that outranks records."""
        name = self._by_address.get(frames)
        return name is not None and self.peers[name].upstream is not None

    def _insert(self, now: float, peer: Peer) -> list[Action]:
        actions: list[Action] = []
        current_holder = self._by_address.get(peer.frames)
        if current_holder is not None and current_holder != peer.name:
            self._remove(self.peers[current_holder])
            actions += [Disconnect(current_holder), UpstreamChanged(current_holder)]
        before = self.peers.get(peer.name)
        if before is not None:
            peer.ended = EndedIncarnations(
                (*before.ended.incarnations(), *peer.ended.incarnations())
            )
            is_other_incarnation = before.incarnation != peer.incarnation and not before.relayed
            peer.had_earlier_incarnation = before.had_earlier_incarnation or is_other_incarnation
            peer.service = peer.service or before.service
            actions.append(UpstreamChanged(peer.name))
            self._remove(before)
        self.add(peer)
        actions.append(Connect(peer.name, peer.frames))
        return actions

    def add(self, peer: Peer) -> None:
        """Add a peer; no other peer may have its address."""
        self.peers[peer.name] = peer
        self._by_address[peer.frames] = peer.name
        self.neighbours.add(peer.name, peer.data_centre, peer.service)

    def _remove(self, peer: Peer) -> None:
        del self.peers[peer.name]
        del self._by_address[peer.frames]
        self.neighbours.discard(peer.name, peer.data_centre, peer.service)

    def _set_service(self, peer: Peer, service: str) -> None:
        if service == peer.service:
            return
        self.neighbours.discard(peer.name, peer.data_centre, peer.service)
        peer.service = service
        self.neighbours.add(peer.name, peer.data_centre, service)


def _identity(upstream: Announced | None) -> tuple[UpstreamIncarnation, str, int, bool] | None:
    if upstream is None:
        return None
    not_ready = upstream["state"] != "ready"
    return incarnation_of(upstream), upstream["service"], upstream["slots"], not_ready


def _is_present(upstream: Announced) -> bool:
    return upstream["state"] != "gone" and bool(upstream["instance"])
