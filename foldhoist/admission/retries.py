"""How many further attempts a daemon may make at a service; no I/O, no clock."""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from random import Random


class SlackPart(NamedTuple):
    """One daemon's part of what all together may make beside a share of calls.

    It may hold `held` attempts of it, and gains `per_s` a second. What calls earned longer than
    about `window_s` seconds ago does not count any more. Where `held` is less than one, a part of
    an attempt is an attempt with that chance, so that all together make as many as they may.
    """

    capacity: float
    per_s: float
    window_s: float


class RetryBudget:
    """Allows further attempts as a share of calls, with a small reserve for quiet times.

    `now` is in seconds, monotonic.
    """

    RESERVE = 3.0
    """Attempts that a budget begins with where daemons share no slack."""
    CAP = 20.0
    """Attempts that are held at most there."""
    MAX_DEBT = 20.0
    """Most attempts that repeats made elsewhere may take in advance.

    About what a daemon with 20 calls a second earns in 10 s, after which repeats do not count.
    """

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
        """Take a part of a slack that daemons share, in place of a reserve.

        A budget that begins is given one attempt at most, less where many share the slack, and
        gains nothing for a window. A daemon that has just started may not know who shares it, nor
        what its earlier life has spent; what it was given too much is taken back as it learns.
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
        """Count a first attempt, which earns `share` of a further one.

        `repeat` is how likely it is a part of a further attempt at another service, 0 to 1. It is
        then a repeat itself, and costs what a further attempt costs: along a chain of services,
        each with its own share, repeats would else add up to a share for each of them.
        """
        self._refill(now)
        earned = self.share * (1.0 - repeat) - repeat
        self._tokens = max(-self.MAX_DEBT, min(self.cap, self._tokens + earned))

    def spend(self, now: float = 0.0) -> bool:
        """Take one further attempt if the budget has it."""
        self._refill(now)
        if self._tokens < self._needed():
            return False
        self._tokens -= 1.0
        self._threshold = self._rng.random()
        return True

    def _needed(self) -> float:
        # With whole attempts only, daemons that each see few calls would never retry any.
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
            # Many daemons would else each keep an attempt for when all have a reason to retry.
            self._tokens = capacity + (self._tokens - capacity) * exp(
                -passed / self._slack.window_s
            )
        else:
            self._tokens = min(capacity, self._tokens + passed * self._slack.per_s)
