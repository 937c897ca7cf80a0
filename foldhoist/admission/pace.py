"""Whether a call is done sooner if it waits for its upstream to be fast again; no I/O, no clock.

How long work takes is settled when it starts: a call that starts while the upstream's neighbours
are busy keeps its slot several times as long, also after they have fallen quiet.
"""

from __future__ import annotations

NORMAL_PACE = 100.0
"""Pace of an upstream that works as usual, percent."""
SLOW_FACTOR = 1.5
"""An upstream is in a slow spell from this many times its usual time on."""
DEFAULT_SLOW_PERIOD_S = 0.2
"""Length assumed of a slow spell before any has ended, seconds."""
SMOOTHING = 0.1
"""Weight of the newest spell in the running mean of their lengths."""
MAX_AGE_S = 0.25
"""A pace that was told longer ago than this says nothing of now, seconds."""


class PaceMonitor:
    """The pace of one upstream as it is told, and how long its slow spells last.

    Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._factor = 1.0
        self._recorded_at = float("-inf")
        self._slow_since: float | None = None
        self._slow_period_s = DEFAULT_SLOW_PERIOD_S

    def record(self, now: float, pace: int) -> None:
        """Take in a pace, percent; 0 if none was told."""
        if not pace:
            return
        self._factor = pace / NORMAL_PACE
        self._recorded_at = now
        if self._factor >= SLOW_FACTOR:
            if self._slow_since is None:
                self._slow_since = now
        elif self._slow_since is not None:
            self._slow_period_s += SMOOTHING * (now - self._slow_since - self._slow_period_s)
            self._slow_since = None

    def is_worth_waiting(self, now: float, usual_s: float) -> bool:
        """Return whether work that usually takes `usual_s` ends sooner if it starts later.

        A spell is taken to last as long again as spells do, or as this one has lasted if that is
        longer: an upstream that is slow for good is not waited for.
        """
        if self._slow_since is None or now - self._recorded_at > MAX_AGE_S:
            return False
        left_s = max(self._slow_period_s, now - self._slow_since)
        return usual_s * (self._factor - 1.0) > left_s
