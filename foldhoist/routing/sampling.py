"""When an owner asks its upstream for its pace: as often as that saves more than it costs.

Work at an upstream may take several times as long from one moment to the next, because of its
neighbours on the machine. Until that is known, calls go on being sent there. A sample shortens that
time, and costs something; how often to take one follows from the calls that come, from how often
the pace was seen to change, and from that cost. No I/O, no clock.
"""

from __future__ import annotations

from math import exp, sqrt

CHANGE_FACTOR = 1.5
"""A pace counts as another one when it differs by at least this factor."""
LOSS_PER_CALL = 0.5
"""What a call loses at an upstream that has turned slow unseen, in calls: assumed, not measured."""
CALL_DECAY_S = 2.0
"""Calls count by 1/e after this long, seconds: longer than an upstream is avoided for its pace."""
CHANGE_DECAY_S = 5.0
"""Changes of the pace count by 1/e after this long, seconds: some tens of changes."""
INITIAL_CHANGES_PER_S = 1.0
"""Changes of the pace a second that are assumed before any was seen."""
MIN_INTERVAL_S = 0.025
"""Shortest time between two samples, seconds: below it, messages to peers take as long."""
MAX_INTERVAL_S = 0.5
"""If so much time between two samples would do, none is taken, seconds."""
FIRST_BACKOFF_S = 0.1
"""Pause after a sample failed, seconds; it doubles each time."""
MAX_BACKOFF_S = 3.0
"""Longest such pause, seconds."""


class SamplePlan:
    """Decides when the next sample is due; times are monotonic seconds.

    `cost_calls` is what a sample costs, in calls; 0 for no samples.
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
        """Take in that a call came for the upstream."""
        self._calls = self._calls_at(now) + 1.0
        self._last_call_at = now

    def record_pace(self, now: float, pace: int) -> None:
        """Take in a pace, of an answer or of a sample, percent; 0 if none was told."""
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
        """Take in that a sample told nothing."""
        self._retry_at = now + min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0**self._failures)
        self._failures += 1

    def next_at(self, now: float) -> float | None:
        """Return when the next sample is due; None while samples would cost more than they save.

        An upstream that has never told a pace is not asked.
        """
        if not self.cost_calls or not self._pace:
            return None
        interval_s = self._interval_s(now)
        if interval_s >= MAX_INTERVAL_S:
            return None
        return max(self._pace_at + interval_s, self._retry_at)

    def _interval_s(self, now: float) -> float:
        """Return the time between two samples at which what they cost equals what they save.

        A change stays unseen for half of that time on average.
        """
        changes_per_s = (self._changes + INITIAL_CHANGES_PER_S) / (self._observed_s + 1.0)
        lost_per_s2 = LOSS_PER_CALL * self._calls_at(now) / CALL_DECAY_S * changes_per_s / 2.0
        if lost_per_s2 <= 0.0:
            return MAX_INTERVAL_S
        return max(MIN_INTERVAL_S, sqrt(self.cost_calls / lost_per_s2))

    def _calls_at(self, now: float) -> float:
        return self._calls * exp(-(now - self._last_call_at) / CALL_DECAY_S)


def is_change(before: int, after: int) -> bool:
    """Return whether two paces differ by more than small noise."""
    low, high = sorted((before, after))
    return high >= low * CHANGE_FACTOR
