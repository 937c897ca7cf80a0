"""Runs the owner: its connections with ingresses, and its calls to the upstream."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from loguru import logger

from foldhoist.addresses import parse_address
from foldhoist.daemon.background import carry_out_each, run_task
from foldhoist.daemon.frames import FrameConnection, send_or_refuse
from foldhoist.daemon.goaway import GoawayExchange
from foldhoist.daemon.lost_calls import LostCalls
from foldhoist.daemon.reconnector import Reconnector
from foldhoist.daemon.sampler import Sampler
from foldhoist.daemon.signal_log import SignalLog
from foldhoist.daemon.upstream import UpstreamPool
from foldhoist.daemon.upstream_connection import CONNECTION_LOST
from foldhoist.delivery.codec import FRAME_OVERHEAD_BYTES, SCHEMA_VERSION
from foldhoist.delivery.dispatch import (
    LOCAL_LINK,
    CancelCall,
    CloseLink,
    Complete,
    Incomplete,
    QuarantineCalls,
    SendTo,
    ShareSuspects,
    SignalsChanged,
    StartCall,
)
from foldhoist.delivery.signal_state import Leaving
from foldhoist.delivery.upstream_status import EVACUATED
from foldhoist.membership.incarnations import incarnation_of
from foldhoist.routing.sampling import SamplePlan

if TYPE_CHECKING:
    from collections.abc import Callable

    from foldhoist.admission.cold import ColdRate
    from foldhoist.admission.slots import QueueLimits
    from foldhoist.daemon.dialect import Dialect
    from foldhoist.daemon.lost_calls import LostCall
    from foldhoist.delivery.dispatch import Action, Ended, Refused, Result, Sample
    from foldhoist.delivery.owner import Owner
    from foldhoist.delivery.signal_state import AnswerSignals, SignalChange
    from foldhoist.membership.incarnations import UpstreamIncarnation
    from foldhoist.schema.messages import Announced, Hello, Suspect
    from foldhoist.schema.settings import Settings

TICK_S = 0.05
"""Interval at which waiting and running calls are checked against their limits, seconds."""
UPSTREAM_UNREACHABLE = "upstream-unreachable"
"""Reason of a call for which no connection to the upstream could be opened."""


class OwnerTask:
    """The owner role of a daemon: carries out the actions that the owner returns."""

    def __init__(
        self,
        owner: Owner,
        cfg: Settings,
        hello: Hello,
        on_local: Callable[[str, Any], None],
        on_hop: Callable[[Ended], None],
        dialect: Dialect | None = None,
        on_peer: Callable[[int, str, Any], None] | None = None,
    ) -> None:
        self.owner = owner
        self.began = asyncio.get_running_loop().time()
        self._on_peer = on_peer
        self.on_refused: Callable[[Refused], None] | None = None
        self.on_suspects: Callable[[list[Suspect]], None] | None = None
        self.on_quarantined: Callable[[list[str]], None] | None = None
        self.on_leaving: Callable[[UpstreamIncarnation], None] | None = None
        self._signal_log = SignalLog(self.began)
        self._timer: asyncio.TimerHandle | None = None
        self._hello = hello
        self._on_local = on_local
        self._on_hop = on_hop
        self._loop = asyncio.get_running_loop()
        self._limit = cfg["limits"]["body_bytes"] + FRAME_OVERHEAD_BYTES
        self._conns: dict[int, FrameConnection] = {}
        self._next_link = LOCAL_LINK + 1
        self._accepted_links: set[int] = set()
        self.goaway = GoawayExchange()
        upstream_address = parse_address(cfg["upstream"]["address"], min_port=0)
        self.pool = UpstreamPool(
            upstream_address,
            cfg["upstream"]["connect_ms"] / 1000,
            cfg["limits"]["body_bytes"],
            cfg["limits"]["held_bytes"],
            self._on_result,
            self._on_signals,
            dialect,
            self._on_sole_connection,
            owner.tickets.bodies.process,
        )
        self._reconnector = Reconnector(self.pool, self._is_announced, self.set_state)
        self._lost_calls = LostCalls(self.pool, self._on_calls_lost)
        self.sampler = Sampler(
            SamplePlan(cfg["measuring"]["sample_cost"]),
            upstream_address,
            self.pool.dialect,
            self._on_sample,
        )
        self.sampler.path = cfg["upstream"]["health_path"]
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the periodic checks and the sampler."""
        self._task = run_task("owner", self._tick)
        self.sampler.start()

    def close(self) -> None:
        """Close every connection."""
        for pending in (self._task, self._timer):
            if pending is not None:
                pending.cancel()
        for conn in list(self._conns.values()):
            conn.close()
        self.pool.close()
        self._lost_calls.close()
        self.sampler.close()

    def connection(self) -> FrameConnection:
        """Return the protocol object for a new connection."""
        bodies = self.owner.tickets.bodies
        conn = FrameConnection(self._limit, self._on_message, self._on_lost, bodies)
        conn.number = self._next_link
        self._next_link += 1
        self._conns[conn.number] = conn
        return conn

    def local_hello(self) -> None:
        """Connect the ingress of this process; further calls do nothing."""
        if LOCAL_LINK in self._accepted_links:
            return
        self._accepted_links.add(LOCAL_LINK)
        self._carry_out(self.owner.hello(self._loop.time(), LOCAL_LINK, self._hello))

    def local_message(self, kind: str, body: Any) -> None:
        """Handle a message of the ingress of this process."""
        self._handle(LOCAL_LINK, kind, body)

    def announce(self, upstream: Announced) -> None:
        """Handle an announcement; idle connections to another incarnation are closed."""
        before = self.owner.status.upstream
        if before is not None and not incarnation_of(before).is_same(incarnation_of(upstream)):
            self.pool.close_idle()
        self.sampler.instance = upstream["instance"]
        self._carry_out(self.owner.announce(self._loop.time(), upstream, self.began))

    def learn_crashes(self, suspects: list[Suspect]) -> None:
        """Merge what another daemon knows of calls that crash upstreams."""
        self._carry_out(self.owner.learn_crashes(self._loop.time(), suspects))

    def announced_again(self, cold_s: float) -> None:
        """Handle an announcement that only updates the remaining cold time, `cold_s` seconds."""
        self._carry_out(self.owner.announced_again(self._loop.time(), cold_s))

    def set_cold_rate(self, rate: ColdRate) -> None:
        """Set the call rate of the upstream while it is cold."""
        self._carry_out(self.owner.set_cold_rate(self._loop.time(), rate, self.began))

    def set_evacuated(self, evacuated: bool) -> None:
        """Stop admitting calls while this data centre is evacuated.

        Afterwards the upstream is assumed to be cold, and a sample of it is requested.
        """
        if evacuated == (EVACUATED in self.owner.status.leaving_sources):
            return
        if evacuated:
            self.set_leaving(EVACUATED)
            self.owner.status.stop_starting(self._loop.time())
            return
        self._change_state(lambda: self.owner.end_evacuation(self._loop.time()))
        self.sampler.request_sample()

    def set_queue_limits(self, limits: QueueLimits) -> None:
        """Set the limits of the queue."""
        self._carry_out(self.owner.set_queue_limits(self._loop.time(), limits))

    async def send_goaway(self, limit: float) -> None:
        """Send a Goaway to every ingress, and wait until all have acknowledged it, or a timeout.

        Calls that arrive meanwhile are refused. `limit` is when to be done, monotonic seconds.
        """
        links = self._accepted_links - {LOCAL_LINK}
        await self.goaway.run({link: self._conns[link] for link in links}, limit)

    def ingresses(self) -> list[tuple[int, str]]:
        """Return the connections from other daemons, each with the name of the daemon."""
        links = sorted(self._accepted_links - {LOCAL_LINK})
        return [(link, self.owner.peer_name(link)) for link in links]

    def send_to(self, name: str, kind: str, body: Any) -> None:
        """Send a message over the connection that a daemon opened; without one it is dropped."""
        for link, other in self.ingresses():
            if other == name:
                self._send(link, kind, body)
                return

    def reply(self, link: int, kind: str, body: Any) -> None:
        """Send a message to the daemon at the other end of a connection."""
        self._send(link, kind, body)

    def set_state(self, state: str) -> None:
        """Set the state of the upstream."""
        self._change_state(lambda: self.owner.set_state(state))

    def set_leaving(self, source: str) -> None:
        """Stop admitting calls because `source` reports that the upstream is leaving."""
        self._change_state(lambda: self.owner.set_leaving(source))

    def clear_leaving(self, source: str) -> None:
        """Withdraw the report of `source`; calls are admitted once no source is left."""
        self._change_state(lambda: self.owner.clear_leaving(source))

    def _change_state(self, change: Callable[[], list[Action]]) -> None:
        """Carry out the actions of a change, and log the state of the upstream if it differs."""
        before = self.owner.load()["state"]
        self._carry_out(change())
        after = self.owner.load()["state"]
        if after != before:
            causes = ", ".join(self.owner.status.leaving_sources) or "upstream"
            logger.info("upstream is {} (cause: {}), was {}", after, causes, before)

    def _on_message(self, conn: FrameConnection, kind: str, body: Any) -> None:
        if kind == "Hello":
            self._on_hello(conn, body)
            return
        if conn.number not in self._accepted_links:
            conn.close()
            return
        self._handle(conn.number, kind, body)

    def _on_hello(self, conn: FrameConnection, hello: Hello) -> None:
        conn.send("Hello", self._hello)
        if hello["schema"] != SCHEMA_VERSION:
            logger.info("peer {} has message schema {}", hello["name"], hello["schema"])
            conn.close()
            return
        self._accepted_links.add(conn.number)
        self._carry_out(self.owner.hello(self._loop.time(), conn.number, hello))
        if self._on_peer is not None:
            self._on_peer(conn.number, "Hello", hello)

    def _handle(self, link: int, kind: str, body: Any) -> None:
        now = self._loop.time()
        match kind:
            case "Dispatch":
                self.sampler.record_call()
                self._carry_out(self.owner.dispatch(now, int(time.time() * 1000), link, body))
            case "NotHeld":
                self._carry_out(self.owner.refuse_not_held(link, body))
            case "Withdraw":
                self._carry_out(self.owner.withdraw(now, link, body))
            case "FateAsk":
                self._carry_out(self.owner.fate(now, link, body))
            case "SignalUpdate":
                self._carry_out(self.owner.merge_signals(now, body, self.began))
            case "Goaway":
                self.goaway.unacked.discard(link)
            case _ if self._on_peer is not None:
                self._on_peer(link, kind, body)

    def _on_lost(self, conn: FrameConnection) -> None:
        self._conns.pop(conn.number, None)
        self._accepted_links.discard(conn.number)
        self.goaway.unacked.discard(conn.number)
        self.owner.link_lost(self._loop.time(), conn.number)

    def _on_signals(self, ticket: int, signals: AnswerSignals) -> None:
        self._carry_out(self.owner.answer_began(self._loop.time(), ticket, signals))

    def _on_result(self, ticket: int, result: Result) -> None:
        match result:
            case Incomplete(True, reason) if reason == CONNECTION_LOST:
                self._lost_calls.add(ticket, result)
            case _:
                self._finish_call(ticket, result)

    def _on_calls_lost(self, lost: list[LostCall], crashed: bool) -> None:
        """Handle calls whose connection was lost, and the crash of the upstream if it crashed."""
        if crashed:
            tickets = [call.ticket for call in lost]
            labels = ", ".join(self.owner.tickets.log_labels(tickets))
            logger.warning("upstream crashed with {} calls running: {}", len(lost), labels)
            self._carry_out(self.owner.upstream_crashed(self._loop.time(), tickets))
            self._reconnector.start()
        for call in lost:
            self._finish_call(call.ticket, call.result)

    def _finish_call(self, ticket: int, result: Result) -> None:
        now = self._loop.time()
        hop = self.owner.tickets.ended_record(now, ticket, result, self.owner.queue)
        if isinstance(result, Complete):
            self.sampler.record_pace(result.pace)
        self.owner.status.pace_sampled = self.sampler.pace_sampled
        match result:
            case Incomplete(False, reason) if reason == UPSTREAM_UNREACHABLE:
                self._reconnector.start()
        self._carry_out(self.owner.finished(now, ticket, result))
        if hop is not None:
            self._on_hop(hop)

    def _on_sample(self, sample: Sample) -> None:
        self.owner.status.pace_sampled = self.sampler.pace_sampled
        self._carry_out(self.owner.sampled(self._loop.time(), sample))

    def _report_refusals(self) -> None:
        for refused in self.owner.refusals.take():
            if self.on_refused is not None:
                self.on_refused(refused)

    def _carry_out(self, actions: list[Action]) -> None:
        self._report_refusals()
        self._set_timer()
        carry_out_each(actions, self._carry_out_one, "action of the owner")

    def _carry_out_one(self, action: Action) -> None:
        match action:
            case SendTo(link, frame):
                self._send(link, frame.kind, frame.body)
            case StartCall(ticket):
                self.pool.start(self._loop.time(), action)
            case CancelCall(ticket, reason):
                self.pool.cancel(ticket, reason)
            case ShareSuspects(suspects) if self.on_suspects is not None:
                self.on_suspects(suspects)
            case QuarantineCalls(calls):
                self._report_quarantined(calls)
            case SignalsChanged(changes):
                self._report_signals(changes)
            case CloseLink(link):
                conn = self._conns.get(link)
                if conn is not None:
                    conn.close()

    def _report_quarantined(self, calls: list[str]) -> None:
        for call in calls:
            logger.warning("calls like {} are quarantined: upstreams crashed during them", call)
        if self.on_quarantined is not None:
            self.on_quarantined(calls)

    def _report_signals(self, changes: list[SignalChange]) -> None:
        self._signal_log.write(self._loop.time(), changes)
        for change in changes:
            if isinstance(change, Leaving) and self.on_leaving is not None:
                self.on_leaving(change.incarnation)

    def _send(self, link: int, kind: str, body: Any) -> None:
        if link == LOCAL_LINK:
            self._loop.call_soon(self._on_local, kind, body)
            return
        if (conn := self._conns.get(link)) is not None:
            send_or_refuse(conn, kind, body)

    def _is_announced(self) -> bool:
        return self.owner.status.upstream is not None

    def _on_sole_connection(self) -> None:
        """Ask the upstream whether it is cold: without open connections it may have restarted.

        An address that accepts a connection shows that a process runs there, and not which one.
        """
        if not self._is_announced():
            return
        self._carry_out(self.owner.assume_cold(self._loop.time()))
        if self.owner.status.cold:
            self.sampler.request_sample()

    def _set_timer(self) -> None:
        """Schedule the next check, so that a call is refused early enough to try another owner."""
        at = self.owner.next_at(self._loop.time())
        if at is None or (self._timer is not None and self._timer.when() <= at):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(at, self._expire)

    def _expire(self) -> None:
        self._timer = None
        self._carry_out(self.owner.tick(self._loop.time()))

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._carry_out(self.owner.tick(self._loop.time()))
            self._cancel_overdue()

    def _cancel_overdue(self) -> None:
        now = self._loop.time()
        for ticket, limit in self.owner.tickets.running():
            if now > limit:
                self.pool.cancel(ticket, "deadline-passed")
