"""What an owner tells ingresses unasked: its load, to all or to those that it concerns; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.delivery.dispatch import Frame, SendTo, ShareSuspects
from foldhoist.delivery.standing import PACE_KEPT_MS

if TYPE_CHECKING:
    from foldhoist.admission.due import DueQueue
    from foldhoist.admission.slots import SlotQueue
    from foldhoist.delivery.dispatch import Action
    from foldhoist.delivery.peers import Peers
    from foldhoist.delivery.standing import Standing
    from foldhoist.schema.messages import Load, Suspect

MOST_TOLD = 24
"""Ingresses that are told of a change of the pace, those with the newest calls first.

A report takes 28 bytes of a warm connection (mean of 150) and 40 of headers. A pace that is drawn
anew every 150 ms and slow a quarter of the time changes 2.5 times a second: 4 KB/s, of 10 KB/s that
a daemon has for control.
"""


class Telling:
    """Reports of one owner; times are monotonic seconds."""

    def __init__(self, standing: Standing, queue: SlotQueue | DueQueue, peers: Peers) -> None:
        self._standing = standing
        self._queue = queue
        self._peers = peers
        self._invited = 0

    def load(self) -> Load:
        """Return the load as it is now."""
        return self._standing.load(self._queue)

    def all(self) -> list[Action]:
        """Tell every ingress."""
        return self._to(self._peers.links())

    def invite(self, now: float) -> list[Action]:
        """Ask one ingress for a call, by telling it alone that the upstream takes calls.

        Those that have had calls here lately are asked in turn.
        """
        links = self._peers.users(now - PACE_KEPT_MS / 1000, MOST_TOLD) or self._peers.links()
        if not links:
            return []
        self._invited += 1
        load: Load = {**self.load(), "state": "warm"}
        return [SendTo(links[self._invited % len(links)], Frame("Report", {"load": load}))]

    def pace(self, now: float) -> list[Action]:
        """Tell the pace, if it is news, to the ingresses that have had calls here of late."""
        if not self._standing.is_pace_news():
            return []
        return self._to(self._peers.users(now - PACE_KEPT_MS / 1000, MOST_TOLD))

    def crashes(self, suspects: list[Suspect]) -> list[Action]:
        """Tell every ingress, and have others told, what is new of calls that end upstreams."""
        if not suspects:
            return []
        told = crashes_frame(suspects)
        return [*(SendTo(link, told) for link in self._peers.links()), ShareSuspects(suspects)]

    def _to(self, links: list[int]) -> list[Action]:
        report = Frame("Report", {"load": self.load()})
        return [SendTo(link, report) for link in links]


def crashes_frame(suspects: list[Suspect]) -> Frame:
    """Return the message that tells an ingress of calls that end upstreams."""
    return Frame("Crashes", {"suspects": suspects, "spread": False})
