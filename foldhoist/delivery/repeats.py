"""Estimates the share of repeats among an upstream's recent calls; no I/O, no clock."""

from __future__ import annotations

from foldhoist.admission.decaying_ratio import DecayingRatio

DECAY_S = 1.0
"""Time after which a call's weight has decayed to 1/e, seconds.

Short, because an upstream makes its own calls soon after it was called.
"""


class StartedRepeats:
    """The decaying share of repeats among the calls that were started at an upstream.

    Counts calls when they start, not while they run: a repeat often ends early, since one of two
    attempts is withdrawn, but may have made its own calls by then.
    """

    def __init__(self) -> None:
        self._started = DecayingRatio(0.0, DECAY_S)

    def started(self, now: float, repeat: float) -> None:
        """Count a started call; `repeat` is the probability that it is a repeat, 0 to 1."""
        self._started.count(now, repeat)

    @property
    def share(self) -> float:
        """Return the share of repeats, 0 to 1."""
        return self._started.ratio
