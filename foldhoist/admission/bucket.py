"""Token buckets: a hard bound on what may be spent."""

from __future__ import annotations


class TokenBucket:
    """Holds up to `burst` tokens and gains `rate` of them a second."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._at = now

    def take(self, now: float, amount: float = 1.0) -> bool:
        """Spend `amount` tokens if they are there; `now` is in seconds, monotonic."""
        self._refill(now)
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True

    def wait(self, now: float, amount: float = 1.0) -> float:
        """Return the seconds until `amount` tokens will be there."""
        self._refill(now)
        if self.rate <= 0:
            return float("inf")
        return max(0.0, (amount - self._tokens) / self.rate)

    def _refill(self, now: float) -> None:
        gained = (now - self._at) * self.rate
        self._at = max(now, self._at)
        self._tokens = min(self.burst, self._tokens + max(0.0, gained))


class RetryBudget:
    """Allows further attempts as a share of calls, with a small reserve for quiet times."""

    RESERVE = 3.0
    CAP = 20.0
    MOST_OWED = 20.0
    """Most attempts that repeats made elsewhere may take in advance.

    About what a daemon with 20 calls a second earns in 10 s, after which repeats do not count.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self.cap = self.CAP
        self.per_s = 0.0
        self._at = 0.0
        self._tokens = self.RESERVE if share > 0 else 0.0

    def bound(self, cap: float, per_s: float) -> None:
        """Hold at most `cap` attempts and gain `per_s` of them a second, whatever is called.

        Both are this daemon's part of what all daemons together may make beside a share of calls.
        """
        self.cap = cap
        self.per_s = per_s
        self._tokens = min(self._tokens, cap)

    def call(self, repeat: float = 0.0) -> None:
        """Count a first attempt, which earns `share` of a further one.

        `repeat` is how likely it is a part of a further attempt at another service, 0 to 1. It is
        then a repeat itself, and costs what a further attempt costs: along a chain of services,
        each with its own share, repeats would else add up to a share for each of them.
        """
        earned = self.share * (1.0 - repeat) - repeat
        self._tokens = max(-self.MOST_OWED, min(self.cap, self._tokens + earned))

    def spend(self, now: float = 0.0) -> bool:
        """Take one further attempt if the budget has it; `now` is in seconds, monotonic."""
        gained = max(0.0, now - self._at) * self.per_s
        self._at = max(self._at, now)
        self._tokens = min(self.cap, self._tokens + gained)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
