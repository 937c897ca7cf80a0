"""What an owner tells ingresses unasked: its load, to all or to those that it concerns; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.delivery.dispatch import Frame, SendTo, ShareSuspects
from foldhoist.delivery.upstream_status import PACE_KEPT_MS

if TYPE_CHECKING:
    from foldhoist.admission.due import DueQueue
    from foldhoist.admission.slots import SlotQueue
    from foldhoist.delivery.dispatch import Action
    from foldhoist.delivery.peers import Peers
    from foldhoist.delivery.upstream_status import UpstreamStatus
    from foldhoist.schema.messages import Load, Suspect

MAX_PACE_REPORTS = 24
"""Ingresses that are told of a change of the pace, those with the newest calls first.

A report takes 28 bytes of a warm connection (mean of 150) and 40 of headers. A pace that is drawn
anew every 150 ms and slow a quarter of the time changes 2.5 times a second: 4 KB/s, of 10 KB/s that
a daemon has for control.
"""


class LoadReports:
    """Reports of one owner; times are monotonic seconds."""

    def __init__(self, status: UpstreamStatus, queue: SlotQueue | DueQueue, peers: Peers) -> None:
        self._status = status
        self._queue = queue
        self._peers = peers
        self._trials_invited = 0

    def load(self) -> Load:
        """Return the load as it is now."""
        return self._status.load(self._queue)

    def to_all(self) -> list[Action]:
        """Tell every ingress."""
        return self._to(self._peers.links())

    def invite_trial(self, now: float) -> list[Action]:
        """Ask one ingress for a call, by telling it alone that the upstream takes calls.

        Those that have had calls here lately are asked in turn.
        """
        links = (
            self._peers.recently_used(now - PACE_KEPT_MS / 1000, MAX_PACE_REPORTS)
            or self._peers.links()
        )
        if not links:
            return []
        self._trials_invited += 1
        load: Load = {**self.load(), "state": "warm"}
        return [SendTo(links[self._trials_invited % len(links)], Frame("Report", {"load": load}))]

    def pace_change(self, now: float) -> list[Action]:
        """Tell the pace, if it is news, to the ingresses that have had calls here of late."""
        if not self._status.take_pace_change():
            return []
        return self._to(self._peers.recently_used(now - PACE_KEPT_MS / 1000, MAX_PACE_REPORTS))

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
