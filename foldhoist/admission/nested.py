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
    """At which services' hosts the calls of each route start, as one owner sees it.

    What a route is taken for is judged when a call of it is counted, so that asking costs nothing.
    """

    def __init__(self) -> None:
        self._by_route: dict[str, dict[str, float]] = {}
        self._from_one: set[str] = set()
        self._from_many: set[str] = set()

    def learn(self, route: str, caller: str) -> None:
        """Count a call; `caller` is the service of the host where it started, empty if unsaid."""
        if not caller:
            return
        counts = self._by_route.setdefault(route, {})
        counts[caller] = counts.get(caller, 0.0) + 1.0
        total = sum(counts.values())
        if total > KEPT_CALLS:
            counts = {name: count / 2 for name, count in counts.items()}
            self._by_route[route] = counts
            total /= 2
        self._judge(route, total, max(counts.values()))

    def is_nested(self, route: str) -> bool:
        """Return whether the calls of this route are parts of other calls, as far as is known."""
        return route in self._from_one and bool(self._from_many)

    def _judge(self, route: str, total: float, most: float) -> None:
        self._from_one.discard(route)
        self._from_many.discard(route)
        if total < LEAST_CALLS:
            return
        judged = self._from_one if most >= ONE_SERVICE * total else self._from_many
        judged.add(route)
