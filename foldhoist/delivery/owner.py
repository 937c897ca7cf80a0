"""The owner's side of delivery: every call to one upstream passes through this object.

It takes frames and results with an explicit `now` (monotonic seconds) and returns actions for
the tasks that own the sockets. It does no I/O and reads no clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.admission.cold import ColdStart
from foldhoist.admission.crowding import Crowding
from foldhoist.admission.due import DueQueue
from foldhoist.admission.slots import Refuse, Shape, SlotQueue, Start
from foldhoist.delivery import replies
from foldhoist.delivery.call_finisher import CallFinisher
from foldhoist.delivery.claims import Claims
from foldhoist.delivery.dispatch import (
    Action,
    CancelCall,
    CloseLink,
    Complete,
    Counters,
    Ended,
    Frame,
    Incomplete,
    Peer,
    Replaced,
    Result,
    SendTo,
    Shed,
    StartCall,
    Ticket,
)
from foldhoist.delivery.keys import KeyTable
from foldhoist.delivery.load_reports import LoadReports, crashes_frame
from foldhoist.delivery.owner_admission import OwnerAdmission
from foldhoist.delivery.peers import Peers, drop_acked
from foldhoist.delivery.quarantined_calls import QuarantinedCalls
from foldhoist.delivery.shed_guard import ShedGuard
from foldhoist.delivery.tickets import Tickets
from foldhoist.delivery.upstream_status import EVACUATED, REPLACED, UpstreamStatus
from foldhoist.delivery.waiting_calls import WaitingCalls
from foldhoist.quarantine.table import Quarantine

if TYPE_CHECKING:
    from foldhoist.admission.cold import ColdRate
    from foldhoist.admission.held import HeldBytes
    from foldhoist.admission.slots import Decision
    from foldhoist.delivery.dispatch import Sample
    from foldhoist.schema.messages import (
        Announced,
        Dispatch,
        FateAsk,
        Hello,
        Load,
        Suspect,
        Withdraw,
    )

QUEUE_PER_SLOT = 3
"""Calls that may wait for each slot of an upstream that announces itself."""
SERVER_ERROR = 500
"""Statuses from this on do not show that an upstream can run a call to its end."""


class Owner:
    """Admission, dispatch and the memory of results for one upstream."""

    def __init__(
        self,
        name: str,
        service: str,
        shape: Shape,
        key_window_s: float,
        queue: SlotQueue | DueQueue | None = None,
        bodies: HeldBytes | None = None,
        quarantine: Quarantine | None = None,
    ) -> None:
        self.name = name
        self.service = service
        self.queue = queue if queue is not None else SlotQueue(shape)
        self.keys = KeyTable(name, key_window_s)
        self.count = Counters()
        self.quarantine = quarantine if quarantine is not None else Quarantine()
        self.status = UpstreamStatus()
        self._cold = self.queue.cold if isinstance(self.queue, DueQueue) else ColdStart()
        self._peers = Peers()
        self._reports = LoadReports(self.status, self.queue, self._peers)
        self.tickets = Tickets(bodies)
        self._finisher = CallFinisher(
            self.tickets, self.keys, self._peers, self._reports, self.count
        )
        self.refusals = self._finisher.refusals
        self._claims = Claims(self.keys, self._finisher, self.count)
        self._crowding = Crowding()
        self._waiting = WaitingCalls(self.queue, self.tickets, self._finisher)
        self._shed_guard = ShedGuard(self.status, self._reports, self._waiting, self.tickets)
        self._quarantined = QuarantinedCalls(
            self.quarantine, self.tickets, self._reports, self._waiting, self.count
        )
        self._admission = OwnerAdmission(
            self.status, self.tickets, self._quarantined, self._shed_guard
        )

    # What the tasks tell it

    def hello(self, now: float, link: int, hello: Hello) -> list[Action]:
        """Take in a new connection; an older one of the same ingress is closed."""
        handshake = self._peers.connected(link, hello)
        if not handshake.accepted:
            self.count.fenced += 1
            return [CloseLink(link)]
        actions: list[Action] = []
        if handshake.replaced_link is not None:
            actions.append(CloseLink(handshake.replaced_link))
        actions.append(SendTo(link, Frame("Report", {"load": self.load()})))
        if suspects := self.quarantine.rows(now):
            actions.append(SendTo(link, crashes_frame(suspects)))
        return actions

    def link_lost(self, now: float, link: int) -> None:
        """Take in that a connection fell; its ingress may come back and ask."""
        self._peers.disconnected(now, link)

    def dispatch(self, now: float, wall_ms: int, link: int, req: Dispatch) -> list[Action]:
        """Take in a call."""
        peer = self._peers.at(link)
        if peer is None:
            self.count.fenced += 1
            return []
        drop_acked(peer, req["acked"])
        rejection = self._admission.rejection(now, req, self.service)
        if rejection is not None:
            return [self._finisher.refused_on_arrival(peer, req, *rejection)]
        if req["key"]:
            early = self._claims.claim(now, wall_ms, peer, req, self.load())
            if early is not None:
                return early
        return self._admit(now, peer, req)

    def withdraw(self, now: float, link: int, message: Withdraw) -> list[Action]:
        """Take in that nobody waits for a call any more."""
        peer = self._peers.at(link)
        if peer is None:
            return []
        ticket_id = peer.live.get(message["seq"])
        if ticket_id is None:
            return []
        ticket = self.tickets[ticket_id]
        if ticket.key:
            return []
        if not ticket.running:
            self.queue.withdraw(ticket_id)
            self.count.withdrawn += 1
            return self._finisher.refused(ticket_id, "no", "withdrawn", 0.0)
        self.count.cancelled += 1
        return [CancelCall(ticket_id)]

    def fate(self, now: float, link: int, message: FateAsk) -> list[Action]:
        """Say what became of calls whose connection fell."""
        peer = self._peers.at(link)
        if peer is None:
            return []
        return [SendTo(link, frame) for frame in self._finisher.fates(peer, message["seqs"])]

    def finished(self, now: float, ticket_id: int, result: Result) -> list[Action]:
        """Take in what the upstream made of a call."""
        ticket = self.tickets.get(ticket_id)
        if ticket is None:
            return []
        served = now - ticket.started
        match result:
            case Complete():
                self.status.answered(result.status)
                reports = self._update_pace(now, result.pace)
                if result.status < SERVER_ERROR:
                    self._cold.answered()
                    reports += self._reports.crashes(self.quarantine.answered(now, ticket.identity))
                reports += self._shed_guard.answered(ticket.started)
                self._record_concurrency(now, ticket, served)
                started = self._apply(now, self.queue.release(now, served))
                started += self._update_slots(now)
                return [
                    *self._finisher.answered(now, ticket_id, result, served),
                    *started,
                    *reports,
                ]
            case Shed():
                self.status.state = "shedding"
                reports = self._shed_guard.shed(now)
                retry_after_s = result.retry_after_s
                return [*reports, *self._end_shed(now, ticket_id, "upstream-shed", retry_after_s)]
            case Replaced():
                reports = self.set_leaving(REPLACED)
                waiting = self._waiting.refuse(self.tickets.ids(), REPLACED)
                return [*reports, *waiting, *self._end_shed(now, ticket_id, REPLACED, 0.0)]
            case Incomplete():
                self.count.lost += 1
                self.status.failed()
                started = self._apply(now, self.queue.release(now, None))
                ran = "maybe" if result.sent else "no"
                return [*self._finisher.refused(ticket_id, ran, result.reason, 0.5), *started]

    def upstream_ended(self, now: float, tickets: list[int]) -> list[Action]:
        """Take in that the upstream has ended with these calls at work.

        One that got more than it bears ended by that: it is no evidence against these calls.
        """
        self.count.crashes += 1
        if self._cold.is_overloaded(now):
            self.count.overloaded += 1
            return []
        return self._quarantined.upstream_ended(now, tickets)

    def learn_crashes(self, now: float, suspects: list[Suspect]) -> list[Action]:
        """Take in what another daemon knows of calls that end upstreams."""
        return self._quarantined.learned(now, suspects)

    def sampled(self, now: float, sample: Sample) -> list[Action]:
        """Take in what the upstream says of itself now; tells ingresses what is changes."""
        if sample.cold_s is not None:
            self._cold.seen(now, sample.cold_s)
        reports = self._update_cold(now)
        if sample.pace:
            reports += self._update_pace(now, sample.pace)
        return [*reports, *self._apply(now, self.queue.advance(now))]

    def set_cold_rate(self, now: float, rate: ColdRate, began: float | None = None) -> list[Action]:
        """Take over what the upstream bears while it is cold; the daemon's process `began` then."""
        self._cold.bound(now, rate, began)
        return self._update_cold(now)

    def announced_again(self, now: float, cold_s: float) -> list[Action]:
        """Take in that the upstream announced itself with nothing new but how long it is cold."""
        self._cold.told(now, cold_s)
        return [*self._update_cold(now), *self.clear_leaving(REPLACED)]

    def end_evacuation(self, now: float) -> list[Action]:
        """Take work again; the upstream, which had none for a while, may have turned cold."""
        self._cold.assume(now)
        return [*self._update_cold(now), *self.clear_leaving(EVACUATED)]

    def announce(self, now: float, upstream: Announced) -> list[Action]:
        """Take in what the upstream says of itself; "gone" is said when none is known."""
        actions: list[Action] = []
        if self.status.upstream is not None and self.status.is_new_incarnation(upstream):
            self._cold.replaced()
        if self.status.announce(now, upstream):
            actions += self._waiting.refuse(self.tickets.ids(), REPLACED)
        self._cold.told(now, upstream["cold_ms"] / 1000)
        actions += self._update_cold(now)
        self.service = upstream["service"]
        self._crowding.announced(upstream["slots"])
        actions += self._update_slots(now)
        if upstream["state"] == "ready":
            return [*actions, *self.clear_leaving("upstream")]
        return [*actions, *self.set_leaving("upstream")]

    def reshape(self, now: float, shape: Shape) -> list[Action]:
        """Take over the sizes of the queue; tells every ingress if the slots are others."""
        before, self.queue.shape = self.queue.shape, shape
        if before.slots == shape.slots:
            return []
        return [*self._reports.to_all(), *self._apply(now, self.queue.advance(now))]

    def set_state(self, state: str) -> list[Action]:
        """Take in what the upstream says of itself; tells every ingress if it changed."""
        return self._reports.to_all() if self.status.set_state(state) else []

    def set_leaving(self, source: str) -> list[Action]:
        """Stop taking new work, because `source` says that the upstream is leaving."""
        return self._reports.to_all() if self.status.set_leaving(source) else []

    def clear_leaving(self, source: str) -> list[Action]:
        """Take back what `source` said; other sources still count."""
        return self._reports.to_all() if self.status.clear_leaving(source) else []

    def tick(self, now: float) -> list[Action]:
        """Refuse what has waited too long, drop what nobody will ask for, forget old peers."""
        actions = self._update_cold(now)
        actions += self._apply(now, self.queue.expire(now))
        actions += self._apply(now, self.queue.advance(now))
        actions += self._shed_guard.tick(now)
        for peer in self._peers.orphaned(now):
            dropped = self._waiting.refuse(list(peer.live.values()), "ingress-gone")
            self.count.withdrawn += len(dropped)
        self._peers.forget_old(now)
        self.keys.expire(now)
        return actions

    # What others may read

    @property
    def leaving(self) -> bool:
        """Return whether this upstream takes no new work."""
        return self.status.leaving

    @property
    def calls(self) -> int:
        """Return the calls that wait or run here."""
        return len(self.tickets)

    def next_at(self, now: float) -> float | None:
        """Return when `tick` has something to do for a waiting call; None for never."""
        match self.queue:
            case DueQueue() as queue:
                return queue.next_at(now)
        return None

    def peer_name(self, link: int) -> str:
        """Return the name of the daemon at the other end of a connection, empty if unknown."""
        peer = self._peers.at(link)
        return peer.name if peer is not None else ""

    def ended(self, now: float, ticket_id: int, result: Result) -> Ended | None:
        """Return what to record of a call whose result is about to be taken in."""
        ticket = self.tickets.get(ticket_id)
        if ticket is None:
            return None
        return replies.ended_record(now, ticket, result, self.queue.busy, self.queue.queued)

    def load(self) -> Load:
        """Return the load as it is now."""
        return self._reports.load()

    # Steps

    def _update_cold(self, now: float) -> list[Action]:
        """Tell every ingress if the upstream has turned cold or warm."""
        cold = self._cold.is_cold(now)
        if cold == self.status.cold:
            return []
        self.status.cold = cold
        return self._reports.to_all()

    def _update_pace(self, now: float, pace: int) -> list[Action]:
        self.status.pace = pace
        match self.queue:
            case DueQueue() as queue:
                queue.pace.told(now, pace)
        return self._reports.pace_change(now)

    def _record_concurrency(self, now: float, ticket: Ticket, served_s: float) -> None:
        if self.status.upstream is not None:
            route = ticket.request.get("route", "")
            self._crowding.answered(now, route, ticket.running_at_start, served_s)

    def _update_slots(self, now: float) -> list[Action]:
        """Use as many slots of an upstream that announces itself as are worth it now."""
        if self.status.upstream is None:
            return []
        slots = self._crowding.room(now)
        shape = self.queue.shape._replace(slots=slots, queue=slots * QUEUE_PER_SLOT)
        return self.reshape(now, shape)

    def _admit(self, now: float, peer: Peer, req: Dispatch) -> list[Action]:
        ticket = Ticket(peer.incarnation, req, now)
        ticket.ahead = self.queue.busy + self.queue.queued
        ticket_id = self.tickets.add(ticket)
        peer.used_at = now
        peer.live[req["seq"]] = ticket_id
        match self.queue:
            case SlotQueue() as queue:
                decision = queue.submit(now, ticket_id, req["urgent"], ticket.start_by)
            case DueQueue() as queue:
                wish = queue.wish_of(now, req, ticket.start_by, ticket.deadline)
                ticket.rank = wish.rank
                decision = queue.submit(now, ticket_id, wish)
        return self._apply(now, [decision])

    def _apply(self, now: float, decisions: list[Decision]) -> list[Action]:
        actions: list[Action] = []
        for decision in decisions:
            match decision:
                case Start(ticket_id) if now > self.status.last_start_at:
                    actions += self._apply(now, self.queue.release(now, None))
                    actions += self._finisher.refused(ticket_id, "no", "upstream-leaving", 0.0)
                case Start(ticket_id):
                    actions.append(self._start(now, ticket_id))
                case Refuse(ticket_id, reason, retry_after_s):
                    actions += self._finisher.refused(ticket_id, "no", reason, retry_after_s)
        return actions

    def _start(self, now: float, ticket_id: int) -> Action:
        ticket = self.tickets.start(ticket_id, now)
        ticket.running_at_start = self.queue.busy
        self.count.dispatched += 1
        self.count.repeats += ticket.request["retried"]
        instance = self.status.instance
        return StartCall(ticket_id, ticket.request, ticket.deadline - now, instance)

    def _end_shed(
        self, now: float, ticket_id: int, reason: str, retry_after_s: float
    ) -> list[Action]:
        self.count.turned_away += 1
        started = self._apply(now, self.queue.release(now, None))
        return [
            *self._finisher.refused(ticket_id, "no", reason, retry_after_s, reached=True),
            *started,
        ]
