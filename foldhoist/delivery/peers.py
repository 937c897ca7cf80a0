"""Ingresses connected to an owner, and the results kept for them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, cast

from foldhoist.delivery.dispatch import Peer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foldhoist.delivery.dispatch import Frame
    from foldhoist.schema.messages import Answer, Hello

MAX_KEPT_RESULTS = 512
"""Results kept for one ingress until it acknowledges them."""
MAX_KEPT_BYTES = 4 * 1024 * 1024
"""Bytes of results kept for one ingress."""
MAX_KEPT_TOTAL_BYTES = 32 * 1024 * 1024
"""Bytes of results kept for all ingresses, shared equally."""
PEER_EXPIRY_S = 600.0
"""An ingress without connection and calls is forgotten after this time, seconds."""
ORPHAN_GRACE_S = 1.0
"""Waiting calls of an ingress are dropped this long after its connection was lost, seconds."""
RESULT_OVERHEAD_BYTES = 100
"""Bytes counted for a kept result in addition to its body."""


class Handshake(NamedTuple):
    """Whether a connection is accepted, and the older connection that it replaces."""

    accepted: bool
    replaced_link: int | None


class Peers:
    """Ingresses by incarnation and by connection; times are monotonic seconds."""

    def __init__(self) -> None:
        self._by_incarnation: dict[str, Peer] = {}
        self._by_link: dict[int, Peer] = {}

    def __getitem__(self, incarnation: str) -> Peer:
        """Return the ingress with this incarnation."""
        return self._by_incarnation[incarnation]

    def get(self, incarnation: str) -> Peer | None:
        """Return the ingress with this incarnation, or None."""
        return self._by_incarnation.get(incarnation)

    def values(self) -> Iterable[Peer]:
        """Return every ingress."""
        return self._by_incarnation.values()

    def at(self, link: int) -> Peer | None:
        """Return the ingress of a connection; None before its Hello and once replaced or lost."""
        return self._by_link.get(link)

    def links(self) -> list[int]:
        """Return the open connections."""
        return list(self._by_link)

    def recently_used(self, since: float, limit: int) -> list[int]:
        """Return up to `limit` connections used for calls since `since`, most recent first."""
        links = [link for link, peer in self._by_link.items() if peer.used_at >= since]
        links.sort(key=lambda link: self._by_link[link].used_at, reverse=True)
        return links[:limit]

    def connected(self, link: int, hello: Hello) -> Handshake:
        """Register a connection; one whose epoch is not above the last is not accepted."""
        peer = self._by_incarnation.get(hello["incarnation"])
        if peer is None:
            peer = Peer(hello["name"], hello["incarnation"], hello["epoch"], link)
            self._by_incarnation[hello["incarnation"]] = peer
            self._by_link[link] = peer
            return Handshake(True, None)
        if hello["epoch"] <= peer.epoch:
            return Handshake(False, None)
        ended = peer.link
        if ended is not None:
            self._by_link.pop(ended, None)
        peer.epoch = hello["epoch"]
        peer.link = link
        self._by_link[link] = peer
        return Handshake(True, ended)

    def disconnected(self, now: float, link: int) -> None:
        """Mark a connection as lost; its ingress may reconnect."""
        peer = self._by_link.pop(link, None)
        if peer is None:
            return
        peer.link = None
        peer.lost_at = now

    def orphaned(self, now: float) -> list[Peer]:
        """Return the ingresses whose connection was lost longer ago than the grace time."""
        return [peer for peer in self._without_link() if now - peer.lost_at > ORPHAN_GRACE_S]

    def forget_old(self, now: float) -> None:
        """Forget the ingresses that have been disconnected for long and have no calls."""
        for peer in self._without_link():
            if now - peer.lost_at > PEER_EXPIRY_S and not peer.live:
                del self._by_incarnation[peer.incarnation]

    def _without_link(self) -> list[Peer]:
        return [
            peer for peer in self._by_incarnation.values() if peer.link is None and peer.incarnation
        ]

    def keep(self, peer: Peer, seq: int, frame: Frame) -> None:
        """Keep a result until it is acknowledged; the oldest ones beyond the limits are dropped."""
        peer.kept[seq] = frame
        peer.kept_bytes += _size(frame)
        limit = min(MAX_KEPT_BYTES, MAX_KEPT_TOTAL_BYTES // len(self._by_incarnation))
        while len(peer.kept) > MAX_KEPT_RESULTS or peer.kept_bytes > limit:
            old, dropped = peer.kept.popitem(last=False)
            peer.kept_bytes -= _size(dropped)
            peer.last_forgotten_seq = max(peer.last_forgotten_seq, old)


def drop_acked(peer: Peer, acked: int) -> None:
    """Drop results that the ingress has: the oldest ones, up to the first not below `acked`."""
    while peer.kept:
        seq = next(iter(peer.kept))
        if seq >= acked:
            return
        peer.kept_bytes -= _size(peer.kept.pop(seq))


def fate_without_result(peer: Peer, seq: int) -> tuple[str, str]:
    """Return whether a call without a kept result ran ("no" or "maybe"), and the reason."""
    if seq <= peer.last_forgotten_seq:
        return "maybe", "result-forgotten"
    return "no", "never-arrived"


def _size(frame: Frame) -> int:
    if frame.kind != "Answer":
        return RESULT_OVERHEAD_BYTES
    return RESULT_OVERHEAD_BYTES + len(cast("Answer", frame.body)["body"])
