"""Checks that may refuse a request before its first attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.delivery.verdict import NotRun
from foldhoist.quarantine.table import Quarantine

if TYPE_CHECKING:
    from foldhoist.delivery.call import Call, CallerRequest
    from foldhoist.routing.routes import RouteMatch, RouteTable

DEFAULT_MAX_HOPS = 32
"""Deepest nesting of calls until a configuration sets it."""
MAX_SLOWDOWN = 5.0
"""A call is assumed to take up to this many times its usual time when a shutdown is due."""


class AdmissionChecks:
    """Decides whether a request gets any attempt; times are monotonic seconds."""

    def __init__(self, max_calls: int, quarantine: Quarantine | None = None) -> None:
        self.max_calls = max_calls
        self._quarantine = quarantine if quarantine is not None else Quarantine()
        self.max_hops = DEFAULT_MAX_HOPS
        self._stop_by = float("inf")

    def begin_shutdown(self, by: float) -> None:
        """Refuse calls from now on that may not end before the process does.

        A call that is cut off by the shutdown may have run, so that its caller cannot safely
        repeat it; one refused before its first attempt can be sent elsewhere.
        """
        self._stop_by = by

    def refusal(
        self, req: CallerRequest, routes: RouteTable | None, routed: RouteMatch | None, calls: int
    ) -> NotRun | None:
        """Return why a request is refused, or None; `calls` counts those without a final answer."""
        if routes is None:
            return NotRun("no-configuration", 1.0)
        if calls >= self.max_calls:
            return NotRun("daemon-full", 0.1)
        if routed is None:
            return NotRun("no-such-service", 0.0, status=404)
        if req.hops > self.max_hops:
            return NotRun("nested-too-deep", 0.0, status=508)
        if req.budget_s < 0:
            return NotRun("deadline-passed", 0.0, status=504)
        return None

    def quarantined_s(self, now: float, call: Call) -> float:
        """Return for how long calls of this identity stay quarantined, seconds; 0 if not at all.

        Upstreams have crashed while running such calls.
        """
        if not self._quarantine.active:
            return 0.0
        return self._quarantine.remaining_s(now, call.identity)

    def is_suspect(self, call: Call) -> bool:
        """Return whether a crash during a call of this identity is not refuted by an answer."""
        return self._quarantine.is_suspect(call.identity)

    def may_outlast_process(self, now: float, usual_s: float, budget_s: float) -> bool:
        """Return whether a call may outlast this process; `usual_s` is 0 if it is not known."""
        return now + min(budget_s, usual_s * MAX_SLOWDOWN) > self._stop_by
