"""The limit on repeated arrivals at a service within any window of time."""

from __future__ import annotations

from bisect import bisect_left
from typing import NamedTuple


class Allowance(NamedTuple):
    """Allows `ratio` times the requests, plus `slack`, within a window of `window_s` seconds."""

    ratio: float = 0.2
    slack: float = 58.0
    window_s: float = 10.0

    def most_over(self, repeated: list[float], requested: list[float]) -> float:
        """Return the largest excess of repeated arrivals over the limit in any window.

        Both lists hold sorted times in seconds. The limit counts the requests of the same window,
        of the one that starts half a window earlier or of the one that starts a whole window
        earlier, whichever has the most. The result is at least -`slack`.
        """
        worst = -self.slack
        for begin in repeated:
            starts = (begin, begin - self.window_s / 2, begin - self.window_s)
            requests = max(self._between(requested, start) for start in starts)
            arrivals = self._between(repeated, begin)
            worst = max(worst, arrivals - self.ratio * requests - self.slack)
        return worst

    def _between(self, times: list[float], begin: float) -> int:
        return bisect_left(times, begin + self.window_s) - bisect_left(times, begin)
