"""The daemons that one daemon knows, and the upstreams beside them; no I/O.

Membership is learned from records in the platform's store, which tell where daemons listen, and
from what daemons tell each other on their connections, which goes first. Who is alive is a matter
of connections, not of this list.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

import msgspec

from foldhoist.membership.incarnations import (
    EndedIncarnations,
    UpstreamIncarnation,
    incarnation_of,
    incarnations_from_rows,
)
from foldhoist.membership.neighbours import Neighbours
from foldhoist.routing.picker import Member as Tracked

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foldhoist.schema.messages import Announced, EndedLife, Member, Row, Suspect

SILENT_S = 60.0
"""A peer that could not be reached for this long is forgotten, seconds."""
AWAY_S = 1.0
"""A peer that could not be reached for this long is not counted on, seconds.

About what a process that is started again takes until it listens.
"""


class QuarantinedCall(NamedTuple):
    """A call that is refused since upstreams have ended under it, as the store keeps it.

    `at_ms` is when the last of these crashes was, milliseconds of wall clock.
    """

    call: str
    crashes: tuple[str, ...]
    at_ms: int


class Registration(NamedTuple):
    """Where a daemon listens, as the platform's store keeps it; `service` is of its upstream."""

    name: str
    incarnation: str
    frames: str
    data_centre: str
    ended: tuple[UpstreamIncarnation, ...] = ()
    service: str = ""
    quarantined: tuple[QuarantinedCall, ...] = ()

    @property
    def has_address(self) -> bool:
        """Return whether a connection may be opened where it says that it listens."""
        host, _, port = self.frames.rpartition(":")
        is_port = port.isascii() and port.isdigit() and 0 < int(port[:6]) < 65536
        return bool(host) and is_port

    def as_bytes(self) -> bytes:
        """Return how the store keeps it."""
        return msgspec.json.encode(self)


def registration_of(name: str, value: bytes) -> Registration | None:
    """Return what is kept under a daemon's name, or None if it names none: others write, too."""
    try:
        found = _REGISTRATIONS.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    return found if found.has_address and found.name == name else None


_REGISTRATIONS = msgspec.json.Decoder(Registration)


def quarantined_call(suspect: Suspect, wall_ms: int) -> QuarantinedCall:
    """Return how the store keeps a call that is refused."""
    crashes = set(suspect["crashes"]) - set(suspect["refuted"])
    return QuarantinedCall(suspect["call"], tuple(sorted(crashes)), wall_ms - suspect["age_ms"])


def suspect_of(held: QuarantinedCall, wall_ms: int) -> Suspect:
    """Return what the store says of a call that is refused; a clock set back makes it new."""
    age_ms = max(0, wall_ms - held.at_ms)
    return {"call": held.call, "crashes": list(held.crashes), "refuted": [], "age_ms": age_ms}


class Connect(NamedTuple):
    """A peer listens here."""

    name: str
    frames: str


class Disconnect(NamedTuple):
    """A peer is gone, or its address is another's now."""

    name: str


class UpstreamChanged(NamedTuple):
    """The upstream of this peer is another one than before."""

    name: str


Action: TypeAlias = Connect | Disconnect | UpstreamChanged


class Peer:
    """Another daemon.

    `upstream` is None until it has told of it; `service` is the last that is known of. `earlier`
    says that an earlier life of it was known here, by more than others' word. `missing_since` is
    when a connection to it was wanted or fell; None while it stands or none is wanted. `telling` is
    the number of its last word.
    """

    __slots__ = (
        "data_centre",
        "earlier",
        "ended",
        "frames",
        "heard_at",
        "hearsay",
        "incarnation",
        "missing_since",
        "name",
        "service",
        "telling",
        "upstream",
    )

    def __init__(self, known: Registration, now: float, *, hearsay: bool = False) -> None:
        self.name = known.name
        self.incarnation = known.incarnation
        self.frames = known.frames
        self.data_centre = known.data_centre
        self.service = known.service
        self.hearsay = hearsay
        self.ended = EndedIncarnations(known.ended)
        self.upstream: Announced | None = None
        self.earlier = False
        self.telling = 0
        self.heard_at = now
        self.missing_since: float | None = None


