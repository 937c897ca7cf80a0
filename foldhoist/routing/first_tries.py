"""How long ago callers first asked, for calls that were refused and came back; no I/O.

Nothing in a call says that it came back. But where callers give each first try the same time, and a
later one what is left of it, the time tells: what is missing has passed since the first try.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container

KEPT_VALUES = 8
"""Different times of a route that are counted at once: enough for what a third of calls give."""
USUAL_SHARE = 0.2
"""Share of a route's calls with exactly the same time from which on first tries have that time.

Callers that come back once are half of the calls if every first try is refused, and counting only
some values (Misra and Gries, "Finding repeated elements", 1982) may miss up to a ninth.
"""
LEAST_CALLS = 20
"""Calls of a route before its times are judged."""
KEPT_CALLS = 400
"""Calls of a route after which older ones count half."""


class _Times:
    """The times that calls of one route gave, milliseconds, and how often, about."""

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._calls = 0.0

    def add(self, time_ms: int) -> None:
        self._calls += 1.0
        if time_ms in self._counts or len(self._counts) < KEPT_VALUES:
            self._counts[time_ms] = self._counts.get(time_ms, 0.0) + 1.0
        else:
            self._scale(1.0, less=1.0)
        if self._calls > KEPT_CALLS:
            self._calls /= 2.0
            self._scale(0.5, less=0.0)

    def usual(self) -> int:
        """Return the time that first tries have, 0 if that can't be told."""
        if self._calls < LEAST_CALLS or not self._counts:
            return 0
        time_ms = max(self._counts, key=self._counts.__getitem__)
        return time_ms if self._counts[time_ms] >= USUAL_SHARE * self._calls else 0

    def _scale(self, factor: float, less: float) -> None:
        scaled = {value: count * factor - less for value, count in self._counts.items()}
        self._counts = {value: count for value, count in scaled.items() if count > 0.0}


class FirstTries:
    """The time that callers of each route give their first tries."""

    def __init__(self) -> None:
        self._by_route: dict[str, _Times] = {}

    def keep(self, routes: Container[str]) -> None:
        """Forget the routes that are not among these."""
        self._by_route = {name: each for name, each in self._by_route.items() if name in routes}

    def passed_s(self, route: str, budget_s: float) -> float:
        """Count a call and return how long ago its caller first asked, seconds; 0 if unknown.

        `budget_s` is the time that the caller gives, 0 if it gives none.
        """
        if budget_s <= 0.0:
            return 0.0
        times = self._by_route.setdefault(route, _Times())
        budget_ms = round(budget_s * 1000)
        times.add(budget_ms)
        return max(0, times.usual() - budget_ms) / 1000
