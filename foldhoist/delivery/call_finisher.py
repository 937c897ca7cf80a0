"""Ends calls at an owner: sends results to all ingresses that wait for them; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.delivery import replies
from foldhoist.delivery.dispatch import LOCAL_LINK, Frame, SendTo
from foldhoist.delivery.joined import JoinedCalls
from foldhoist.delivery.peers import fate_without_result
from foldhoist.delivery.refusal_log import RefusalLog
from foldhoist.delivery.verdict import Response

if TYPE_CHECKING:
    from foldhoist.delivery.dispatch import Action, Complete, Counters, Peer, Ticket
    from foldhoist.delivery.keys import KeyTable
    from foldhoist.delivery.load_reports import LoadReports
    from foldhoist.delivery.peers import Peers
    from foldhoist.delivery.tickets import Tickets
    from foldhoist.schema.messages import Dispatch


class CallFinisher:
    """Ends calls: removes their tickets and sends results to all that wait for them."""

    def __init__(
        self, tickets: Tickets, keys: KeyTable, peers: Peers, reports: LoadReports, count: Counters
    ) -> None:
        self.joined = JoinedCalls()
        self.refusals = RefusalLog()
        self._tickets = tickets
        self._keys = keys
        self._peers = peers
        self._reports = reports
        self._count = count

    def answered(
        self, now: float, ticket_id: int, answer: Complete, served_s: float
    ) -> list[Action]:
        """End a call with the upstream's answer; `served_s` is its time there, seconds."""
        ticket = self._tickets.pop(ticket_id)
        self._count.answered += 1
        response = Response(answer.status, answer.headers, answer.body)
        times_us = (int((ticket.started - ticket.arrived) * 1e6), int(served_s * 1e6))
        load = self._reports.load()
        actions: list[Action] = []
        for peer, seq in self._waiters(ticket):
            peer.used_at = now
            bulk = ticket.request.get("bulk", False)
            frame = replies.answer_frame(seq, response, ticket.ahead, times_us, load, bulk=bulk)
            actions.append(self._end(peer, seq, frame))
        if ticket.key:
            self._keys.ended(ticket.key, response, ran=True)
        return actions

    def refused(
        self, ticket_id: int, ran: str, reason: str, retry_after_s: float, reached: bool = False
    ) -> list[Action]:
        """End a call without an answer; `ran` is "no" or "maybe"."""
        ticket = self._tickets.pop(ticket_id)
        self._count.refused += 1
        load = self._reports.load()
        if ran == "no":
            self.refusals.add(ticket.request, reason, retry_after_s, load)
        actions: list[Action] = []
        for peer, seq in self._waiters(ticket):
            frame = replies.refusal_frame(seq, ran, reason, retry_after_s, load, reached)
            actions.append(self._end(peer, seq, frame))
        if ticket.key:
            self._keys.ended(ticket.key, None, ran=ran != "no")
        return actions

    def refused_on_arrival(
        self, peer: Peer, req: Dispatch, reason: str, retry_after_s: float
    ) -> Action:
        """Refuse a call that was not admitted."""
        load = self._reports.load()
        self.refusals.add(req, reason, retry_after_s, load)
        self._count.refused += 1
        return self.send(
            peer, req["seq"], replies.refusal_frame(req["seq"], "no", reason, retry_after_s, load)
        )

    def fates(self, peer: Peer, seqs: list[int]) -> list[Frame]:
        """Return the results of these calls, except of those that still wait or run."""
        frames: list[Frame] = []
        for seq in seqs:
            if seq in peer.live or self.joined.holds(peer.incarnation, seq):
                continue
            frame = peer.kept.get(seq)
            if frame is None:
                ran, reason = fate_without_result(peer, seq)
                frame = replies.refusal_frame(seq, ran, reason, 0.0, self._reports.load())
            frames.append(frame)
        return frames

    def send(self, peer: Peer, seq: int, frame: Frame) -> Action:
        """Send a result; those for other hosts are kept, so that they can be asked for again."""
        if peer.link == LOCAL_LINK:
            return SendTo(LOCAL_LINK, frame)
        self._peers.keep(peer, seq, frame)
        return SendTo(-1 if peer.link is None else peer.link, frame)

    def _waiters(self, ticket: Ticket) -> list[tuple[Peer, int]]:
        """Return who waits for the call: its ingress, and the calls that joined by its key."""
        waiters = [(ticket.incarnation, ticket.request["seq"])]
        if ticket.key:
            waiters += self.joined.take(ticket.key)
        found = [(self._peers.get(incarnation), seq) for incarnation, seq in waiters]
        return [(peer, seq) for peer, seq in found if peer is not None]

    def _end(self, peer: Peer, seq: int, frame: Frame) -> Action:
        peer.live.pop(seq, None)
        return self.send(peer, seq, frame)