class Registry:
    """All peers of a daemon; `now` is in seconds, monotonic.

    `keepers` are hosts that keep quotas: all are connected with these.
    """

    def __init__(self, name: str, data_centre: str) -> None:
        self.name = name
        self.data_centre = data_centre
        self.peers: dict[str, Peer] = {}
        self.neighbours = Neighbours(name, data_centre)
        self.quota_servers: frozenset[str] = frozenset()
        self._at: dict[str, str] = {}

    def add_records(
        self, now: float, records: Iterable[Registration], *, hearsay: bool = False
    ) -> list[Action]:
        """Take in records of the store; what a peer itself has told is not replaced.

        `hearsay` marks what other daemons have passed on: they need not know of lives that ended.
        """
        actions: list[Action] = []
        for record in records:
            if record.name == self.name:
                continue
            peer = self.peers.get(record.name)
            if peer is not None and peer.upstream is not None:
                continue
            if peer is not None and peer.frames == record.frames:
                self._serves(peer, record.service or peer.service)
                continue
            if self._has_told(record.frames):
                continue
            actions += self._place(now, Peer(record, now, hearsay=hearsay))
        return actions

    def add_relayed(self, now: float, rows: Iterable[Row]) -> list[Action]:
        """Take in what others know of daemons."""
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
        return self.add_records(now, records, hearsay=True)

    def update_member(self, now: float, member: Member) -> list[Action]:
        """Take in what a peer tells of itself on a connection of its own."""
        name = member["name"]
        if name == self.name:
            return []
        known = Registration(name, member["incarnation"], member["frames"], member["data_centre"])
        actions: list[Action] = []
        peer = self.peers.get(name)
        if peer is None or peer.frames != known.frames or peer.data_centre != known.data_centre:
            actions += self._place(now, Peer(known, now))
            peer = self.peers[name]
        if peer.incarnation != known.incarnation and not peer.hearsay:
            peer.earlier = True
        for life in incarnations_from_rows(member["ended"]):
            peer.ended.add(life)
        peer.heard_at = now
        if peer.incarnation == known.incarnation and member["telling"] < peer.telling:
            # Two connections join two daemons; what one brings late is older than what is known.
            return actions
        peer.telling = member["telling"]
        before = _identity(peer.upstream)
        peer.incarnation = known.incarnation
        peer.hearsay = False
        peer.upstream = member["upstream"]
        self._serves(peer, member["upstream"]["service"])
        if _identity(peer.upstream) != before:
            actions.append(UpstreamChanged(name))
        return actions

    def record_contact(self, now: float, name: str) -> None:
        """Take in a sign of life of a peer."""
        peer = self.peers.get(name)
        if peer is not None:
            peer.heard_at = now

    def set_connected(self, now: float, name: str, up: bool) -> None:
        """Take in that a connection to a peer stands, or is wanted and does not."""
        peer = self.peers.get(name)
        if peer is None:
            return
        if up:
            peer.missing_since = None
        elif peer.missing_since is None:
            peer.missing_since = now

    def stop_connecting(self, now: float, name: str) -> None:
        """Take in that no connection to a peer is wanted any more: nothing new is heard of it."""
        peer = self.peers.get(name)
        if peer is not None:
            peer.missing_since = None
            peer.upstream = None
            peer.heard_at = now

    def expire(self, now: float, connected: set[str]) -> list[Action]:
        """Forget peers to which a connection is wanted and could not be made for long."""
        actions: list[Action] = []
        for name, peer in list(self.peers.items()):
            if name in connected or peer.missing_since is None:
                peer.heard_at = now
                continue
            if now - peer.heard_at > SILENT_S:
                self._remove(peer)
                actions += [Disconnect(name), UpstreamChanged(name)]
        return actions

    def ended_incarnations(self, name: str) -> list[EndedLife] | None:
        """Return the ended lives of a peer's upstreams for its present life.

        None if no earlier life of it was known here.
        """
        peer = self.peers.get(name)
        return peer.ended.rows() if peer is not None and peer.earlier else None

    def rows(self) -> list[Row]:
        """Return what is known of every peer, to be passed on."""
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
        if own is not None and _stands(own):
            found[own["service"]] = [Tracked(self.name, self.data_centre, own["slots"])]
        for service in self.neighbours.services:
            near = self.neighbours.local(service, is_usable)
            for name in near + self.neighbours.remote(service, is_usable):
                peer = self.peers[name]
                if peer.upstream is None or not _stands(peer.upstream):
                    continue
                tracked = Tracked(name, peer.data_centre, peer.upstream["slots"])
                found.setdefault(service, []).append(tracked)
        return found

    # Steps

    def _is_usable(self, now: float, name: str) -> bool:
        """Return whether a peer may take calls now, or soon, as far as is known."""
        peer = self.peers[name]
        if peer.missing_since is not None and now - peer.missing_since > AWAY_S:
            return False
        upstream = peer.upstream
        if upstream is None or not upstream["instance"]:
            return True
        return upstream["state"] == "ready"

    def _has_told(self, frames: str) -> bool:
        """Return whether a peer has told that this address is its own: a record of it is older."""
        name = self._at.get(frames)
        return name is not None and self.peers[name].upstream is not None

    def _place(self, now: float, peer: Peer) -> list[Action]:
        actions: list[Action] = []
        holder = self._at.get(peer.frames)
        if holder is not None and holder != peer.name:
            self._remove(self.peers[holder])
            actions += [Disconnect(holder), UpstreamChanged(holder)]
        before = self.peers.get(peer.name)
        if before is not None:
            peer.ended = EndedIncarnations(
                (*before.ended.incarnations(), *peer.ended.incarnations())
            )
            is_other_life = before.incarnation != peer.incarnation and not before.hearsay
            peer.earlier = before.earlier or is_other_life
            peer.service = peer.service or before.service
            actions.append(UpstreamChanged(peer.name))
            self._remove(before)
        self.add(peer)
        actions.append(Connect(peer.name, peer.frames))
        return actions

    def add(self, peer: Peer) -> None:
        """Put a peer on the list; nobody else is at its address."""
        self.peers[peer.name] = peer
        self._at[peer.frames] = peer.name
        self.neighbours.add(peer.name, peer.data_centre, peer.service)

    def _remove(self, peer: Peer) -> None:
        del self.peers[peer.name]
        del self._at[peer.frames]
        self.neighbours.discard(peer.name, peer.data_centre, peer.service)

    def _serves(self, peer: Peer, service: str) -> None:
        if service == peer.service:
            return
        self.neighbours.discard(peer.name, peer.data_centre, peer.service)
        peer.service = service
        self.neighbours.add(peer.name, peer.data_centre, service)


def _identity(upstream: Announced | None) -> tuple[UpstreamIncarnation, str, int, bool] | None:
    if upstream is None:
        return None
    gone = upstream["state"] != "ready"
    return incarnation_of(upstream), upstream["service"], upstream["slots"], gone


def _stands(upstream: Announced) -> bool:
    return upstream["state"] != "gone" and bool(upstream["instance"])
