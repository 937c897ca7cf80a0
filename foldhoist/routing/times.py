"""How long calls of each route take beside those of the whole service, and how large they are.

Routes of one service may differ several times over; what is measured of an upstream is brought to
one scale before upstreams are compared.
"""

from __future__ import annotations

from math import exp

SMOOTHING = 0.05
"""Weight of the newest answer in the running means."""
MIN_RESULTS = 5
"""Answers of a route before it is told apart from the service."""
PACE_DECAY_S = 0.3
"""What an upstream said of its pace counts by 1/e after this long, seconds."""
USUAL_PACE = 100.0
"""Pace of an upstream that works as usual, percent."""


class RouteTimes:
    """Mean times of a service's answers, all together and by route, seconds."""

    __slots__ = ("_by_route", "_mean", "_results", "_sizes")

    def __init__(self) -> None:
        self._mean = 0.0
        self._results = 0
        self._by_route: dict[str, tuple[int, float]] = {}
        self._sizes: dict[str, float] = {}

    def update(self, route: str, latency_s: float, size: int = 0) -> None:
        """Take in the time of an answer, and the bytes of both bodies."""
        self._results += 1
        self._mean = _updated_mean(self._mean, latency_s, self._results)
        results, mean = self._by_route.get(route, (0, 0.0))
        self._by_route[route] = (results + 1, _updated_mean(mean, latency_s, results + 1))
        self._sizes[route] = _updated_mean(self._sizes.get(route, 0.0), float(size), results + 1)

    def mean(self, route: str) -> float:
        """Return how long a call of this route takes, seconds; 0 if nothing is known."""
        results, mean = self._by_route.get(route, (0, 0.0))
        return mean if results >= MIN_RESULTS else self._mean

    def size(self, route: str) -> float:
        """Return the bytes of both bodies of such a call, 0 if nothing is known."""
        return self._sizes.get(route, 0.0)

    def scale(self, route: str) -> float:
        """Return what brings a time of this route to the scale of the service."""
        results, mean = self._by_route.get(route, (0, 0.0))
        if results < MIN_RESULTS or mean <= 0.0:
            return 1.0
        return self._mean / mean


class PaceEstimates:
    """What upstreams of a service say of their pace, and how far an old word still holds."""

    __slots__ = ("_mean", "_results")

    def __init__(self) -> None:
        self._mean = USUAL_PACE
        self._results = 0

    def update(self, pace: int) -> None:
        """Take in the pace that came with an answer, percent."""
        self._results += 1
        self._mean = _updated_mean(self._mean, float(pace), self._results)

    def factor(self, pace: int, age_s: float) -> float:
        """Return how much longer than on average a call takes now at this upstream.

        `age_s` is how old the word is, less the time for which it holds.
        """
        if not pace:
            return 1.0
        return 1.0 + (pace / self._mean - 1.0) * exp(-max(0.0, age_s) / PACE_DECAY_S)


def _updated_mean(mean: float, value: float, results: int) -> float:
    return mean + max(SMOOTHING, 1.0 / results) * (value - mean)
