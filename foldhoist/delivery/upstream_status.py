"""What an owner knows of its upstream: announced, leaving, failing, slow."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.admission.shedding import Shedding
from foldhoist.membership.lives import life_of
from foldhoist.routing.sampling import is_change

if TYPE_CHECKING:
    from foldhoist.admission.due import DueQueue
    from foldhoist.admission.slots import SlotQueue
    from foldhoist.schema.messages import Announced, Load

ERROR_SMOOTHING = 0.1
"""Weight of the newest answer in the share of errors."""
USUAL_PACE = 100
"""Pace of an upstream that works as usual, percent."""
PACE_KEPT_MS = 2000
"""While the pace is watched, what was told holds this long without another word, milliseconds.

Ingresses that have had no call here for as long are not told of changes.
"""
REPLACED = "upstream-replaced"
"""Why calls are refused while another life of an upstream answers at the address.

None that is offered there will run, but each is an arrival, which the retry budget pays for.
"""
EVACUATED = "data-centre-evacuated"
"""Why calls are refused while an operator has the data centre evacuated."""
LEAVING_QUEUE_S = 0.8
"""Calls that wait when the upstream begins to leave may still start for this long, seconds."""


class UpstreamStatus:
    """The upstream as its owner sees it; times are monotonic seconds."""

    def __init__(self) -> None:
        self.state = "warm"
        self.upstream: Announced | None = None
        self.pace = 0
        self.errors = 0.0
        self.leaving_sources: dict[str, bool] = {}
        self.last_start_at = float("inf")
        self.watched = False
        self.cold = False
        self.shedding = Shedding()
        self._reported_pace = 0
        self._answered_any = False

    @property
    def leaving(self) -> bool:
        """Return whether the upstream takes no new work."""
        return bool(self.leaving_sources)

    @property
    def refusal(self) -> str:
        """Return why an upstream that takes no new work is not offered a call."""
        for reason in (REPLACED, EVACUATED):
            if reason in self.leaving_sources:
                return reason
        return "upstream-leaving"

    @property
    def instance(self) -> str:
        """Return the name by which the upstream is called, empty if it has none.

        Another life may have the same; only what it announces tells them apart.
        """
        return self.upstream["instance"] if self.upstream is not None else ""

    def set_state(self, state: str) -> bool:
        """Take in a state that was seen; returns whether it is news. Who leaves stays leaving."""
        if self.leaving_sources.get("upstream"):
            return False
        if state == "leaving":
            return self.set_leaving("upstream")
        before, self.state = self.state, state
        return before != state

    def is_new_incarnation(self, upstream: Announced) -> bool:
        """Return whether this is another life than the one known."""
        before = self.upstream
        return before is None or not life_of(before).is_same(life_of(upstream))

    def announce(self, now: float, upstream: Announced) -> bool:
        """Take in what it says of itself; returns whether it runs another service than before."""
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
            # The leaving of the life before binds that life alone.
            self.last_start_at = float("inf")
        if upstream["state"] != "ready":
            self.last_start_at = min(self.last_start_at, now + LEAVING_QUEUE_S)
        return before is not None and before["service"] != upstream["service"]

    def set_leaving(self, source: str) -> bool:
        """Take in that `source` says that it is leaving; returns whether that is news."""
        if self.leaving_sources.get(source):
            return False
        self.leaving_sources[source] = True
        return True

    def clear_leaving(self, source: str) -> bool:
        """Take back what `source` said; returns whether it had said so."""
        if not self.leaving_sources.pop(source, False):
            return False
        if not self.leaving_sources:
            self.last_start_at = float("inf")
        return True

    def answered(self, status: int) -> None:
        """Count an answer."""
        failed = 1.0 if status >= 500 else 0.0
        self.errors += ERROR_SMOOTHING * (failed - self.errors)
        self._answered_any = True
        if self.state in ("shedding", "cold"):
            self.state = "warm"

    def failed(self) -> None:
        """Count a call without a whole answer."""
        self.errors += ERROR_SMOOTHING * (1.0 - self.errors)

    def take_pace_change(self) -> bool:
        """Return whether the pace is another one than was last told; it counts as told then."""
        if not self.pace:
            return False
        if not is_change(self.pace, self._reported_pace or USUAL_PACE):
            return False
        self._reported_pace = self.pace
        return True

    def load(self, queue: SlotQueue | DueQueue) -> Load:
        """Return the load as it is now."""
        load: Load = {
            "busy": queue.busy,
            "queued": queue.queued,
            "slots": queue.shape.slots,
            "service_us": int(queue.service_s * 1e6) if self._answered_any else 0,
            "errors": round(self.errors, 3),
            "state": self._reported_state(),  # type: ignore[typeddict-item]
        }
        if self.pace:
            load["pace"] = self.pace
            if self.watched:
                load["pace_kept_ms"] = PACE_KEPT_MS
        return load

    def _reported_state(self) -> str:
        if self.leaving:
            return "leaving"
        if self.shedding.all and self.state != "down":
            return "refusing"
        return "cold" if self.cold and self.state == "warm" else self.state
