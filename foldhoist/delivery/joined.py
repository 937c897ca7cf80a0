"""Calls that wait for the answer of another call with the same idempotency key."""

from __future__ import annotations


class JoinedCalls:
    """Joined calls by key, each as the incarnation of its ingress and its sequence number."""

    def __init__(self) -> None:
        self._by_key: dict[str, list[tuple[str, int]]] = {}

    def add(self, key: str, incarnation: str, seq: int) -> None:
        """Make a call wait for the running call with the same key."""
        self._by_key.setdefault(key, []).append((incarnation, seq))

    def take(self, key: str) -> list[tuple[str, int]]:
        """Remove and return the calls that wait for this key."""
        return self._by_key.pop(key, [])

    def holds(self, incarnation: str, seq: int) -> bool:
        """Return whether this call waits for another one."""
        return any((incarnation, seq) in waiting for waiting in self._by_key.values())
