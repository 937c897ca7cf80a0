"""Refuses calls at the owner while its upstream sheds all of them; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from foldhoist.delivery.dispatch import Action
    from foldhoist.delivery.load_reports import LoadReports
    from foldhoist.delivery.tickets import Tickets
    from foldhoist.delivery.upstream_status import UpstreamStatus
    from foldhoist.delivery.waiting_calls import WaitingCalls

SHEDS_ALL = "upstream-sheds-all"
"""Reason of refusals by an owner whose upstream sheds every call."""


class ShedGuard:
    """Keeps calls from an upstream that sheds all of them; times are monotonic seconds.

    A refusal by the owner uses no retry budget and comes before any wait in the queue. Ingresses
    are asked in turn for a single trial call, which shows whether the upstream has recovered.
    """

    def __init__(
        self, status: UpstreamStatus, reports: LoadReports, waiting: WaitingCalls, tickets: Tickets
    ) -> None:
        self._status = status
        self._reports = reports
        self._waiting = waiting
        self._tickets = tickets

    def refuses(self, now: float) -> bool:
        """Return whether a call that arrives now is refused; one that is not may be the trial."""
        return not self._status.shedding.admits(now)

    def retry_after_s(self, now: float) -> float:
        """Return the time until the next trial call is allowed, seconds."""
        return self._status.shedding.retry_after_s(now)

    def shed(self, now: float) -> list[Action]:
        """Count a call that the upstream shed; once it sheds all, refuse the waiting calls."""
        if not self._status.shedding.record_rejection(now):
            return []
        return [*self._reports.to_all(), *self._waiting.refuse(self._tickets.ids(), SHEDS_ALL)]

    def answered(self, started: float) -> list[Action]:
        """Count a call, started at `started`, that the upstream has answered."""
        return self._reports.to_all() if self._status.shedding.record_answer(started) else []

    def tick(self, now: float) -> list[Action]:
        """Ask an ingress for a trial call if one is due."""
        return self._reports.invite_trial(now) if self._status.shedding.should_invite(now) else []
