"""Limits the rate of calls to an upstream that sends a rate limit; no I/O, no clock.

All calls to an upstream pass through its owner, which therefore counts for all senders. Two bounds
apply at once: a token bucket starts calls evenly at the limit, and a sliding window also counts the
calls that started before the limit was set, or while it was higher.
"""

from __future__ import annotations

from collections import deque

from foldhoist.admission.bucket import TokenBucket

LIMITED = "upstream-limited"
"""Reason of refusals because of the rate limit that the upstream sends."""
MIN_RATE_PER_S = 0.5
"""Minimum rate of calls, per second, also for a limit of 0: only an answer shows that it ended."""
MAX_RATE_PER_S = 1e9
"""Maximum rate that is applied, calls per second."""
BURST_S = 0.5
"""Burst of the token bucket, as a time at the limit, seconds."""
WINDOW_S = 4.0
"""Length of the sliding window, seconds."""
WINDOW_OVERAGE = 1.5
"""Maximum number of calls in a window, as a multiple of those that the limit allows."""
CELL_S = 0.25
"""Starts are counted in cells of this length, seconds."""
PRIOR_S = 1.0
"""Starts at most this long before an upstream could set its first limit count, seconds."""


class StartCounts:
    """Counts the starts of the last `WINDOW_S` in cells; times are monotonic seconds."""

    def __init__(self) -> None:
        self._cells: deque[tuple[float, int]] = deque()

    def add(self, at: float, count: int = 1) -> None:
        """Count starts at a time not before that of the last call."""
        end = (at // CELL_S + 1) * CELL_S
        if self._cells and self._cells[-1][0] >= end:
            end, before = self._cells.pop()
            count += before
        self._cells.append((end, count))
        self.drop_before(at - WINDOW_S)

    def drop_before(self, at: float) -> None:
        """Forget the cells that end at this time or earlier."""
        while self._cells and self._cells[0][0] <= at:
            self._cells.popleft()

    def total(self, now: float) -> int:
        """Return the number of starts in the window."""
        self.drop_before(now - WINDOW_S)
        return sum(count for _, count in self._cells)

    def room_at(self, now: float, most: int) -> float:
        """Return when the window will hold fewer than `most` starts."""
        left = self.total(now)
        at = now
        for end, count in self._cells:
            if left < most:
                break
            at = end + WINDOW_S
            left -= count
        return at


class RateLimit:
    """Limits the starts of calls at one upstream to its rate limit, if it has one."""

    def __init__(self) -> None:
        self.per_s: float | None = None
        self._starts = StartCounts()
        self._bucket = TokenBucket(0.0, 1.0, 0.0)
        self._reserved_until = float("-inf")

    @property
    def active(self) -> bool:
        """Return whether a limit is set."""
        return self.per_s is not None

    def set(self, now: float, per_s: float, unlimited_at: float = float("-inf")) -> None:
        """Set the limit, calls per second.

        `unlimited_at` is when this upstream last answered without one, given with its first limit:
        it may have set it at any time since, which no answer showed.
        """
        rate = min(MAX_RATE_PER_S, max(MIN_RATE_PER_S, per_s))
        burst = max(1.0, rate * BURST_S)
        if self.per_s is None:
            # The bucket starts empty: the upstream has just got more calls than it can take.
            self._bucket = TokenBucket(rate, burst, now)
            self._bucket.take(now, burst)
        else:
            self._bucket.change(now, rate, burst)
        self._starts.drop_before(unlimited_at - PRIOR_S)
        self.per_s = per_s

    def end(self) -> None:
        """Remove the limit; starts are still counted, as it may be set again."""
        self.per_s = None

    def reset(self) -> None:
        """Forget everything: another incarnation of the upstream is in place."""
        self.per_s = None
        self._starts = StartCounts()
        self._reserved_until = float("-inf")

    def assume_starts(self, now: float, limited_at: float, until: float) -> None:
        """Assume the starts of an earlier incarnation of the owner, which ended at `until`.

        It kept to the limit since `limited_at`; before, it may have started any number of calls, so
        that none starts until that time has left the window.
        """
        if self.per_s is None:
            return
        cell = max(now - WINDOW_S, limited_at)
        counts = StartCounts()
        if limited_at > now - WINDOW_S:
            counts.add(limited_at, self._max_starts)
        left = 0.0
        while cell < until:
            left += self._bucket.rate * CELL_S
            counts.add(cell, int(left))
            left -= int(left)
            cell += CELL_S
        counts.add(max(until, now), self._starts.total(now))
        self._starts = counts

    def record_start(self, now: float) -> None:
        """Count a call that is sent to the upstream."""
        self._starts.add(now)
        if self.active:
            self._bucket.spend(now)

    def may_start(self, now: float) -> bool:
        """Return whether a call may start now."""
        return self.ready_at(now) <= now

    def ready_at(self, now: float, ahead: int = 0) -> float:
        """Return the time at which a call with `ahead` others before it may start."""
        if self.per_s is None:
            return now
        paced_at = now + self._bucket.wait(now, ahead + 1.0)
        window_at = self._starts.room_at(now, self._max_starts)
        if window_at <= now:
            return paced_at
        return max(paced_at, window_at + ahead / self._bucket.rate)

    def reserve_start(self, now: float, ahead: int, by: float) -> float:
        """Return when a refused call may be retried: after waiting calls and earlier reservations.

        A time after `by`, the deadline of the call, is not reserved.
        """
        if self.per_s is None:
            return now
        start_at = max(self.ready_at(now, ahead), self._reserved_until)
        if start_at < by:
            self._reserved_until = start_at + 1.0 / self._bucket.rate
        return start_at

    @property
    def _max_starts(self) -> int:
        """Return how many calls may start in a window."""
        return max(1, int(WINDOW_OVERAGE * WINDOW_S * self._bucket.rate))

    def used_per_s(self, now: float) -> float:
        """Return the mean rate of starts in the window, calls a second."""
        return self._starts.total(now) / WINDOW_S
