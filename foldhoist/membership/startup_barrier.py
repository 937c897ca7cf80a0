"""When a daemon's new life has heard enough of its earlier ones to serve its upstream; no I/O.

An earlier life may have acknowledged that the upstream leaves. The store or a peer has noted that,
not always both: so both are heard before any call goes to the upstream.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet


class StartupBarrier:
    """What a new life has heard; the first life of a daemon has nothing to hear."""

    def __init__(self, first: bool) -> None:
        self._over = first
        self._peers: AbstractSet[str] | None = None
        self._remembered = False
        self._answered: set[str] = set()
        self._waited = False

    @property
    def done(self) -> bool:
        """Return whether the upstream may be served."""
        if self._over:
            return True
        if self._peers is None:
            return False
        return self._remembered or self._waited or self._peers <= self._answered

    def store_answered(self, peers: AbstractSet[str]) -> None:
        """Take in that the store told of this daemon, and which peers it names."""
        self._peers = peers

    def peer_remembered(self) -> None:
        """Take in that a peer which knew an earlier life told what it knew."""
        self._remembered = True

    def peer_answered(self, name: str) -> None:
        """Take in that a peer has answered, whether it knew an earlier life or not."""
        self._answered.add(name)

    def wait_elapsed(self) -> None:
        """Take in that every peer that can be reached had time to answer."""
        self._waited = True

    def give_up(self) -> None:
        """Wait no longer."""
        self._over = True
