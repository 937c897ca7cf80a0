"""Applies changes of the upstream's signals at its owner; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.delivery.dispatch import SignalsChanged
from foldhoist.delivery.signal_state import Leaving, LimitChanged, LimitEnded
from foldhoist.delivery.upstream_status import LEAVING_SIGNAL

if TYPE_CHECKING:
    from foldhoist.admission.due import DueQueue
    from foldhoist.admission.slots import SlotQueue
    from foldhoist.delivery.dispatch import Action, Counters, Ticket
    from foldhoist.delivery.load_reports import LoadReports
    from foldhoist.delivery.queue_decisions import QueueDecisions
    from foldhoist.delivery.signal_state import AnswerSignals, SignalChange
    from foldhoist.delivery.upstream_status import UpstreamStatus


class SignalEffects:
    """Applies changed signals to the state and the queue, and reports them to ingresses."""

    def __init__(
        self,
        status: UpstreamStatus,
        queue: SlotQueue | DueQueue,
        reports: LoadReports,
        decisions: QueueDecisions,
        count: Counters,
    ) -> None:
        self._status = status
        self._queue = queue
        self._reports = reports
        self._decisions = decisions
        self._count = count

    def answer_began(
        self, now: float, ticket: Ticket | None, signals: AnswerSignals
    ) -> list[Action]:
        """Apply the head of an answer to a call, unless a former incarnation sent it."""
        if ticket is None or ticket.replacements != self._status.replacements:
            return []
        return self.apply(now, self._status.signals.answered(now, signals))

    def apply(self, now: float, changes: list[SignalChange]) -> list[Action]:
        """Apply changes; `now` is monotonic seconds."""
        if not changes:
            return []
        actions: list[Action] = [SignalsChanged(changes)]
        for change in changes:
            match change:
                case LimitChanged() | LimitEnded():
                    self._count.limit_changes += 1
                    actions += self._decisions.apply(now, self._queue.limit_changed(now))
                    actions += self._reports.limit_change(now)
                case Leaving() if self._status.set_leaving(LEAVING_SIGNAL):
                    self._status.stop_starting(now)
                    actions += self._reports.to_all()
        return actions
