"""How many calls an upstream is given while it is cold; no I/O, no clock.

An upstream that has just started, or that was given nothing for a while, bears few calls a second
and ends under more. All its calls pass through one owner, which therefore counts for all senders.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from foldhoist.admission.ramp import Ramp

WINDOW_S = 1.0
"""What an upstream bears is counted in any span of this length, seconds: it is told as a rate."""


SLACK_SHARE = 0.25
"""Share of the slack that is given to a cold upstream.

The rest is for what an earlier life of the daemon had on its way.
"""


class Tolerance(NamedTuple):
    """What a cold upstream bears: `overage` times its rate, and `slack` calls a second more."""

    overage: float = 1.0
    slack: float = 0.0


class ColdRate(NamedTuple):
    """What a cold upstream of a service bears, as the configuration says.

    `per_s` is calls a second, 0 if nothing is known; `period_s` is for how long it is cold.
    """

    per_s: float = 0.0
    period_s: float = 0.0

    def with_tolerance(self, tolerance: Tolerance) -> ColdRate:
        """Return the rate that is used where this much more is borne."""
        if not self.per_s:
            return self
        more = tolerance.slack * SLACK_SHARE
        return self._replace(per_s=self.per_s * tolerance.overage + more)


class ColdStart:
    """The starts of calls at one upstream, and until when it is cold; times are monotonic seconds.

    A window slides over the starts: what it holds is never more than the upstream bears, wherever
    it begins. A bucket of as many tokens lets nearly twice as many through in the second in which
    it was full.
    """

    def __init__(self) -> None:
        self.rate = ColdRate()
        self._until = float("-inf")
        self._starts: deque[float] = deque()
        self._ramp = Ramp()

    def set_rate(self, now: float, rate: ColdRate, began: float | None = None) -> None:
        """Take over what the configuration says.

        The first time, an earlier life of this daemon may have sent all that is borne just before
        this one `began`.
        """
        if not self.rate.per_s and rate.per_s:
            at = now if began is None else min(now, began)
            self._starts.extendleft([at] * _max_starts(rate.per_s))
        self.rate = rate

    def reset_on_replacement(self) -> None:
        """Take in that another life of the upstream stands there: the word of the old one ends."""
        self._until = float("-inf")
        if not self.rate.per_s:
            # Where it is told what is borne, a call at a time would keep that from slow calls.
            self._ramp.begin()

    def record_answer(self) -> None:
        """Take in that the upstream has answered a call."""
        self._ramp.record_answer()

    def usable_slots(self, slots: int) -> int:
        """Return the calls that it may have at once, of its slots."""
        return self._ramp.usable_slots(slots)

    def extend(self, now: float, left_s: float) -> None:
        """Take in for how long it is cold, by its own word.

        The word may have come late, and it may have turned cold since: a shorter time than the one
        that is known changes nothing.
        """
        if left_s > 0.0:
            self._until = max(self._until, now + left_s)

    def set_remaining(self, now: float, left_s: float) -> None:
        """Take in for how long it is cold, as it has answered just now."""
        self._until = now + left_s

    def assume_cold(self, now: float) -> None:
        """Take it for cold until it says otherwise: it may have turned cold unseen."""
        self.extend(now, self.rate.period_s)

    def is_cold(self, now: float) -> bool:
        """Return whether it is cold, and what it bears is known."""
        return now < self._until and self.rate.per_s > 0.0

    def record_start(self, now: float) -> None:
        """Count a call that is sent to the upstream."""
        if not self.rate.per_s:
            return
        self._starts.append(now)
        self._drop_old_starts(now)

    def may_start(self, now: float) -> bool:
        """Return whether it bears another call now."""
        return self.ready_at(now) <= now

    def ready_at(self, now: float, ahead: int = 0) -> float:
        """Return from when on it bears a call that goes behind `ahead` others."""
        if not self.is_cold(now):
            return now
        self._drop_old_starts(now)
        max_starts = _max_starts(self.rate.per_s)
        over = ahead + len(self._starts) - max_starts
        if over < 0:
            return now
        turns, place = divmod(over, max_starts)
        before = self._starts[place] if place < len(self._starts) else now
        return min(self._until, before + (turns + 1) * self._window_s)

    def is_overloaded(self, now: float) -> bool:
        """Return whether it is cold and got more than it bears, as when it turned cold unseen."""
        if not self.is_cold(now):
            return False
        self._drop_old_starts(now)
        return len(self._starts) > _max_starts(self.rate.per_s)

    @property
    def _window_s(self) -> float:
        """Return the span in which a whole number of calls is borne, seconds."""
        return max(WINDOW_S, _max_starts(self.rate.per_s) / self.rate.per_s)

    def _drop_old_starts(self, now: float) -> None:
        while self._starts and self._starts[0] + self._window_s <= now:
            self._starts.popleft()


def _max_starts(per_s: float) -> int:
    """Return the calls that are borne in a window."""
    return max(1, int(per_s * WINDOW_S))
