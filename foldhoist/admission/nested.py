"""Which routes are called by upstreams and not by outside callers; no I/O.

A call of an upstream is a part of another call: if it is refused, the work on the other one is
lost. Nothing in the call says so. But outside callers of a route are found beside upstreams of
every service, while calls of upstreams start beside those of one service only.
"""

from __future__ import annotations

MIN_CALLS = 15
"""Calls of a route before it is judged."""
HALVE_AFTER_CALLS = 200
"""Calls of a route after which older ones count half."""
SINGLE_CALLER_SHARE = 0.97
"""Share of a route's calls from one service from which on the route is nested."""


class RouteCallers:
    """At which services' hosts the calls of each route start, as one owner sees it.

    What a route is taken for is judged when a call of it is counted, so that asking costs nothing.
    """

    def __init__(self) -> None:
        self._by_route: dict[str, dict[str, float]] = {}
        self._single_caller: set[str] = set()
        self._many_callers: set[str] = set()

    def record(self, route: str, caller: str) -> None:
        """Count a call; `caller` is the service of the host where it started, empty if unsaid."""
        if not caller:
            return
        counts = self._by_route.setdefault(route, {})
        counts[caller] = counts.get(caller, 0.0) + 1.0
        total = sum(counts.values())
        if total > HALVE_AFTER_CALLS:
            counts = {name: count / 2 for name, count in counts.items()}
            self._by_route[route] = counts
            total /= 2
        self._classify(route, total, max(counts.values()))

    def is_nested(self, route: str) -> bool:
        """Return whether the calls of this route are parts of other calls, as far as is known."""
        return route in self._single_caller and bool(self._many_callers)

    def _classify(self, route: str, total: float, most: float) -> None:
        self._single_caller.discard(route)
        self._many_callers.discard(route)
        if total < MIN_CALLS:
            return
        judged = self._single_caller if most >= SINGLE_CALLER_SHARE * total else self._many_callers
        judged.add(route)
