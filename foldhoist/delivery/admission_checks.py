"""Which requests an ingress refuses before any attempt: nothing of them has run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.delivery.verdict import NotRun
from foldhoist.quarantine.table import Quarantine

if TYPE_CHECKING:
    from foldhoist.delivery.call import Call, CallerRequest
    from foldhoist.routing.routes import RouteMatch, RouteTable

DEFAULT_MAX_HOPS = 32
"""Deepest nesting of calls until a configuration says it."""
MAX_SLOWDOWN = 5.0
"""How many times its usual time a call is given to end before its ingress does.

A noisy neighbour makes work up to this much longer on the deployments measured.
"""


class AdmissionChecks:
    """What decides whether a request gets any attempt; times are monotonic seconds."""

    def __init__(self, max_calls: int, quarantine: Quarantine | None = None) -> None:
        self.max_calls = max_calls
        self._quarantine = quarantine if quarantine is not None else Quarantine()
        self.max_hops = DEFAULT_MAX_HOPS
        self._stop_by = float("inf")

    def begin_shutdown(self, by: float) -> None:
        """Refuse from now on what may take until after the end of this process.

        A call that is cut off by the end of its ingress may have run, and its caller cannot send
        it again; one refused at the door can go elsewhere.
        """
        self._stop_by = by

    def refusal(
        self, req: CallerRequest, routes: RouteTable | None, routed: RouteMatch | None, calls: int
    ) -> NotRun | None:
        """Return why a request gets no attempt, or None; `calls` have no final answer yet."""
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
        """Return for how long a call like this is refused, seconds; 0 if it may run.

        Upstreams have ended under such calls, and another one would.
        """
        if not self._quarantine.holding:
            return 0.0
        return self._quarantine.held_s(now, call.identity)

    def is_suspect(self, call: Call) -> bool:
        """Return whether an upstream has ended with a call like this at work."""
        return self._quarantine.is_suspect(call.identity)

    def may_outlast_process(self, now: float, usual_s: float, budget_s: float) -> bool:
        """Return whether a call may outlast this process; `usual_s` is 0 if nothing is known."""
        return now + min(budget_s, usual_s * MAX_SLOWDOWN) > self._stop_by
