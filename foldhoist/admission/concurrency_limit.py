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
"""Share of the slots up to which every upstream is taken to keep its speed."""
MIN_BASELINE = 8
"""Answers of a route outside a crowd before one in a crowd is held against them."""
MAX_BASELINE = 60
"""Answers of a route outside a crowd that are kept."""
LOADED_SAMPLES = 20
"""Answers in a crowd that are judged together: fewer would often seem slow by chance."""
COMPARED_QUANTILE = 0.3
"""Times are compared at this share of them, from the quickest on.

Slow spells of a neighbour and waits for nested calls make the others long, in a crowd or not.
"""
MAX_SLOWDOWN = 1.3
"""An upstream does not keep its speed if calls in a crowd take this many times as long."""
FIRST_REDUCTION_S = 30.0
"""For so long its last slots are left empty then, seconds; twice as long each time."""
MAX_REDUCTION_S = 600.0
"""Longest such time, seconds."""


class ConcurrencyLimit:
    """The slots of one upstream that are worth using; `now` is in seconds, monotonic."""

    def __init__(self) -> None:
        self.slots = 1
        self.safe_slots = 1
        self._baseline: dict[str, deque[float]] = {}
        self._loaded: list[float] = []
        self._reduced_until = float("-inf")
        self._reduction_s = FIRST_REDUCTION_S

    def set_slots(self, slots: int) -> None:
        """Take over the slots that the upstream has."""
        if slots == self.slots:
            return
        self.slots = slots
        self.safe_slots = max(1, int(slots * SAFE_SHARE))
        self._baseline.clear()
        self._loaded.clear()

    def current(self, now: float) -> int:
        """Return the slots to use."""
        return self.safe_slots if now < self._reduced_until else self.slots

    def record_answer(self, now: float, route: str, concurrent: int, served_s: float) -> None:
        """Take in the time of an answer to a call that started as one of `concurrent`."""
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
        slower = _quantile(self._loaded)
        self._loaded.clear()
        if slower <= MAX_SLOWDOWN:
            return
        self._reduced_until = now + self._reduction_s
        self._reduction_s = min(MAX_REDUCTION_S, 2 * self._reduction_s)


def _quantile(times: Collection[float]) -> float:
    return sorted(times)[int(COMPARED_QUANTILE * len(times))]
