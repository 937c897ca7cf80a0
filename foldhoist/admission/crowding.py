"""Whether an upstream still keeps its speed when all its slots are taken; no I/O, no clock.

Some upstreams work more slowly when they are close to full, and then the last slots are worth
nothing; others don't, and leaving slots empty there is room thrown away while calls wait. Nothing
tells which they are, but answers do: those of calls that started beside many others, held against
those of calls that did not.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

STEADY_SHARE = 0.8
"""Share of the slots up to which every upstream is taken to keep its speed."""
LEAST_CALM = 8
"""Answers of a route outside a crowd before one in a crowd is held against them."""
KEPT_CALM = 60
"""Answers of a route outside a crowd that are kept."""
JUDGED = 20
"""Answers in a crowd that are judged together: fewer would often seem slow by chance."""
QUICK_SHARE = 0.3
"""Times are compared at this share of them, from the quickest on.

Slow spells of a neighbour and waits for nested calls make the others long, in a crowd or not.
"""
SLOWER = 1.3
"""An upstream does not keep its speed if calls in a crowd take this many times as long."""
CLOSED_FIRST_S = 30.0
"""For so long its last slots are left empty then, seconds; twice as long each time."""
CLOSED_LONGEST_S = 600.0
"""Longest such time, seconds."""


class Crowding:
    """The slots of one upstream that are worth using; `now` is in seconds, monotonic."""

    def __init__(self) -> None:
        self.slots = 1
        self.steady = 1
        self._calm: dict[str, deque[float]] = {}
        self._crowded: list[float] = []
        self._closed_until = float("-inf")
        self._closed_s = CLOSED_FIRST_S

    def announced(self, slots: int) -> None:
        """Take over the slots that the upstream has."""
        if slots == self.slots:
            return
        self.slots = slots
        self.steady = max(1, int(slots * STEADY_SHARE))
        self._calm.clear()
        self._crowded.clear()

    def room(self, now: float) -> int:
        """Return the slots to use."""
        return self.steady if now < self._closed_until else self.slots

    def answered(self, now: float, route: str, beside: int, served_s: float) -> None:
        """Take in the time of an answer to a call that started as one of `beside`."""
        if self.steady == self.slots or served_s <= 0.0:
            return
        calm = self._calm.setdefault(route, deque(maxlen=KEPT_CALM))
        if beside <= self.steady:
            calm.append(served_s)
            return
        if len(calm) < LEAST_CALM:
            return
        self._crowded.append(served_s / _quick(calm))
        if len(self._crowded) >= JUDGED:
            self._judge(now)

    def _judge(self, now: float) -> None:
        slower = _quick(self._crowded)
        self._crowded.clear()
        if slower <= SLOWER:
            return
        self._closed_until = now + self._closed_s
        self._closed_s = min(CLOSED_LONGEST_S, 2 * self._closed_s)


def _quick(times: Collection[float]) -> float:
    return sorted(times)[int(QUICK_SHARE * len(times))]
