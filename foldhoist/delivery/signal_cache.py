"""The latest signals of upstreams, as an ingress knows them from their owners; no I/O.

An ingress is bound by the signals in the answers that it has passed to callers. The cache outlasts
the owners' processes: a restarted owner receives its entry before the first call on the connection.
`now` is monotonic time in seconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.delivery.call import OwnerFrame, SendTo
from foldhoist.membership.incarnations import incarnation_of_signals

if TYPE_CHECKING:
    from foldhoist.membership.incarnations import UpstreamIncarnation
    from foldhoist.schema.messages import Load, SignalUpdate, UpstreamSignals

MAX_OWNERS = 4096
"""Owners whose signals are kept; the entry that was updated longest ago is dropped."""


class SignalCache:
    """Signals by the name of the owner.

    `leaving` has the incarnations that have signalled that they are leaving. An incarnation without
    a name cannot be distinguished from the next one, so it is not included.
    """

    def __init__(self) -> None:
        self.leaving: dict[str, UpstreamIncarnation] = {}
        self._signals: dict[str, UpstreamSignals] = {}
        self._updated_at: dict[str, float] = {}

    def record(self, now: float, owner: str, load: Load) -> None:
        """Store the signals in a load; a load without signals changes nothing."""
        signals = load.get("signals")
        if signals is None:
            return
        self._signals.pop(owner, None)
        self._signals[owner] = signals
        self._updated_at[owner] = now
        if signals.get("leaving") and signals["instance"]:
            self.leaving[owner] = incarnation_of_signals(signals)
        if len(self._signals) > MAX_OWNERS:
            self._drop(next(iter(self._signals)))

    def update_for(self, now: float, owner: str) -> list[SendTo]:
        """Return the message for a newly connected owner, if there is a limit or a departure."""
        signals = self._signals.get(owner)
        if signals is None:
            return []
        left = self.leaving.get(owner)
        if left is not None and left.is_same(incarnation_of_signals(signals)):
            signals = {**signals, "leaving": True}
        if "limit_per_s" not in signals and not signals.get("leaving"):
            return []
        age_ms = int((now - self._updated_at[owner]) * 1000)
        update: SignalUpdate = {"signals": signals, "age_ms": age_ms}
        return [SendTo(owner, OwnerFrame("SignalUpdate", update))]

    def _drop(self, owner: str) -> None:
        del self._signals[owner], self._updated_at[owner]
        self.leaving.pop(owner, None)
