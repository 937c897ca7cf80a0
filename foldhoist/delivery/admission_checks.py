"""Checks that may refuse a request before its first attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.admission.completion import longest_run
from foldhoist.delivery.verdict import NotRun
from foldhoist.quarantine.table import Quarantine

if TYPE_CHECKING:
    from foldhoist.delivery.call import Call, CallerRequest
    from foldhoist.routing.routes import RouteMatch, RouteTable

DEFAULT_MAX_HOPS = 32
"""Deepest nesting of calls until a configuration sets it."""
DAEMON_LEAVING = "daemon-leaving"
"""Reason of a call that did not start early enough to end before this process does."""
DAEMON_STOPPED = "daemon-stopped"
"""Reason of a call that was at an upstream when this process had to end."""


class AdmissionChecks:
    """Decides whether a request gets any attempt; times are monotonic seconds.

    `stop_by` is when this process ends, infinity unless it stops.
    """

    def __init__(self, max_calls: int, quarantine: Quarantine | None = None) -> None:
        self.max_calls = max_calls
        self._quarantine = quarantine if quarantine is not None else Quarantine()
        self.max_hops = DEFAULT_MAX_HOPS
        self.stop_by = float("inf")
        self._long_calls_until = float("inf")

    def begin_shutdown(self, by: float, long_calls_until: float = float("-inf")) -> None:
        """Limit when calls may start, so that they end before the process does at `by`.

        A call that is cut off by the shutdown may have run, so that its caller cannot safely
        repeat it; one that did not start can be sent elsewhere. Until `long_calls_until`, calls may
        start even if they may take longer, since most of them end in time.
        """
        self.stop_by = by
        self._long_calls_until = long_calls_until

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

    def last_start(self, usual_s: float, deadline: float) -> float:
        """Return the latest time at which a call may start at an upstream, infinity for any time.

        `usual_s` is the usual time of such a call, 0 if it is not known. A call whose deadline
        comes before the end of the process may start at any time: its answer comes by then.
        """
        if deadline <= self.stop_by:
            return float("inf")
        if usual_s <= 0.0:
            return self._long_calls_until
        return max(self._long_calls_until, self.stop_by - longest_run(usual_s))
