"""Delays a restarted daemon's calls until the departures it acknowledged are known; no I/O.

An earlier incarnation of the daemon may have acknowledged that its upstream leaves. The store or a
peer has recorded that, but not always both, so both are consulted first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet


class StartupBarrier:
    """Tracks the answers that a restarted daemon waits for; a first incarnation waits for none."""

    def __init__(self, first: bool) -> None:
        self._released = first
        self._peers: AbstractSet[str] | None = None
        self._has_history = False
        self._answered: set[str] = set()
        self._wait_elapsed = False

    @property
    def done(self) -> bool:
        """Return whether calls may go to the upstream.

        This is so once the store has answered and one of these holds: a peer knew an earlier
        incarnation, every peer that the store names has answered, or the wait for peers is over. A
        first incarnation and one that has given up wait for nothing.
        """
        if self._released:
            return True
        if self._peers is None:
            return False
        return self._has_history or self._wait_elapsed or self._peers <= self._answered

    def store_answered(self, peers: AbstractSet[str]) -> None:
        """Record that the store has answered, and the peers that it names."""
        self._peers = peers

    def peer_remembered(self) -> None:
        """Record an answer of a peer that knew an earlier incarnation of this daemon."""
        self._has_history = True

    def peer_answered(self, name: str) -> None:
        """Record that a peer has answered, whether it knew an earlier incarnation or not."""
        self._answered.add(name)

    def wait_elapsed(self) -> None:
        """Record that every reachable peer has had time to answer."""
        self._wait_elapsed = True

    def give_up(self) -> None:
        """Stop waiting; calls may go to the upstream."""
        self._released = True
