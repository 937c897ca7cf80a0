"""What an owner knows of its upstream: announcement, state, pace, error share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.admission.completion import longest_run
from foldhoist.admission.shedding import Shedding
from foldhoist.delivery.signal_state import SignalState
from foldhoist.membership.incarnations import incarnation_of
from foldhoist.routing.sampling import is_change

if TYPE_CHECKING:
    from foldhoist.admission.due import DueQueue
    from foldhoist.admission.rate_limit import RateLimit
    from foldhoist.admission.slots import SlotQueue
    from foldhoist.schema.messages import Announced, Load

ERROR_SMOOTHING = 0.1
"""Weight of the newest result in the moving average of errors."""
USUAL_PACE = 100
"""Pace of an upstream at its usual speed, percent."""
PACE_KEPT_MS = 2000
"""How long a reported pace stays valid while the pace is sampled, milliseconds.

Changes are not reported to ingresses without calls here for as long.
"""
REPLACED = "upstream-replaced"
"""Reason of refusals while another incarnation of an upstream answers at the address.

It would reject every call, and each attempt would use up retry budget.
"""
EVACUATED = "data-centre-evacuated"
"""Reason of refusals while the data centre is evacuated."""
LEAVING_SIGNAL = "answers"
"""Source of a departure that the upstream signals in its answers."""
LEAVING_QUEUE_S = 0.8
"""How long waiting calls may still start after the upstream announces that it leaves, seconds."""


class UpstreamStatus:
    """State of one upstream, as announced and observed; times are monotonic seconds."""

    def __init__(self, limit: RateLimit) -> None:
        self.state = "warm"
        self.signals = SignalState(limit)
        self.replacements = 0
        self.upstream: Announced | None = None
        self.pace = 0
        self.errors = 0.0
        self.leaving_sources: dict[str, bool] = {}
        self._process_start_at = float("inf")
        self._leaving_start_at = float("inf")
        self.pace_sampled = False
        self.cold = False
        self.shedding = Shedding()
        self._reported_pace = 0
        self._answered_any = False

    @property
    def leaving(self) -> bool:
        """Return whether any source reports that the upstream is leaving."""
        return bool(self.leaving_sources)

    @property
    def last_start_at(self) -> float:
        """Return the latest time at which a call may start, monotonic seconds.

        It is infinity unless the upstream is leaving or this process stops.
        """
        return min(self._leaving_start_at, self._process_start_at)

    @property
    def refusal(self) -> str:
        """Return the reason with which a leaving upstream's calls are refused."""
        for reason in (REPLACED, EVACUATED):
            if reason in self.leaving_sources:
                return reason
        return "upstream-leaving"

    @property
    def instance(self) -> str:
        """Return the upstream's instance name, empty if it has not announced itself.

        Names are not unique: another incarnation may have the same one.
        """
        return self.upstream["instance"] if self.upstream is not None else ""

    def set_state(self, state: str) -> bool:
        """Set the observed state; returns whether it changed.

        It is ignored while the upstream itself reports that it is leaving.
        """
        if self.leaving_sources.get("upstream"):
            return False
        if state == "leaving":
            return self.set_leaving("upstream")
        before, self.state = self.state, state
        return before != state

    def is_new_incarnation(self, upstream: Announced) -> bool:
        """Return whether the announcement is of another incarnation than the last one."""
        before = self.upstream
        return before is None or not incarnation_of(before).is_same(incarnation_of(upstream))

    def announce(self, now: float, upstream: Announced) -> bool:
        """Apply an announcement; returns whether the upstream changed its service."""
        before = self.upstream
        new_incarnation = self.is_new_incarnation(upstream)
        self.upstream = upstream
        if new_incarnation:
            self.state = "warm"
            self.pace = 0
            self.errors = 0.0
            self.shedding = Shedding()
            self.leaving_sources.pop("upstream", None)
            self.leaving_sources.pop(REPLACED, None)
            self.leaving_sources.pop(LEAVING_SIGNAL, None)
            self.replacements += 1
            # The deadline applied to the previous incarnation only.
            self._leaving_start_at = float("inf")
        if upstream["state"] != "ready":
            self.stop_starting(now)
        return before is not None and before["service"] != upstream["service"]

    def stop_starting(self, now: float) -> None:
        """Let waiting calls start for `LEAVING_QUEUE_S` more, as the upstream is leaving."""
        self._leaving_start_at = min(self._leaving_start_at, now + LEAVING_QUEUE_S)

    def begin_shutdown(self, by: float, service_s: float) -> None:
        """Let no call start that may not end before this process does at `by`.

        `service_s` is the usual time of a call at the upstream.
        """
        self._process_start_at = by - longest_run(service_s)

    def set_leaving(self, source: str) -> bool:
        """Add a source that reports the upstream as leaving; returns whether it is a new one."""
        if self.leaving_sources.get(source):
            return False
        self.leaving_sources[source] = True
        return True

    def clear_leaving(self, source: str) -> bool:
        """Remove a source; returns whether it had reported the upstream as leaving."""
        if not self.leaving_sources.pop(source, False):
            return False
        if not self.leaving_sources:
            self._leaving_start_at = float("inf")
        return True

    def answered(self, status: int) -> None:
        """Count a complete answer; one of a shedding or cold upstream makes it warm."""
        failed = 1.0 if status >= 500 else 0.0
        self.errors += ERROR_SMOOTHING * (failed - self.errors)
        self._answered_any = True
        if self.state in ("shedding", "cold"):
            self.state = "warm"

    def failed(self) -> None:
        """Count a call without a complete answer as an error."""
        self.errors += ERROR_SMOOTHING * (1.0 - self.errors)

    def take_pace_change(self) -> bool:
        """Return whether the pace changed since the last report, and mark it as reported if so.

        Only a ratio of at least `CHANGE_FACTOR` counts; before any report, to the usual pace.
        """
        if not self.pace:
            return False
        if not is_change(self.pace, self._reported_pace or USUAL_PACE):
            return False
        self._reported_pace = self.pace
        return True

    def load(self, queue: SlotQueue | DueQueue, now: float) -> Load:
        """Return the current load, as sent to ingresses."""
        load: Load = {
            "busy": queue.busy,
            "queued": queue.queued,
            "slots": queue.limits.slots,
            "service_us": int(queue.service_s * 1e6) if self._answered_any else 0,
            "errors": round(self.errors, 3),
            "state": self._reported_state(),  # type: ignore[typeddict-item]
        }
        if self.pace:
            load["pace"] = self.pace
            if self.pace_sampled:
                load["pace_kept_ms"] = PACE_KEPT_MS
        signals = self.signals.message(now, queue.queued)
        if signals is not None:
            load["signals"] = signals
        return load

    def _reported_state(self) -> str:
        if self.leaving:
            return "leaving"
        if self.shedding.sheds_all and self.state != "down":
            return "refusing"
        return "cold" if self.cold and self.state == "warm" else self.state
