"""The signals of the upstream beside an owner: a rate limit and its departure; no I/O.

An upstream sends signals in the headers of its answers. They apply to one incarnation of it.
Ingresses that have received them send them to an owner that has restarted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from foldhoist.membership.incarnations import UNNAMED, UpstreamIncarnation, incarnation_of_signals

if TYPE_CHECKING:
    from foldhoist.admission.rate_limit import RateLimit
    from foldhoist.schema.messages import SignalUpdate, UpstreamSignals

MAX_PENDING = 16
"""Incarnations not yet announced whose signals are kept."""


class AnswerSignals(NamedTuple):
    """The signals in one answer.

    `limit_per_s` is None if it has no limit, and `invalid_limit` a limit that cannot be parsed.
    """

    limit_per_s: float | None = None
    leaving: bool = False
    invalid_limit: str = ""


class LimitChanged(NamedTuple):
    """The upstream sends a limit, calls per second, that differs from the one `before`."""

    per_s: float
    before: float | None


class LimitEnded(NamedTuple):
    """The upstream sends no limit any more, `after_s` seconds after it began to."""

    per_s: float
    after_s: float


class LimitInvalid(NamedTuple):
    """The upstream sends a limit that cannot be parsed; the last valid one stays in force."""

    value: str


class Leaving(NamedTuple):
    """The upstream signals that it is leaving."""

    incarnation: UpstreamIncarnation


SignalChange: TypeAlias = LimitChanged | LimitEnded | LimitInvalid | Leaving


class SignalState:
    """The signals of the current incarnation; times are monotonic seconds."""

    def __init__(self, limit: RateLimit) -> None:
        self.limit = limit
        self.incarnation = UNNAMED
        self.leaving = False
        self._updated_at = float("-inf")
        self._changed_at = 0.0
        self._began_at = 0.0
        self._had_limit = False
        self._unlimited_at = float("-inf")
        self._pending: dict[UpstreamIncarnation, tuple[UpstreamSignals, float]] = {}

    def replaced(
        self, now: float, incarnation: UpstreamIncarnation, began: float
    ) -> list[SignalChange]:
        """Reset the state for a new incarnation, and apply the pending signals of that one."""
        self.incarnation = incarnation
        self.limit.reset()
        self.leaving = False
        self._updated_at = float("-inf")
        self._had_limit = False
        self._unlimited_at = float("-inf")
        pending, self._pending = self._pending, {}
        changes: list[SignalChange] = []
        for known, (signals, at) in pending.items():
            if known.is_same(incarnation):
                changes += self._merge_current(now, signals, at, began)
        return changes

    def answered(self, now: float, signals: AnswerSignals) -> list[SignalChange]:
        """Apply the signals in an answer of the current incarnation."""
        self._updated_at = now
        changes: list[SignalChange] = []
        if signals.invalid_limit:
            changes.append(LimitInvalid(signals.invalid_limit))
        elif signals.limit_per_s is None:
            self._unlimited_at = now
            changes += self._end_limit(now)
        else:
            changes += self._set_limit(now, signals.limit_per_s)
        if signals.leaving:
            changes += self._set_leaving()
        return changes

    def merge(self, now: float, update: SignalUpdate, began: float) -> list[SignalChange]:
        """Merge the signals known to an ingress, unless a later answer has replaced them.

        `began` is when this owner's process started: an earlier one may have started calls before.
        """
        signals, at = update["signals"], now - update["age_ms"] / 1000
        incarnation = incarnation_of_signals(signals)
        if incarnation.is_same(self.incarnation):
            return self._merge_current(now, signals, at, began)
        self._keep_pending(incarnation, signals, at)
        return []

    def message(self, now: float, queued: int) -> UpstreamSignals | None:
        """Return the signals for ingresses, None if the upstream has not sent any.

        `queued` calls wait before a call that arrives now.
        """
        if not self._had_limit and not self.leaving:
            return None
        signals: UpstreamSignals = {
            "instance": self.incarnation.instance,
            "born_ms": self.incarnation.born_ms,
        }
        if self.leaving:
            signals["leaving"] = True
        if self.limit.per_s is not None:
            signals["limit_per_s"] = self.limit.per_s
            signals["limit_age_ms"] = int((now - self._changed_at) * 1000)
            wait_s = self.limit.ready_at(now, queued) - now
            if wait_s > 0.0:
                signals["wait_ms"] = int(wait_s * 1000) + 1
        return signals

    def _keep_pending(
        self, incarnation: UpstreamIncarnation, signals: UpstreamSignals, at: float
    ) -> None:
        """Keep the latest signals of an incarnation not announced yet; a departure is kept."""
        before, before_at = self._pending.get(incarnation, (signals, at))
        latest = signals if before_at <= at else before
        if before.get("leaving") or signals.get("leaving"):
            latest = {**latest, "leaving": True}
        self._pending[incarnation] = (latest, max(at, before_at))
        while len(self._pending) > MAX_PENDING:
            del self._pending[next(iter(self._pending))]

    def _merge_current(
        self, now: float, signals: UpstreamSignals, at: float, began: float
    ) -> list[SignalChange]:
        changes: list[SignalChange] = []
        if signals.get("leaving", False):
            changes += self._set_leaving()
        if at <= self._updated_at:
            return changes
        self._updated_at = at
        limit_per_s = signals.get("limit_per_s")
        if limit_per_s is None:
            return changes + self._end_limit(now)
        was_active = self.limit.active
        self._had_limit = True
        changes += self._set_limit(now, limit_per_s)
        if not was_active:
            limited_at = at - signals.get("limit_age_ms", 0) / 1000
            self.limit.assume_starts(now, limited_at, min(now, began))
        return changes

    def _set_limit(self, now: float, per_s: float) -> list[SignalChange]:
        before = self.limit.per_s
        if before == per_s:
            return []
        unlimited_at = float("-inf") if self._had_limit else self._unlimited_at
        self.limit.set(now, per_s, unlimited_at)
        self._had_limit = True
        self._changed_at = now
        if before is None:
            self._began_at = now
        return [LimitChanged(per_s, before)]

    def _end_limit(self, now: float) -> list[SignalChange]:
        per_s = self.limit.per_s
        if per_s is None:
            return []
        self.limit.end()
        return [LimitEnded(per_s, now - self._began_at)]

    def _set_leaving(self) -> list[SignalChange]:
        if self.leaving:
            return []
        self.leaving = True
        return [Leaving(self.incarnation)]
