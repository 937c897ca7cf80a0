"""Detects routes that are called by upstreams and not by outside callers; no I/O.

A nested call, which an upstream makes while it serves another call, is not marked as such. If it is
refused, the work of the other call is lost. Outside callers use a route from the hosts of many
services, while nested calls to a route come from the hosts of one service only.
"""

from __future__ import annotations

MIN_CALLS = 15
"""Calls of a route that are needed to classify it."""
HALVE_AFTER_CALLS = 200
"""All counts of a route are halved when their sum exceeds this."""
SINGLE_CALLER_SHARE = 0.97
"""Share of the calls from one service from which on a route has a single caller."""


class RouteCallers:
    """From which services the calls of each route come, as seen by one owner.

    A route is classified when a call of it is recorded, so that look-ups are cheap.
    """

    def __init__(self) -> None:
        self._by_route: dict[str, dict[str, float]] = {}
        self._single_caller: set[str] = set()
        self._many_callers: set[str] = set()

    def record(self, route: str, caller: str) -> None:
        """Count a call; `caller` is the service of the host where it started, empty if unknown."""
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
        """Return whether the calls of this route are parts of other calls.

        That is assumed if one service makes nearly all of them and another route has many callers.
        """
        return route in self._single_caller and bool(self._many_callers)

    def _classify(self, route: str, total: float, most: float) -> None:
        self._single_caller.discard(route)
        self._many_callers.discard(route)
        if total < MIN_CALLS:
            return
        routes = self._single_caller if most >= SINGLE_CALLER_SHARE * total else self._many_callers
        routes.add(route)
