"""Schedules the owner's samples of its upstream's pace; no I/O, no clock.

The pace may change suddenly, and calls are sent at the old estimate until the change is seen. The
sampling interval balances the cost of a sample against that loss, from the rate of calls and the
observed rate of changes.
"""

from __future__ import annotations

from math import exp, sqrt

CHANGE_FACTOR = 1.5
"""Minimum ratio of two paces that counts as a change."""
LOSS_PER_CALL = 0.5
"""Assumed loss, in calls, of a call that is sent before a change of pace is seen."""
CALL_DECAY_S = 2.0
"""Time constant of the call count, seconds.

It exceeds the time for which ingresses avoid an upstream because of its pace.
"""
CHANGE_DECAY_S = 5.0
"""Time constant of the count of pace changes, seconds of observation."""
INITIAL_CHANGES_PER_S = 1.0
"""Rate of pace changes assumed before any was observed, per second."""
MIN_INTERVAL_S = 0.025
"""Minimum time between two samples, seconds; a message to a peer takes about as long."""
MAX_INTERVAL_S = 0.5
"""No samples are taken if the interval would be this long or longer, seconds."""
FIRST_BACKOFF_S = 0.1
"""Pause after the first failed sample, seconds; it doubles with each further one."""
MAX_BACKOFF_S = 3.0
"""Maximum pause after a failed sample, seconds."""


class SamplePlan:
    """Decides when the next sample is due; times are monotonic seconds.

    `cost_calls` is the cost of a sample as a number of calls; 0 disables samples.
    """

    def __init__(self, cost_calls: float) -> None:
        self.cost_calls = cost_calls
        self._calls = 0.0
        self._last_call_at = 0.0
        self._pace = 0
        self._pace_at = 0.0
        self._changes = 0.0
        self._observed_s = 0.0
        self._failures = 0
        self._retry_at = 0.0

    def record_call(self, now: float) -> None:
        """Count a call that came for the upstream."""
        self._calls = self._calls_at(now) + 1.0
        self._last_call_at = now

    def record_pace(self, now: float, pace: int) -> None:
        """Record the pace of an answer or a sample, percent; 0 if it carried none."""
        self._failures = 0
        if not pace:
            return
        passed_s = min(now - self._pace_at, MAX_INTERVAL_S)
        decay = exp(-passed_s / CHANGE_DECAY_S)
        changed = self._pace > 0 and is_change(self._pace, pace)
        self._changes = self._changes * decay + changed
        self._observed_s = self._observed_s * decay + passed_s
        self._pace = pace
        self._pace_at = now

    def record_failure(self, now: float) -> None:
        """Record that a sample failed; the next one is due after a pause."""
        self._retry_at = now + min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0**self._failures)
        self._failures += 1

    def next_at(self, now: float) -> float | None:
        """Return when the next sample is due; None while samples would cost more than they save.

        None also if samples are disabled or the upstream has never reported a pace.
        """
        if not self.cost_calls or not self._pace:
            return None
        interval_s = self._interval_s(now)
        if interval_s >= MAX_INTERVAL_S:
            return None
        return max(self._pace_at + interval_s, self._retry_at)

    def _interval_s(self, now: float) -> float:
        """Return the time between two samples that minimizes their cost plus the remaining loss.

        A change stays unseen for half of the interval on average, so the loss grows with the
        interval while the cost falls; their sum is least where they are equal.
        """
        changes_per_s = (self._changes + INITIAL_CHANGES_PER_S) / (self._observed_s + 1.0)
        lost_per_s2 = LOSS_PER_CALL * self._calls_at(now) / CALL_DECAY_S * changes_per_s / 2.0
        if lost_per_s2 <= 0.0:
            return MAX_INTERVAL_S
        return max(MIN_INTERVAL_S, sqrt(self.cost_calls / lost_per_s2))

    def _calls_at(self, now: float) -> float:
        return self._calls * exp(-(now - self._last_call_at) / CALL_DECAY_S)


def is_change(before: int, after: int) -> bool:
    """Return whether two paces differ by at least the factor that counts as a change."""
    low, high = sorted((before, after))
    return high >= low * CHANGE_FACTOR
