"""Learns how many calls an upstream runs at full speed; no I/O, no clock.

Some upstreams slow down when nearly all their slots are in use, others don't, and they don't say
which. Service times of calls started under high concurrency are compared with those of calls
started under low concurrency; if they are clearly longer, the last slots stay unused for a while.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

SAFE_SHARE = 0.8
"""Share of the slots up to which every upstream is assumed to run at full speed."""
MIN_BASELINE = 8
"""Baseline times of a route that are needed before others are compared with them."""
MAX_BASELINE = 60
"""Baseline times that are kept for a route."""
LOADED_SAMPLES = 20
"""Answers under high concurrency that are evaluated together; fewer often seem slow by chance."""
COMPARED_QUANTILE = 0.3
"""Quantile at which service times are compared.

Slow periods of a neighbour and waits for nested calls dominate the higher ones, under load or not.
"""
MAX_SLOWDOWN = 1.3
"""Ratio of service times under high concurrency to the baseline that reduces the limit."""
FIRST_REDUCTION_S = 30.0
"""Length of the first reduction, seconds; each further one is twice as long, up to the maximum."""
MAX_REDUCTION_S = 600.0
"""Longest reduction, seconds."""


class ConcurrencyLimit:
    """How many slots of one upstream to use; `now` is in seconds, monotonic."""

    def __init__(self) -> None:
        self.slots = 1
        self.safe_slots = 1
        self._baseline: dict[str, deque[float]] = {}
        self._loaded: list[float] = []
        self._reduced_until = float("-inf")
        self._reduction_s = FIRST_REDUCTION_S

    def set_slots(self, slots: int) -> None:
        """Set the number of slots that the upstream has; a new number discards all samples."""
        if slots == self.slots:
            return
        self.slots = slots
        self.safe_slots = max(1, int(slots * SAFE_SHARE))
        self._baseline.clear()
        self._loaded.clear()

    def current(self, now: float) -> int:
        """Return the number of slots to use."""
        return self.safe_slots if now < self._reduced_until else self.slots

    def record_answer(self, now: float, route: str, concurrent: int, served_s: float) -> None:
        """Record the service time, seconds, of a call that was answered.

        `concurrent` is the number of calls that ran when it started, itself included.
        """
        if self.safe_slots == self.slots or served_s <= 0.0:
            return
        baseline = self._baseline.setdefault(route, deque(maxlen=MAX_BASELINE))
        if concurrent <= self.safe_slots:
            baseline.append(served_s)
            return
        if len(baseline) < MIN_BASELINE:
            return
        self._loaded.append(served_s / _quantile(baseline))
        if len(self._loaded) >= LOADED_SAMPLES:
            self._evaluate(now)

    def _evaluate(self, now: float) -> None:
        slowdown = _quantile(self._loaded)
        self._loaded.clear()
        if slowdown <= MAX_SLOWDOWN:
            return
        self._reduced_until = now + self._reduction_s
        self._reduction_s = min(MAX_REDUCTION_S, 2 * self._reduction_s)


def _quantile(times: Collection[float]) -> float:
    return sorted(times)[int(COMPARED_QUANTILE * len(times))]
