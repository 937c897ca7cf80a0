"""What an ingress was told that upstreams say of themselves, by which it is bound; no I/O.

It outlasts the owners' processes: an owner that has started again is told on the new connection,
before the first call on it. `now` is monotonic time in seconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.delivery.call import OwnerFrame, SendTo
from foldhoist.membership.incarnations import incarnation_of_said

if TYPE_CHECKING:
    from foldhoist.membership.incarnations import UpstreamIncarnation
    from foldhoist.schema.messages import Heard, Load, Said


MAX_OWNERS = 4096
"""Owners whose upstreams' signals are kept; the one that has been silent longest is dropped."""


class HeardSignals:
    """The latest signals of each upstream, by the name of its owner.

    `leaving` has the incarnations that have said that they are leaving. One without a name can't be
    told from the next one: there the owner's word counts.
    """

    def __init__(self) -> None:
        self.leaving: dict[str, UpstreamIncarnation] = {}
        self._said: dict[str, Said] = {}
        self._told_at: dict[str, float] = {}

    def record(self, now: float, owner: str, load: Load) -> None:
        """Store what the load of an owner says; an owner that knows nothing changes nothing."""
        said = load.get("said")
        if said is None:
            return
        self._said.pop(owner, None)
        self._said[owner] = said
        self._told_at[owner] = now
        if said.get("leaving") and said["instance"]:
            self.leaving[owner] = incarnation_of_said(said)
        if len(self._said) > MAX_OWNERS:
            self._forget(next(iter(self._said)))

    def tell(self, now: float, owner: str) -> list[SendTo]:
        """Return the message to an owner that may have started again, if it must know anything."""
        said = self._said.get(owner)
        if said is None:
            return []
        left = self.leaving.get(owner)
        if left is not None and left.is_same(incarnation_of_said(said)):
            said = {**said, "leaving": True}
        if "limit_per_s" not in said and not said.get("leaving"):
            return []
        heard: Heard = {"said": said, "age_ms": int((now - self._told_at[owner]) * 1000)}
        return [SendTo(owner, OwnerFrame("Heard", heard))]

    def _forget(self, owner: str) -> None:
        del self._said[owner], self._told_at[owner]
        self.leaving.pop(owner, None)
