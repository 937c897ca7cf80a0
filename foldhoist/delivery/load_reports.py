"""Unsolicited reports of an owner to ingresses: load, pace, crashes; no I/O."""

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
"""Most ingresses to which a change of pace or limit is reported, by most recent call.

Bounds the control traffic of an upstream whose pace or limit changes several times a second: with
2.5 changes a second and 68 bytes a report, 4 KB/s of the 10 KB/s that a daemon may use.
"""


class LoadReports:
    """Builds the reports of one owner; times are monotonic seconds.

    `now` is the time of the owner's latest event; ages and waits in a load are as of then.
    """

    def __init__(self, status: UpstreamStatus, queue: SlotQueue | DueQueue, peers: Peers) -> None:
        self._status = status
        self._queue = queue
        self._peers = peers
        self._trials_invited = 0
        self.now = 0.0

    def load(self) -> Load:
        """Return the current load."""
        return self._status.load(self._queue, self.now)

    def to_all(self) -> list[Action]:
        """Report the load to every ingress."""
        return self._send_to(self._peers.links())

    def invite_trial(self, now: float) -> list[Action]:
        """Invite one ingress to send a trial call, by reporting the state as warm to it alone.

        Each time another one of the ingresses with recent calls here is invited, or of all
        ingresses if none has any.
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
        """Report the load to ingresses with recent calls if the pace has changed."""
        if not self._status.take_pace_change():
            return []
        return self._send_to(self._peers.recently_used(now - PACE_KEPT_MS / 1000, MAX_PACE_REPORTS))

    def limit_change(self, now: float) -> list[Action]:
        """Report the load to ingresses with recent calls, as the rate limit has changed."""
        return self._send_to(self._peers.recently_used(now - PACE_KEPT_MS / 1000, MAX_PACE_REPORTS))

    def crashes(self, suspects: list[Suspect]) -> list[Action]:
        """Report suspected calls to every ingress, and have them passed on to other daemons."""
        if not suspects:
            return []
        frame = crashes_frame(suspects)
        return [*(SendTo(link, frame) for link in self._peers.links()), ShareSuspects(suspects)]

    def _send_to(self, links: list[int]) -> list[Action]:
        report = Frame("Report", {"load": self.load()})
        return [SendTo(link, report) for link in links]


def crashes_frame(suspects: list[Suspect]) -> Frame:
    """Return the message that reports calls suspected of crashing upstreams."""
    return Frame("Crashes", {"suspects": suspects, "spread": False})
