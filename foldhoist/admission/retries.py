"""A daemon's budget for retries at a service; no I/O, no clock."""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from random import Random


class SlackPart(NamedTuple):
    """One daemon's part of the slack: retries that all daemons share, besides a share of calls.

    The part holds up to `capacity` retries and gains `per_s` a second. Tokens above the capacity,
    earned by calls, decay with the time constant `window_s`, seconds. With a capacity below one, a
    fraction of a token allows a retry with that probability, so that the daemons together use the
    whole slack.
    """

    capacity: float
    per_s: float
    window_s: float


class RetryBudget:
    """Allows retries as a share of calls, plus a small reserve for times of few calls.

    `now` is in seconds, monotonic.
    """

    RESERVE = 3.0
    """Tokens at the start of a budget without shared slack; none if its share of calls is 0."""
    CAP = 20.0
    """Most tokens of a budget without shared slack."""
    MAX_DEBT = 20.0
    """Largest debt, in tokens, that retries at other services may cause."""

    def __init__(self, share: float, rng: Random) -> None:
        self.share = share
        self._rng = rng
        self._threshold = rng.random()
        self._slack: SlackPart | None = None
        self.cap = self.CAP
        self._at = 0.0
        self._granted = 0.0
        self._tokens = self.RESERVE if share > 0 else 0.0

    def set_slack(self, now: float, slack: SlackPart) -> None:
        """Use a part of the slack that daemons share instead of a reserve.

        A new budget starts with at most one token, less if many daemons share the slack, and gains
        none from the slack for one window: a daemon that has just started may know neither the
        others nor what its earlier incarnation has spent. If the part shrinks within that time, the
        excess is taken back.
        """
        if self._slack is None:
            self._tokens = self._granted = min(1.0, slack.capacity)
            self._at = now + slack.window_s
        elif now < self._at and slack.capacity < self._granted:
            self._tokens -= self._granted - slack.capacity
            self._granted = slack.capacity
        self._slack = slack
        self.cap = max(1.0, slack.capacity)
        self._tokens = min(self._tokens, self.cap)

    def record_call(self, now: float = 0.0, repeat: float = 0.0) -> None:
        """Count a first attempt, which earns `share` of a retry.

        `repeat` is the probability, 0 to 1, that it is caused by a retry at another service. It
        then costs a token as a retry does; otherwise, retries would multiply along a chain of
        services that each have their own budget.
        """
        self._refill(now)
        earned = self.share * (1.0 - repeat) - repeat
        self._tokens = max(-self.MAX_DEBT, min(self.cap, self._tokens + earned))

    def spend(self, now: float = 0.0) -> bool:
        """Take a token for one retry; returns False if the budget has too few."""
        self._refill(now)
        if self._tokens < self._needed():
            return False
        self._tokens -= 1.0
        self._threshold = self._rng.random()
        return True

    def _needed(self) -> float:
        # With whole tokens only, daemons that each have few calls would never retry.
        if self._slack is not None and self._slack.capacity < 1.0:
            return self._threshold
        return 1.0

    def _refill(self, now: float) -> None:
        passed = now - self._at
        if self._slack is None or passed <= 0.0:
            return
        self._at = now
        capacity = self._slack.capacity
        if self._tokens > capacity:
            # Otherwise many daemons could save tokens and spend them all at the same time.
            self._tokens = capacity + (self._tokens - capacity) * exp(
                -passed / self._slack.window_s
            )
        else:
            self._tokens = min(capacity, self._tokens + passed * self._slack.per_s)
