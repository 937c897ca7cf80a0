"""Decides whether a call ends sooner if it waits for a slow upstream to recover; no I/O, no clock.

The service time is fixed when a call starts: one that starts while the upstream's neighbours are
busy occupies its slot several times as long, even after they have become idle.
"""

from __future__ import annotations

USUAL_PACE = 100.0
"""Pace of an upstream at its usual speed, percent."""
SLOW_FACTOR = 1.5
"""An upstream is slow from this multiple of its usual service time on."""
DEFAULT_SLOW_PERIOD_S = 0.2
"""Assumed length of a slow period before any has ended, seconds."""
SMOOTHING = 0.1
"""Weight of the newest slow period in the moving average of their lengths."""
MAX_AGE_S = 0.25
"""A pace recorded longer ago than this is not used, seconds."""


class PaceMonitor:
    """The pace of one upstream and the mean length of its slow periods.

    Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._factor = 1.0
        self._recorded_at = float("-inf")
        self._slow_since: float | None = None
        self._slow_period_s = DEFAULT_SLOW_PERIOD_S

    def record(self, now: float, pace: int) -> None:
        """Record a reported pace, percent of the usual service time; 0 if there was no report."""
        if not pace:
            return
        self._factor = pace / USUAL_PACE
        self._recorded_at = now
        if self._factor >= SLOW_FACTOR:
            if self._slow_since is None:
                self._slow_since = now
        elif self._slow_since is not None:
            self._slow_period_s += SMOOTHING * (now - self._slow_since - self._slow_period_s)
            self._slow_since = None

    def is_worth_waiting(self, now: float, usual_s: float) -> bool:
        """Return whether a call that usually takes `usual_s` ends sooner if it starts later.

        The rest of a slow period is estimated as the mean length of such periods, or as the time
        that this one has lasted if that is longer, so that no call waits for a lasting slowdown.
        """
        if self._slow_since is None or now - self._recorded_at > MAX_AGE_S:
            return False
        left_s = max(self._slow_period_s, now - self._slow_since)
        return usual_s * (self._factor - 1.0) > left_s
