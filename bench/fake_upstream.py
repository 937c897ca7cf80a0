"""A simulated upstream with random service times, slowdowns and failures."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from bench.deployments import Slowdown


class FakeUpstream:
    """Draws service times; slowdowns must be in order of time."""

    def __init__(self, service_s: float, rng: random.Random) -> None:
        self.service_s = service_s
        self.rng = rng
        self.slowdowns: list[Slowdown] = []
        self.failing: list[tuple[float, float]] = []
        self.runs = 0

    def fails(self, now: float) -> bool:
        """Return whether calls that start now fail."""
        return any(begin <= now < end for begin, end in self.failing)

    def factor(self, now: float) -> float:
        """Return the slowdown factor now, 1.0 for full speed."""
        at = bisect_right([each.begin for each in self.slowdowns], now) - 1
        if at < 0 or now >= self.slowdowns[at].end:
            return 1.0
        return self.slowdowns[at].factor

    def duration(self, now: float) -> float:
        """Return the duration of a call that starts now, with all slowdowns during it."""
        self.runs += 1
        if self.fails(now):
            return 0.0005
        work = self.service_s * (0.5 + 0.5 * self.rng.expovariate(1.0))
        begin = now
        for slow in self.slowdowns:
            if slow.end <= now:
                continue
            free = max(0.0, slow.begin - now)
            if work <= free:
                break
            now, work = max(now, slow.begin), work - free
            done = (slow.end - now) / slow.factor
            if work <= done:
                return now + work * slow.factor - begin
            now, work = slow.end, work - done
        return now + work - begin
