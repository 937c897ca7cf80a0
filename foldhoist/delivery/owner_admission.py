"""Checks that a call passes before an owner admits it; a rejected call is not run."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from foldhoist.delivery.shed_guard import SHEDS_ALL
from foldhoist.quarantine.table import QUARANTINED

if TYPE_CHECKING:
    from foldhoist.delivery.dispatch import Peer
    from foldhoist.delivery.quarantined_calls import QuarantinedCalls
    from foldhoist.delivery.shed_guard import ShedGuard
    from foldhoist.delivery.tickets import Tickets
    from foldhoist.delivery.upstream_status import UpstreamStatus
    from foldhoist.schema.messages import Dispatch


BODIES_FULL = "bodies-full"
"""Reason of a call whose body is not held."""
FULL_RETRY_S = 1.0
"""Time after which there may be room again, seconds."""


class Rejection(NamedTuple):
    """Why a call is not admitted, and after how many seconds to retry."""

    reason: str
    retry_after_s: float = FULL_RETRY_S


class OwnerAdmission:
    """Decides whether an owner admits a call; times are monotonic seconds."""

    def __init__(
        self,
        status: UpstreamStatus,
        tickets: Tickets,
        quarantined: QuarantinedCalls,
        shed_guard: ShedGuard,
    ) -> None:
        self._status = status
        self._tickets = tickets
        self._quarantined = quarantined
        self._shed_guard = shed_guard

    def rejection(self, now: float, peer: Peer, req: Dispatch, service: str) -> Rejection | None:
        """Return why a call is rejected, or None; `service` is the upstream's service."""
        if self._status.leaving:
            return Rejection(self._status.refusal)
        if req["service"] != service:
            return Rejection("not-my-service")
        if self._status.state == "down":
            return Rejection("upstream-down")
        if not peer.is_local and not self._tickets.has_room(req):
            return Rejection(BODIES_FULL)
        if remaining_s := self._quarantined.remaining_s(now, req):
            return Rejection(QUARANTINED, remaining_s)
        if self._shed_guard.refuses(now):
            return Rejection(SHEDS_ALL, self._shed_guard.retry_after_s(now))
        return None
