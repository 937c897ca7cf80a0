"""Calls that wait for the answer of another call with the same idempotency key."""

from __future__ import annotations


class JoinedCalls:
    """Waiting calls by key; each is named by its ingress's incarnation and its own number there."""

    def __init__(self) -> None:
        self._by_key: dict[str, list[tuple[str, int]]] = {}

    def add(self, key: str, incarnation: str, seq: int) -> None:
        """Let a call wait for the one that runs with its key."""
        self._by_key.setdefault(key, []).append((incarnation, seq))

    def take(self, key: str) -> list[tuple[str, int]]:
        """Return the calls that waited for this key; they wait no longer."""
        return self._by_key.pop(key, [])

    def holds(self, incarnation: str, seq: int) -> bool:
        """Return whether this call waits."""
        return any((incarnation, seq) in waiting for waiting in self._by_key.values())
