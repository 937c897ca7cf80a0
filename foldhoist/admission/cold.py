"""Limits the rate of calls to a cold upstream; no I/O, no clock.

An upstream that has just started, or that had no calls for a while, handles few calls a second and
crashes under more. All its calls pass through one owner, which therefore counts for all senders.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from foldhoist.admission.ramp import Ramp

WINDOW_S = 1.0
"""Shortest window in which the starts of calls are counted, seconds."""


SLACK_SHARE = 0.25
"""Share of the slack that is used for a cold upstream.

The rest covers calls that an earlier incarnation of the daemon has sent.
"""


class Tolerance(NamedTuple):
    """How far a rate may be exceeded: by the factor `overage`, and by `slack` calls a second."""

    overage: float = 1.0
    slack: float = 0.0


class ColdRate(NamedTuple):
    """The rate of calls that a cold upstream of a service handles, from the configuration.

    `per_s` is calls a second, 0 if unknown; `period_s` is how long an upstream stays cold, seconds.
    """

    per_s: float = 0.0
    period_s: float = 0.0

    def with_tolerance(self, tolerance: Tolerance) -> ColdRate:
        """Return the rate raised by `overage` and by a part of `slack`; an unknown rate stays 0."""
        if not self.per_s:
            return self
        more = tolerance.slack * SLACK_SHARE
        return self._replace(per_s=self.per_s * tolerance.overage + more)


class ColdStart:
    """Limits the starts of calls at one upstream while it is cold; times are monotonic seconds.

    A sliding window bounds the starts in any span of its length. A token bucket of the same size
    would allow nearly twice as many in the second after it was full.
    """

    def __init__(self) -> None:
        self.rate = ColdRate()
        self._until = float("-inf")
        self._assumed_until = float("-inf")
        self._starts: deque[float] = deque()
        self._ramp = Ramp()

    def set_rate(self, now: float, rate: ColdRate, began: float | None = None) -> None:
        """Set the configured rate.

        When the rate becomes known, a full window of starts at `began` is assumed, the time at
        which this daemon's process began (`now` if it is None or later): an earlier incarnation may
        have sent that many just before.
        """
        if not self.rate.per_s and rate.per_s:
            at = now if began is None else min(now, began)
            self._starts.extendleft([at] * _max_starts(rate.per_s))
        self.rate = rate

    def reset_on_replacement(self) -> None:
        """Record that a new incarnation of the upstream has replaced the old one.

        What was known of the old one's cold period is discarded. If the rate is unknown, a ramp
        begins.
        """
        self._until = float("-inf")
        self.end_assumption()
        if not self.rate.per_s:
            # With a known rate, a ramp as well would keep slow calls below that rate.
            self._ramp.begin()

    def record_answer(self) -> None:
        """Record that the upstream has answered a call."""
        self._ramp.record_answer()

    def usable_slots(self, slots: int) -> int:
        """Return how many of the upstream's slots may be used now."""
        return self._ramp.usable_slots(slots)

    def extend(self, now: float, left_s: float) -> None:
        """Record a report that the upstream stays cold for `left_s` seconds.

        A time shorter than the known one changes nothing: the report may be old, and the upstream
        may have turned cold since.
        """
        if left_s > 0.0:
            self._until = max(self._until, now + left_s)

    def set_remaining(self, now: float, left_s: float) -> None:
        """Set for how many seconds the upstream stays cold, as it has reported just now."""
        self._until = now + left_s
        self.end_assumption()

    def assume_cold(self, now: float) -> None:
        """Treat the upstream as cold for a whole period: it may have turned cold unnoticed."""
        self._assumed_until = now + self.rate.period_s

    def end_assumption(self) -> None:
        """Record that the upstream has been asked; it stays cold for as long as it has reported."""
        self._assumed_until = float("-inf")

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream is cold and its rate is known."""
        return now < self._ends_at and self.rate.per_s > 0.0

    @property
    def _ends_at(self) -> float:
        return max(self._until, self._assumed_until)

    def record_start(self, now: float) -> None:
        """Count a call that is sent to the upstream."""
        if not self.rate.per_s:
            return
        self._starts.append(now)
        self._drop_old_starts(now)

    def may_start(self, now: float) -> bool:
        """Return whether a call may start now."""
        return self.ready_at(now) <= now

    def ready_at(self, now: float, ahead: int = 0) -> float:
        """Return the time at which a call with `ahead` others before it may start."""
        if not self.is_cold(now):
            return now
        self._drop_old_starts(now)
        max_starts = _max_starts(self.rate.per_s)
        over = ahead + len(self._starts) - max_starts
        if over < 0:
            return now
        windows, index = divmod(over, max_starts)
        start = self._starts[index] if index < len(self._starts) else now
        return min(self._ends_at, start + (windows + 1) * self._window_s)

    def is_overloaded(self, now: float) -> bool:
        """Return whether the upstream is cold and got more calls in a window than it handles."""
        if not self.is_cold(now):
            return False
        self._drop_old_starts(now)
        return len(self._starts) > _max_starts(self.rate.per_s)

    @property
    def _window_s(self) -> float:
        """Return the length of the window, seconds; above `WINDOW_S` if `per_s` is below 1."""
        return max(WINDOW_S, _max_starts(self.rate.per_s) / self.rate.per_s)

    def _drop_old_starts(self, now: float) -> None:
        while self._starts and self._starts[0] + self._window_s <= now:
            self._starts.popleft()


def _max_starts(per_s: float) -> int:
    """Return how many calls may start in a window."""
    return max(1, int(per_s * WINDOW_S))
