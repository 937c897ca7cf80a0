"""The owner's side of delivery: every call to one upstream passes through its owner.

Frames and results come with an explicit `now` (monotonic seconds); the methods return actions for
the tasks that own the sockets. No I/O, no clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.admission.cold import ColdStart
from foldhoist.admission.due import DueQueue
from foldhoist.admission.slots import QueueLimits, SlotQueue
from foldhoist.delivery.call_finisher import CallFinisher
from foldhoist.delivery.claims import Claims
from foldhoist.delivery.dispatch import (
    Action,
    CloseLink,
    Complete,
    Counters,
    Frame,
    Incomplete,
    Peer,
    Replaced,
    Result,
    SendTo,
    Shed,
    Ticket,
)
from foldhoist.delivery.keys import KeyTable
from foldhoist.delivery.load_reports import LoadReports, crashes_frame
from foldhoist.delivery.owner_admission import BODIES_FULL, FULL_RETRY_S, OwnerAdmission
from foldhoist.delivery.peers import Peers, drop_acked
from foldhoist.delivery.quarantined_calls import QuarantinedCalls
from foldhoist.delivery.queue_decisions import QueueDecisions
from foldhoist.delivery.rules import SERVER_ERROR
from foldhoist.delivery.shed_guard import ShedGuard
from foldhoist.delivery.signal_effects import SignalEffects
from foldhoist.delivery.slot_limits import SlotLimits
from foldhoist.delivery.tickets import Tickets
from foldhoist.delivery.upstream_status import EVACUATED, REPLACED, UpstreamStatus
from foldhoist.delivery.waiting_calls import WaitingCalls
from foldhoist.delivery.withdrawals import Withdrawals
from foldhoist.membership.incarnations import incarnation_of
from foldhoist.quarantine.table import Quarantine

if TYPE_CHECKING:
    from foldhoist.admission.body_memory import BodyMemory
    from foldhoist.admission.cold import ColdRate
    from foldhoist.delivery.dispatch import Sample
    from foldhoist.delivery.signal_state import AnswerSignals
    from foldhoist.schema.messages import (
        Announced,
        Dispatch,
        FateAsk,
        Hello,
        Load,
        SignalUpdate,
        Suspect,
        Withdraw,
    )

AT_ONCE_S = 0.001
"""Within this time a call may start even if it is expected to miss its deadline, seconds."""


class Owner:
    """Admits and dispatches calls for one upstream, and keeps results until acknowledged."""

    def __init__(
        self,
        name: str,
        service: str,
        limits: QueueLimits,
        key_window_s: float,
        queue: SlotQueue | DueQueue | None = None,
        bodies: BodyMemory | None = None,
        quarantine: Quarantine | None = None,
    ) -> None:
        self.name = name
        self.service = service
        self.queue = queue if queue is not None else SlotQueue(limits)
        self.keys = KeyTable(name, key_window_s)
        self.count = Counters()
        self.quarantine = quarantine if quarantine is not None else Quarantine()
        self.status = UpstreamStatus(self.queue.rate)
        self._cold = self.queue.cold if isinstance(self.queue, DueQueue) else ColdStart()
        self._peers = Peers()
        self._reports = LoadReports(self.status, self.queue, self._peers)
        self.tickets = Tickets(bodies)
        self._finisher = CallFinisher(
            self.tickets, self.keys, self._peers, self._reports, self.count
        )
        self.refusals = self._finisher.refusals
        self._claims = Claims(self.keys, self._finisher, self.count)
        self._slots = SlotLimits()
        self._withdrawals = Withdrawals(self.queue, self.tickets, self._finisher, self.count)
        self._waiting = WaitingCalls(self.queue, self.tickets, self._finisher)
        self._decided = QueueDecisions(
            self.status, self.queue, self.tickets, self._finisher, self.count
        )
        self._signals = SignalEffects(
            self.status, self.queue, self._reports, self._decided, self.count
        )
        self._shed_guard = ShedGuard(self.status, self._reports, self._waiting, self.tickets)
        self._quarantined = QuarantinedCalls(
            self.quarantine, self.tickets, self._reports, self._waiting, self.count
        )
        self._admission = OwnerAdmission(
            self.status, self.tickets, self._quarantined, self._shed_guard
        )

    def hello(self, now: float, link: int, hello: Hello) -> list[Action]:
        """Accept a connection with a newer epoch and close the one it replaces, or refuse it."""
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
        """Handle a lost connection; its ingress may reconnect and ask for results."""
        self._peers.disconnected(now, link)

    def dispatch(self, now: float, wall_ms: int, link: int, req: Dispatch) -> list[Action]:
        """Refuse a call, answer it by its idempotency key, or queue or start it."""
        self._reports.now = now
        peer = self._peers.at(link)
        if peer is None:
            self.count.fenced += 1
            return []
        drop_acked(peer, req["acked"])
        rejection = self._admission.rejection(now, peer, req, self.service)
        if rejection is not None:
            return [self._finisher.refused_on_arrival(peer, req, *rejection)]
        if req["key"]:
            reply = self._claims.claim(now, wall_ms, peer, req, self.load())
            if reply is not None:
                return reply
        return self._admit(now, peer, req)

    def refuse_not_held(self, link: int, req: Dispatch) -> list[Action]:
        """Refuse a call whose body was skipped as it came."""
        peer = self._peers.at(link)
        if peer is None:
            return []
        return [self._finisher.refused_on_arrival(peer, req, BODIES_FULL, FULL_RETRY_S)]

    def withdraw(self, now: float, link: int, message: Withdraw) -> list[Action]:
        """Drop or cancel a call that its ingress has given up; one with a key goes on."""
        peer = self._peers.at(link)
        return self._withdrawals.apply(peer, message) if peer is not None else []

    def fate(self, now: float, link: int, message: FateAsk) -> list[Action]:
        """Send the results of calls sent over a lost connection, except those that wait or run."""
        peer = self._peers.at(link)
        if peer is None:
            return []
        return [SendTo(link, frame) for frame in self._finisher.fates(peer, message["seqs"])]

    def finished(self, now: float, ticket_id: int, result: Result) -> list[Action]:
        """Handle the result of a call that was started at the upstream."""
        self._reports.now = now
        ticket = self.tickets.get(ticket_id)
        if ticket is None:
            return []
        served_s = now - ticket.started
        match result:
            case Complete():
                self.status.answered(result.status)
                reports = self._update_pace(now, result.pace)
                if result.status < SERVER_ERROR:
                    self._cold.record_answer()
                    reports += self._reports.crashes(
                        self.quarantine.record_answer(now, ticket.identity)
                    )
                reports += self._shed_guard.answered(ticket.started)
                if self.status.upstream is not None:
                    self._slots.record_answer(now, ticket, served_s)
                started = self._decided.apply(now, self.queue.release(now, served_s))
                started += self._update_slots(now)
                return [
                    *self._finisher.answered(now, ticket_id, result, served_s),
                    *started,
                    *reports,
                ]
            case Shed():
                self.status.state = "shedding"
                reports = self._shed_guard.shed(now)
                retry_after_s = result.retry_after_s
                return [
                    *reports,
                    *self._decided.end_shed(now, ticket_id, "upstream-shed", retry_after_s),
                ]
            case Replaced():
                reports = self.set_leaving(REPLACED)
                waiting = self._waiting.refuse(self.tickets.ids(), REPLACED)
                return [
                    *reports,
                    *waiting,
                    *self._decided.end_shed(now, ticket_id, REPLACED, 0.0),
                ]
            case Incomplete():
                self.count.lost += 1
                self.status.failed()
                started = self._decided.apply(now, self.queue.release(now, None))
                ran = "maybe" if result.sent else "no"
                return [*self._finisher.refused(ticket_id, ran, result.reason, 0.5), *started]

    def answer_began(self, now: float, ticket_id: int, signals: AnswerSignals) -> list[Action]:
        """Handle the signals in the head of an answer, unless a former incarnation sent it."""
        self._reports.now = now
        return self._signals.answer_began(now, self.tickets.get(ticket_id), signals)

    def merge_signals(self, now: float, update: SignalUpdate, began: float) -> list[Action]:
        """Merge signals known to an ingress; `began` is when this daemon's process started."""
        self._reports.now = now
        return self._signals.apply(now, self.status.signals.merge(now, update, began))

    def upstream_crashed(self, now: float, tickets: list[int]) -> list[Action]:
        """Handle a crash of the upstream while these calls were running.

        The calls are not suspected if a cold upstream had received more calls than it can take.
        """
        self.count.crashes += 1
        if self._cold.is_overloaded(now):
            self.count.overloaded += 1
            return []
        return self._quarantined.upstream_crashed(now, tickets)

    def learn_crashes(self, now: float, suspects: list[Suspect]) -> list[Action]:
        """Merge what another daemon knows of calls that crash upstreams."""
        return self._quarantined.merge(now, suspects)

    def sampled(self, now: float, sample: Sample) -> list[Action]:
        """Handle a sample of the upstream's state; reports changes to ingresses."""
        if sample.cold_s is not None:
            self._cold.set_remaining(now, sample.cold_s)
        elif sample.well:
            self._cold.end_assumption()
        reports = self._update_cold(now)
        if sample.pace:
            reports += self._update_pace(now, sample.pace)
        return [*reports, *self._decided.apply(now, self.queue.advance(now))]

    def set_cold_rate(self, now: float, rate: ColdRate, began: float | None = None) -> list[Action]:
        """Set the call rate of a cold upstream; `began` is when the daemon's process started."""
        self._cold.set_rate(now, rate, began)
        return self._update_cold(now)

    def announced_again(self, now: float, cold_s: float) -> list[Action]:
        """Handle an announcement that changes nothing but the remaining cold time."""
        self._cold.extend(now, cold_s)
        return [*self._update_cold(now), *self.clear_leaving(REPLACED)]

    def assume_cold(self, now: float) -> list[Action]:
        """Treat the upstream as cold until it tells otherwise, as it may have restarted unnoticed.

        Another incarnation may have the name of the one before; its announcement may come late.
        """
        self._cold.assume_cold(now)
        return self._update_cold(now)

    def end_evacuation(self, now: float) -> list[Action]:
        """Take calls again; the upstream was idle and is assumed to have turned cold."""
        return [*self.assume_cold(now), *self.clear_leaving(EVACUATED)]

    def announce(
        self, now: float, upstream: Announced, began: float = float("inf")
    ) -> list[Action]:
        """Handle an announcement, "gone" if none is known; `began` is when this process started."""
        self._reports.now = now
        actions: list[Action] = []
        is_new = self.status.is_new_incarnation(upstream)
        if self.status.upstream is not None and is_new:
            self._cold.reset_on_replacement()
        changed_service = self.status.announce(now, upstream)
        if is_new:
            changes = self.status.signals.replaced(now, incarnation_of(upstream), began)
            actions += self._signals.apply(now, changes)
        if changed_service:
            actions += self._waiting.refuse(self.tickets.ids(), REPLACED)
        self._cold.extend(now, upstream["cold_ms"] / 1000)
        actions += self._update_cold(now)
        self.service = upstream["service"]
        self._slots.set_announced(upstream["slots"])
        actions += self._update_slots(now)
        if upstream["state"] == "ready":
            return [*actions, *self.clear_leaving("upstream")]
        return [*actions, *self.set_leaving("upstream")]

    def set_queue_limits(self, now: float, limits: QueueLimits) -> list[Action]:
        """Set the limits of the queue; reports a changed number of slots to every ingress."""
        before, self.queue.limits = self.queue.limits, limits
        if before.slots == limits.slots:
            return []
        return [*self._reports.to_all(), *self._decided.apply(now, self.queue.advance(now))]

    def set_state(self, state: str) -> list[Action]:
        """Set the state of the upstream; reports a change to every ingress."""
        return self._reports.to_all() if self.status.set_state(state) else []

    def set_leaving(self, source: str) -> list[Action]:
        """Stop admitting calls because `source` reports that the upstream is leaving."""
        return self._reports.to_all() if self.status.set_leaving(source) else []

    def clear_leaving(self, source: str) -> list[Action]:
        """Withdraw the report of `source`; calls are admitted once no source is left."""
        return self._reports.to_all() if self.status.clear_leaving(source) else []

    def tick(self, now: float) -> list[Action]:
        """Expire calls, peers and keys, start calls that may start now, and invite trial calls."""
        self._reports.now = now
        actions = self._update_cold(now)
        if now > self.status.last_start_at and self.queue.queued:
            actions += self._waiting.refuse(self.tickets.ids(), self.status.refusal)
        actions += self._decided.apply(now, self.queue.expire(now))
        actions += self._decided.apply(now, self.queue.advance(now))
        actions += self._shed_guard.tick(now)
        for peer in self._peers.orphaned(now):
            dropped = self._waiting.refuse(list(peer.live.values()), "ingress-gone")
            self.count.withdrawn += len(dropped)
        self._peers.forget_old(now)
        self.keys.expire(now)
        return actions

    @property
    def leaving(self) -> bool:
        """Return whether the upstream takes no new calls."""
        return self.status.leaving

    @property
    def calls(self) -> int:
        """Return the number of calls that wait or run."""
        return len(self.tickets)

    def next_at(self, now: float) -> float | None:
        """Return when `tick` is next due for a waiting call, or None."""
        match self.queue:
            case DueQueue() as queue:
                return queue.next_at(now)
        return None

    def peer_name(self, link: int) -> str:
        """Return the name of the daemon at the other end of a connection, empty if unknown."""
        peer = self._peers.at(link)
        return peer.name if peer is not None else ""

    def load(self) -> Load:
        """Return the current load."""
        return self._reports.load()

    def _update_cold(self, now: float) -> list[Action]:
        """Report a change between cold and warm to every ingress."""
        cold = self._cold.is_cold(now)
        if cold == self.status.cold:
            return []
        self.status.cold = cold
        return self._reports.to_all()

    def _update_pace(self, now: float, pace: int) -> list[Action]:
        self.status.pace = pace
        match self.queue:
            case DueQueue() as queue:
                queue.pace.record(now, pace)
        return self._reports.pace_change(now)

    def _update_slots(self, now: float) -> list[Action]:
        """Apply the slots of an upstream that has announced itself."""
        if self.status.upstream is None:
            return []
        return self.set_queue_limits(now, self._slots.apply_to(now, self.queue.limits))

    def _admit(self, now: float, peer: Peer, req: Dispatch) -> list[Action]:
        ticket = Ticket(peer.incarnation, req, now)
        ticket.limit_start(self.status.last_start_at)
        ticket.ahead = self.queue.busy + self.queue.queued
        ticket_id = self.tickets.add(ticket, shared=peer.is_local)
        peer.used_at = now
        peer.live[req["seq"]] = ticket_id
        match self.queue:
            case SlotQueue() as queue:
                start_by = max(ticket.start_by, now + AT_ONCE_S)
                decision = queue.submit(now, ticket_id, req["urgent"], start_by)
            case DueQueue() as queue:
                new_call = queue.queued_call(
                    now, req, ticket.start_by, ticket.deadline, ticket.last_start
                )
                ticket.rank = new_call.rank
                decision = queue.submit(now, ticket_id, new_call)
        return self._decided.apply(now, [decision])
