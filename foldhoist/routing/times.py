"""Mean times and sizes of calls by route, and pace estimates of upstreams.

Routes of one service may take very different times, so latencies are scaled to the service's mean
before upstreams are compared.
"""

from __future__ import annotations

from math import exp

SMOOTHING = 0.05
"""Weight of the newest answer in the running means."""
MIN_RESULTS = 5
"""Answers of a route needed before its own mean is used instead of the service's."""
PACE_DECAY_S = 0.3
"""Time constant with which a reported pace decays towards the mean, seconds."""
USUAL_PACE = 100.0
"""Pace of an upstream at its usual speed, percent."""


class RouteTimes:
    """Running means of a service's answer times, in total and by route, and of body sizes."""

    __slots__ = ("_by_route", "_mean", "_results", "_sizes")

    def __init__(self) -> None:
        self._mean = 0.0
        self._results = 0
        self._by_route: dict[str, tuple[int, float]] = {}
        self._sizes: dict[str, float] = {}

    def update(self, route: str, latency_s: float, size: int = 0) -> None:
        """Add the time of an answer, seconds, and the size of both bodies, bytes."""
        self._results += 1
        self._mean = _updated_mean(self._mean, latency_s, self._results)
        results, mean = self._by_route.get(route, (0, 0.0))
        self._by_route[route] = (results + 1, _updated_mean(mean, latency_s, results + 1))
        self._sizes[route] = _updated_mean(self._sizes.get(route, 0.0), float(size), results + 1)

    def mean(self, route: str) -> float:
        """Return the mean time of a call of this route, seconds; 0 if nothing is known."""
        results, mean = self._by_route.get(route, (0, 0.0))
        return mean if results >= MIN_RESULTS else self._mean

    def size(self, route: str) -> float:
        """Return the mean size of both bodies of such a call, bytes; 0 if nothing is known."""
        return self._sizes.get(route, 0.0)

    def scale(self, route: str) -> float:
        """Return the factor that scales a time of this route to the service's mean."""
        results, mean = self._by_route.get(route, (0, 0.0))
        if results < MIN_RESULTS or mean <= 0.0:
            return 1.0
        return self._mean / mean


class PaceEstimates:
    """The mean pace that the upstreams of a service report, and the effect of one report."""

    __slots__ = ("_mean", "_results")

    def __init__(self) -> None:
        self._mean = USUAL_PACE
        self._results = 0

    def update(self, pace: int) -> None:
        """Add the pace that came with an answer, percent."""
        self._results += 1
        self._mean = _updated_mean(self._mean, float(pace), self._results)

    def factor(self, pace: int, age_s: float) -> float:
        """Return the expected service time relative to the mean; 1 if `pace` is 0, unknown.

        `age_s` is the age of the report, less the time for which it does not decay.
        """
        if not pace:
            return 1.0
        return 1.0 + (pace / self._mean - 1.0) * exp(-max(0.0, age_s) / PACE_DECAY_S)


def _updated_mean(mean: float, value: float, results: int) -> float:
    return mean + max(SMOOTHING, 1.0 / results) * (value - mean)
