"""What an owner does while its upstream turns all calls away: refuses by its own word; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from foldhoist.delivery.dispatch import Action
    from foldhoist.delivery.load_reports import LoadReports
    from foldhoist.delivery.tickets import Tickets
    from foldhoist.delivery.upstream_status import UpstreamStatus
    from foldhoist.delivery.waiting_calls import WaitingCalls

SHEDS_ALL = "upstream-sheds-all"
"""Reason of a refusal by an owner whose upstream turns every call away."""


class ShedGuard:
    """Keeps calls from an upstream that would turn them away; times are monotonic seconds.

    A refusal of the owner's is no arrival at the upstream, costs nothing of the retry budget and
    comes before any wait. One ingress after the other is asked for a single call, which finds out
    whether the upstream takes calls again.
    """

    def __init__(
        self, status: UpstreamStatus, reports: LoadReports, waiting: WaitingCalls, tickets: Tickets
    ) -> None:
        self._status = status
        self._reports = reports
        self._waiting = waiting
        self._tickets = tickets

    def refuses(self, now: float) -> bool:
        """Return whether a call that arrives now is refused."""
        return not self._status.shedding.takes(now)

    def retry_after_s(self, now: float) -> float:
        """Return when a call may be taken, seconds."""
        return self._status.shedding.again_s(now)

    def shed(self, now: float) -> list[Action]:
        """Take in that the upstream has turned a call away."""
        if not self._status.shedding.turned_away(now):
            return []
        return [*self._reports.to_all(), *self._waiting.refuse(self._tickets.ids(), SHEDS_ALL)]

    def answered(self, started: float) -> list[Action]:
        """Take in that the upstream has run a call that had started then."""
        return self._reports.to_all() if self._status.shedding.answered(started) else []

    def tick(self, now: float) -> list[Action]:
        """Ask an ingress for a call if it is time to find out."""
        return self._reports.invite_trial(now) if self._status.shedding.invites(now) else []
