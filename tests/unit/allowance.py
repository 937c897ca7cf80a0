"""The further arrivals that the users allow a service in any window, as they count them."""

from __future__ import annotations

from bisect import bisect_left
from typing import NamedTuple


class Allowance(NamedTuple):
    """A share of the requests, and some beside it; the window is in seconds."""

    ratio: float = 0.2
    slack: float = 58.0
    window_s: float = 10.0

    def most_over(self, further: list[float], asked: list[float]) -> float:
        """Return by how many the further arrivals of the worst window exceed what is allowed.

        Both lists hold moments in order, seconds. The requests are those of that window, of the one
        before it, or of the one half a window before it, whichever holds most. The result is
        -`slack` at least.
        """
        worst = -self.slack
        for begin in further:
            starts = (begin, begin - self.window_s / 2, begin - self.window_s)
            requests = max(self._between(asked, start) for start in starts)
            arrivals = self._between(further, begin)
            worst = max(worst, arrivals - self.ratio * requests - self.slack)
        return worst

    def _between(self, moments: list[float], begin: float) -> int:
        return bisect_left(moments, begin + self.window_s) - bisect_left(moments, begin)
