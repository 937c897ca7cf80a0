"""Limits when calls may start while their ingress stops, so that none is cut off; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.delivery.call import OwnerFrame, SendTo, Timer

if TYPE_CHECKING:
    from foldhoist.delivery.admission_checks import AdmissionChecks
    from foldhoist.delivery.call import Action, Call
    from foldhoist.delivery.call_table import CallTable
    from foldhoist.delivery.services import Services


class ShutdownLimits:
    """The latest starts of an ingress's calls; times are monotonic seconds."""

    def __init__(self, admission: AdmissionChecks, services: Services, calls: CallTable) -> None:
        self._admission = admission
        self._services = services
        self._calls = calls

    def begin(self, by: float, long_calls_until: float) -> None:
        """Limit the starts of all calls; see `AdmissionChecks.begin_shutdown`."""
        self._admission.begin_shutdown(by, long_calls_until)
        for call in self._calls:
            self.schedule(call)

    def schedule(self, call: Call) -> None:
        """Set the timer at which a call that still waits is withdrawn, if it has one."""
        last_start = self.last_start(call)
        if last_start < call.deadline:
            self._calls.schedule(last_start, call, Timer.LAST_START)

    def last_start(self, call: Call) -> float:
        """Return the latest time at which a call may start at an upstream."""
        if call.deadline <= self._admission.stop_by:
            return float("inf")
        state = self._services.get(call.service)
        usual_s = state.picker.times.mean(call.route) if state is not None else 0.0
        return self._admission.last_start(usual_s, call.deadline)


def withdraw_waiting(call: Call) -> list[Action]:
    """Return messages that withdraw a call from its owners unless it has started there."""
    return [
        SendTo(attempt.target, OwnerFrame("Withdraw", {"seq": seq, "only_waiting": True}))
        for seq, attempt in call.pending.items()
    ]
