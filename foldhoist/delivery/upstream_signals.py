"""What the upstream beside an owner says of itself in its answers: a limit, that it leaves; no I/O.

Every word belongs to one incarnation of the upstream. The owner hears it first; ingresses that were
told stay bound by it, and tell an owner that has started again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from foldhoist.membership.incarnations import UNNAMED, UpstreamIncarnation, incarnation_of_said

if TYPE_CHECKING:
    from foldhoist.admission.rate_limit import RateLimit
    from foldhoist.schema.messages import Heard, Said

MAX_PENDING = 16
"""Incarnations not yet announced of which the word of ingresses is kept."""


class Signals(NamedTuple):
    """What one answer says; `fault` is a limit that cannot be read, as it was sent."""

    limit_per_s: float | None = None
    leaving: bool = False
    fault: str = ""


class LimitNamed(NamedTuple):
    """The upstream names a limit, calls a second, or another one than `before`."""

    per_s: float
    before: float | None


class LimitEnded(NamedTuple):
    """The upstream names no limit any more, `after_s` seconds after it first named one."""

    per_s: float
    after_s: float


class LimitUnreadable(NamedTuple):
    """The upstream names something that is no limit; what it named before stays."""

    value: str


class Leaving(NamedTuple):
    """The upstream says that it is leaving."""

    incarnation: UpstreamIncarnation


SignalChange: TypeAlias = LimitNamed | LimitEnded | LimitUnreadable | Leaving


class UpstreamSignals:
    """The signals of the current incarnation; times are monotonic seconds."""

    def __init__(self, limit: RateLimit) -> None:
        self.limit = limit
        self.incarnation = UNNAMED
        self.leaving = False
        self._heard_at = float("-inf")
        self._named_at = 0.0
        self._first_named_at = 0.0
        self._ever_named = False
        self._pending: dict[UpstreamIncarnation, tuple[Said, float]] = {}

    def replaced(
        self, now: float, incarnation: UpstreamIncarnation, began: float
    ) -> list[SignalChange]:
        """Forget what the former incarnation said; apply what ingresses know of this one."""
        self.incarnation = incarnation
        self.limit.reset()
        self.leaving = False
        self._heard_at = float("-inf")
        self._ever_named = False
        pending, self._pending = self._pending, {}
        changes: list[SignalChange] = []
        for known, (said, at) in pending.items():
            if known.is_same(incarnation):
                changes += self._learn(now, said, at, began)
        return changes

    def answered(self, now: float, signals: Signals) -> list[SignalChange]:
        """Apply what an answer of the current incarnation says."""
        self._heard_at = now
        changes: list[SignalChange] = []
        if signals.fault:
            changes.append(LimitUnreadable(signals.fault))
        elif signals.limit_per_s is None:
            changes += self._end(now)
        else:
            changes += self._name(now, signals.limit_per_s)
        if signals.leaving:
            changes += self._leave()
        return changes

    def told(self, now: float, heard: Heard, began: float) -> list[SignalChange]:
        """Apply what an ingress was told, unless an answer has said more since.

        `began` is when this owner's process started: an earlier one may have started calls before.
        """
        said, at = heard["said"], now - heard["age_ms"] / 1000
        incarnation = incarnation_of_said(said)
        if incarnation.is_same(self.incarnation):
            return self._learn(now, said, at, began)
        self._keep_pending(incarnation, said, at)
        return []

    def said(self, now: float, queued: int) -> Said | None:
        """Return what ingresses are told, None if the upstream has said nothing yet.

        `queued` calls wait before a call that comes now.
        """
        if not self._ever_named and not self.leaving:
            return None
        said: Said = {"instance": self.incarnation.instance, "born_ms": self.incarnation.born_ms}
        if self.leaving:
            said["leaving"] = True
        if self.limit.per_s is not None:
            said["limit_per_s"] = self.limit.per_s
            said["limit_age_ms"] = int((now - self._named_at) * 1000)
            wait_s = self.limit.ready_at(now, queued) - now
            if wait_s > 0.0:
                said["wait_ms"] = int(wait_s * 1000) + 1
        return said

    def _keep_pending(self, incarnation: UpstreamIncarnation, said: Said, at: float) -> None:
        """Keep the latest word on an incarnation; that it is leaving holds for good."""
        before, told_at = self._pending.get(incarnation, (said, at))
        latest = said if told_at <= at else before
        if before.get("leaving") or said.get("leaving"):
            latest = {**latest, "leaving": True}
        self._pending[incarnation] = (latest, max(at, told_at))
        while len(self._pending) > MAX_PENDING:
            del self._pending[next(iter(self._pending))]

    def _learn(self, now: float, said: Said, at: float, began: float) -> list[SignalChange]:
        changes: list[SignalChange] = []
        if said.get("leaving", False):
            changes += self._leave()
        if at <= self._heard_at:
            return changes
        self._heard_at = at
        limit_per_s = said.get("limit_per_s")
        if limit_per_s is None:
            return changes + self._end(now)
        was_active = self.limit.active
        self._ever_named = True
        changes += self._name(now, limit_per_s)
        if not was_active:
            self.limit.assume_starts(now, min(now, began))
        return changes

    def _name(self, now: float, per_s: float) -> list[SignalChange]:
        before = self.limit.per_s
        if before == per_s:
            return []
        self.limit.set(now, per_s, first=not self._ever_named)
        self._ever_named = True
        self._named_at = now
        if before is None:
            self._first_named_at = now
        return [LimitNamed(per_s, before)]

    def _end(self, now: float) -> list[SignalChange]:
        per_s = self.limit.per_s
        if per_s is None:
            return []
        self.limit.end()
        return [LimitEnded(per_s, now - self._first_named_at)]

    def _leave(self) -> list[SignalChange]:
        if self.leaving:
            return []
        self.leaving = True
        return [Leaving(self.incarnation)]
