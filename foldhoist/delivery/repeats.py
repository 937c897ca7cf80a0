"""Which share of the calls that an upstream got lately were repeats; no I/O, no clock."""

from __future__ import annotations

from math import exp

KEPT_S = 1.0
"""A call counts by 1/e after this long, seconds: about ten times a call's work.

An upstream makes its calls soon after it was called itself.
"""


class StartedRepeats:
    """Calls that went to an upstream, and how many of them were repeats; older ones count less.

    Counted are calls that begin, not those at work: a repeat often ends early, since one of two
    attempts is given up, but has made its own calls by then.
    """

    def __init__(self) -> None:
        self._all = 0.0
        self._repeats = 0.0
        self._at = 0.0

    def started(self, now: float, repeat: float) -> None:
        """Count a call that went to the upstream; `repeat` is how likely it is one, 0 to 1."""
        kept = exp(-max(0.0, now - self._at) / KEPT_S)
        self._at = now
        self._all = self._all * kept + 1.0
        self._repeats = self._repeats * kept + repeat

    @property
    def share(self) -> float:
        """Return the share of repeats, 0 to 1."""
        return self._repeats / self._all if self._all else 0.0
