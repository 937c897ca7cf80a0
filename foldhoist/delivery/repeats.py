"""Which share of the calls that an upstream got lately were repeats; no I/O, no clock."""

from __future__ import annotations

from foldhoist.admission.fading import FadingShare

DECAY_S = 1.0
"""A call counts by 1/e after this long, seconds: about ten times a call's work.

An upstream makes its calls soon after it was called itself.
"""


class StartedRepeats:
    """Calls that went to an upstream, and how many of them were repeats; older ones count less.

    Counted are calls that begin, not those at work: a repeat often ends early, since one of two
    attempts is given up, but has made its own calls by then.
    """

    def __init__(self) -> None:
        self._started = FadingShare(0.0, DECAY_S)

    def started(self, now: float, repeat: float) -> None:
        """Count a call that went to the upstream; `repeat` is how likely it is one, 0 to 1."""
        self._started.count(now, repeat)

    @property
    def share(self) -> float:
        """Return the share of repeats, 0 to 1."""
        return self._started.share
