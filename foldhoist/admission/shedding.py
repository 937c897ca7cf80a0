"""Whether an upstream turns every call away, and which call finds out that this has ended.

An upstream that turns all calls away is idle and quick, so it draws more of them, and each is an
arrival there, which the retry budget pays for. One that is only full answers some in between.
No I/O, no clock; times are monotonic seconds.
"""

from __future__ import annotations

REJECTIONS_IN_A_ROW = 12
"""Calls turned away with none answered in between from which on all are taken to be.

One that turns half of its calls away by chance does so 12 times in a row once in 4,096 calls.
"""
FIRST_TRIAL_PAUSE_S = 0.1
"""Time until a call finds out whether that has ended, seconds; twice as long each time."""
MAX_TRIAL_PAUSE_S = 0.8
"""Longest such time, seconds: so late at most is it seen that there is room again."""
TRIAL_TIMEOUT_S = 0.5
"""A trial that has not ended after this long is followed by another one, seconds."""
INVITATION_PAUSE_S = 0.1
"""An ingress that was asked for a call has this long until another one is asked, seconds."""


class Shedding:
    """What an owner knows of its upstream turning calls away."""

    def __init__(self) -> None:
        self.sheds_all = False
        self._rejections = 0
        self._first_rejection_at = 0.0
        self._pause_s = FIRST_TRIAL_PAUSE_S
        self._trial_at = 0.0
        self._invite_at = 0.0

    def record_rejection(self, now: float) -> bool:
        """Count a call that was turned away; returns whether all are taken to be from now on."""
        if not self._rejections:
            self._first_rejection_at = now
        self._rejections += 1
        if self.sheds_all:
            self._pause_s = min(MAX_TRIAL_PAUSE_S, 2 * self._pause_s)
            self._trial_at = now + self._pause_s
            return False
        if self._rejections < REJECTIONS_IN_A_ROW:
            return False
        self.sheds_all = True
        self._trial_at = now + self._pause_s
        return True

    def record_answer(self, started: float) -> bool:
        """Count a call that the upstream has run; returns whether it takes calls again by that.

        One that started before the first of those in a row was turned away says nothing of now.
        """
        if self._rejections and started < self._first_rejection_at:
            return False
        self._rejections = 0
        self._pause_s = FIRST_TRIAL_PAUSE_S
        if not self.sheds_all:
            return False
        self.sheds_all = False
        return True

    def admits(self, now: float) -> bool:
        """Return whether a call may go to the upstream now; then it is the trial."""
        if not self.sheds_all:
            return True
        if now < self._trial_at:
            return False
        self._trial_at = now + TRIAL_TIMEOUT_S
        return True

    def should_invite(self, now: float) -> bool:
        """Return whether an ingress is to be asked for a call: nobody sends one unasked."""
        if not self.sheds_all or now < max(self._trial_at, self._invite_at):
            return False
        self._invite_at = now + INVITATION_PAUSE_S
        return True

    def retry_after_s(self, now: float) -> float:
        """Return when a call may be taken, seconds."""
        return max(0.0, self._trial_at - now)
