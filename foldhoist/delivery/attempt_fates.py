"""Finds out what became of attempts whose connection to their owner failed; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.delivery.call import OwnerFrame, SendTo, Timer
from foldhoist.delivery.rules import CONNECTION_FULL, CONNECTION_FULL_RETRY_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from foldhoist.delivery.call import Action, Call, Counters, PendingAttempt
    from foldhoist.delivery.call_table import CallTable
    from foldhoist.delivery.services import Services

FATE_TIMEOUT_S = 1.0
"""Longest wait for the outcome of a call after the connection to its owner is lost, seconds."""


class AttemptFates:
    """Attempts without a connection; `retry` continues a call whose attempt has failed.

    Times are monotonic seconds.
    """

    def __init__(
        self,
        calls: CallTable,
        services: Services,
        count: Counters,
        retry: Callable[[float, Call, str, float], list[Action]],
    ) -> None:
        self._calls = calls
        self._services = services
        self._count = count
        self._retry = retry

    def link_lost(self, now: float, target: str) -> list[Action]:
        """Retry the calls that may be repeated; the others wait for their outcome."""
        actions: list[Action] = []
        for call, attempt in self._calls.attempts_at(target):
            if attempt.fate_due:
                continue
            if call.repeatable and not call.req.key:
                actions += self._lost(now, call, attempt, "owner-connection-lost")
                continue
            attempt.fate_due = now + FATE_TIMEOUT_S
            self._calls.schedule(min(attempt.fate_due, call.deadline), call, Timer.FATE_TIMEOUT)
        return actions

    def link_up(self, now: float, target: str, fresh: bool) -> list[Action]:
        """Ask the owner for the outcomes; a `fresh` owner process does not know them.

        It sends none for a call that still runs, whose answer follows: only another loss of the
        connection limits the wait for it again.
        """
        asked = self._calls.awaiting_fate(target)
        if not asked:
            return []
        if fresh:
            return self.owner_ended(now, target, "owner-restarted")
        self._count.fate_asked += len(asked)
        seqs = [attempt.seq for _, attempt in asked]
        for _, attempt in asked:
            attempt.fate_due = 0.0
        return [SendTo(target, OwnerFrame("FateAsk", {"seqs": seqs}))]

    def owner_ended(self, now: float, target: str, reason: str) -> list[Action]:
        """Give up on the outcomes at an owner whose process has ended."""
        actions: list[Action] = []
        for call, attempt in self._calls.awaiting_fate(target):
            actions += self._lost(now, call, attempt, reason)
        return actions

    def not_sent(self, now: float, seq: int) -> list[Action]:
        """Retry a call that the connection to its owner did not take: it has not run."""
        call = self._calls.by_seq.pop(seq, None)
        if call is None:
            return []
        attempt = call.pending.pop(seq)
        state = self._services.get(call.service)
        if state is not None:
            state.picker.abandoned(attempt.target, seq, now)
        call.add_attempt(now, attempt, f"no:{CONNECTION_FULL}", 0, 0)
        call.arrivals -= 1
        return self._retry(now, call, CONNECTION_FULL, CONNECTION_FULL_RETRY_S)

    def end_overdue(self, now: float, call: Call) -> list[Action]:
        """Give up on the outcomes that a call has waited for too long."""
        actions: list[Action] = []
        for attempt in list(call.pending.values()):
            if attempt.fate_due and now >= attempt.fate_due:
                actions += self._lost(now, call, attempt, "owner-unreachable")
        return actions

    def _lost(self, now: float, call: Call, attempt: PendingAttempt, reason: str) -> list[Action]:
        call.pending.pop(attempt.seq, None)
        self._calls.by_seq.pop(attempt.seq, None)
        state = self._services.get(call.service)
        if state is not None:
            state.picker.lost(attempt.target, attempt.seq, now)
        call.may_have_run_reason = reason
        call.add_attempt(now, attempt, f"maybe:{reason}", 0, 0)
        return self._retry(now, call, reason, 0.5)
