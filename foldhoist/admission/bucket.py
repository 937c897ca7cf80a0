"""Token bucket rate limiter; no I/O, no clock."""

from __future__ import annotations


class TokenBucket:
    """Holds up to `burst` tokens and gains `rate` of them a second."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._at = now

    def take(self, now: float, amount: float = 1.0) -> bool:
        """Take `amount` tokens if the bucket has them; `now` is in seconds, monotonic."""
        self._refill(now)
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True

    def wait(self, now: float, amount: float = 1.0) -> float:
        """Return the seconds until the bucket has `amount` tokens.

        At a rate of 0 this is infinity, even if the bucket has them.
        """
        self._refill(now)
        if self.rate <= 0:
            return float("inf")
        return max(0.0, (amount - self._tokens) / self.rate)

    def spend(self, now: float, amount: float = 1.0) -> None:
        """Take `amount` tokens; their number may become negative."""
        self._refill(now)
        self._tokens -= amount

    def change(self, now: float, rate: float, burst: float) -> None:
        """Change the rate and the burst; tokens above the new burst are lost."""
        self._refill(now)
        self.rate = rate
        self.burst = burst
        self._tokens = min(burst, self._tokens)

    def _refill(self, now: float) -> None:
        gained = (now - self._at) * self.rate
        self._at = max(now, self._at)
        self._tokens = min(self.burst, self._tokens + max(0.0, gained))
