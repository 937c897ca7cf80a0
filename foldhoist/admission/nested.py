"""Which routes are called by upstreams and not by outside callers; no I/O.

A call of an upstream is a part of another call: if it is refused, the work on the other one is
lost. Nothing in the call says so. But outside callers of a route are found beside upstreams of
every service, while calls of upstreams start beside those of one service only.
"""

from __future__ import annotations

LEAST_CALLS = 15
"""Calls of a route before it is judged."""
KEPT_CALLS = 200
"""Calls of a route after which older ones count half."""
ONE_SERVICE = 0.97
"""Share of a route's calls from one service from which on the route is nested."""


class CallersOfRoutes:
    """At which services' hosts the calls of each route start, as one owner sees it."""

    def __init__(self) -> None:
        self._by_route: dict[str, dict[str, float]] = {}

    def learn(self, route: str, caller: str) -> None:
        """Count a call; `caller` is the service of the host where it started, empty if unsaid."""
        if not caller:
            return
        counts = self._by_route.setdefault(route, {})
        counts[caller] = counts.get(caller, 0.0) + 1.0
        if sum(counts.values()) > KEPT_CALLS:
            self._by_route[route] = {name: count / 2 for name, count in counts.items()}

    def is_nested(self, route: str) -> bool:
        """Return whether the calls of this route are parts of other calls, as far as is known."""
        if not self._is_from_one(route):
            return False
        return any(self._is_from_many(other) for other in self._by_route)

    def _is_from_one(self, route: str) -> bool:
        counts = self._by_route.get(route, {})
        total = sum(counts.values())
        return total >= LEAST_CALLS and max(counts.values()) >= ONE_SERVICE * total

    def _is_from_many(self, route: str) -> bool:
        counts = self._by_route[route]
        total = sum(counts.values())
        return total >= LEAST_CALLS and max(counts.values()) < ONE_SERVICE * total
