"""Detects that an upstream sheds every call, and chooses trial calls to see whether it still does.

An upstream that sheds all calls looks idle and fast, so it attracts more of them, and each attempt
costs the retry budget. One that is merely full answers some calls in between.
No I/O, no clock; times are monotonic seconds.
"""

from __future__ import annotations

REJECTIONS_IN_A_ROW = 12
"""Rejected calls without an answer in between after which the upstream sheds all.

One that rejects half of its calls by chance rejects as many in a row once in 4,096 calls.
"""
FIRST_TRIAL_PAUSE_S = 0.1
"""Time until the first trial call, seconds; each further rejection doubles it."""
MAX_TRIAL_PAUSE_S = 0.8
"""Longest time between a rejection and the next trial, seconds."""
TRIAL_TIMEOUT_S = 0.5
"""A trial without a result is followed by another one after this time, seconds."""
INVITATION_PAUSE_S = 0.1
"""Time between two invitations to send a trial call, seconds."""


class Shedding:
    """Whether one upstream sheds all calls, and when to try it again."""

    def __init__(self) -> None:
        self.sheds_all = False
        self._rejections = 0
        self._first_rejection_at = 0.0
        self._pause_s = FIRST_TRIAL_PAUSE_S
        self._trial_at = 0.0
        self._invite_at = 0.0

    def record_rejection(self, now: float) -> bool:
        """Count a rejected call; returns True for the one that shows that all calls are shed."""
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
        """Count an answered call; returns whether it ends the shedding of all calls.

        A call that started before the first of the current rejections is ignored.
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
        """Return whether a call may go to the upstream.

        If it sheds all calls, True makes this call the trial.
        """
        if not self.sheds_all:
            return True
        if now < self._trial_at:
            return False
        self._trial_at = now + TRIAL_TIMEOUT_S
        return True

    def should_invite(self, now: float) -> bool:
        """Return whether to ask an ingress for a trial call, as none sends one unasked.

        True starts the pause until the next invitation.
        """
        if not self.sheds_all or now < max(self._trial_at, self._invite_at):
            return False
        self._invite_at = now + INVITATION_PAUSE_S
        return True

    def retry_after_s(self, now: float) -> float:
        """Return the seconds until the next trial may be sent, 0 if it may be now."""
        return max(0.0, self._trial_at - now)
