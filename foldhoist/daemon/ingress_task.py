"""Runs the ingress: passes requests and messages to it, and carries out its actions."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from foldhoist.daemon.background import carry_out_each
from foldhoist.delivery.call import Connect, Reply, SendTo
from foldhoist.observe.records import trace_id

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from foldhoist.daemon.callers import CallerConnection
    from foldhoist.daemon.links import Links
    from foldhoist.daemon.owner_task import OwnerTask
    from foldhoist.delivery.call import Action, CallerRequest, Record
    from foldhoist.delivery.ingress import Ingress
    from foldhoist.observe.latencies import Latencies
    from foldhoist.observe.records import RecordBuffer
    from foldhoist.observe.spans import SpanExporter
    from foldhoist.routing.picker import Member
    from foldhoist.schema.fleet import Fleet

TICK_RETRY_S = 0.1
"""Pause after a check of the calls that raised an exception, seconds."""


class IngressTask:
    """The ingress role of a daemon: carries out the actions that the ingress returns."""

    def __init__(
        self,
        ingress: Ingress,
        records: RecordBuffer,
        latencies: Latencies,
        spans: SpanExporter | None,
    ) -> None:
        self.ingress = ingress
        self._records = records
        self._latencies = latencies
        self._spans = spans
        self.on_ended: Callable[[Record], None] | None = None
        self._callers: dict[int, CallerConnection] = {}
        self._next_call = 1
        self._timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()

    def attach(self, name: str, links: Links, owner_task: OwnerTask) -> None:
        """Set the owner of this process, and the links to other owners."""
        self._name = name
        self._links = links
        self._owner_task = owner_task

    def now(self) -> float:
        """Return the time that the ingress is given, monotonic seconds."""
        return self._loop.time()

    def arrive(self, conn: CallerConnection, req: CallerRequest) -> None:
        """Handle a request of a caller."""
        call_id = self._next_call
        self._next_call += 1
        self._callers[call_id] = conn
        conn.set_call_id(call_id)
        tickets = self._owner_task.owner.tickets
        req = req._replace(parent_rank=tickets.most_common_rank, parent_repeat=tickets.repeat_share)
        self._carry_out(self.ingress.arrive(self._loop.time(), call_id, req))

    def caller_disconnected(self, call_id: int) -> None:
        """Handle a caller that disconnected before its answer."""
        if self._callers.pop(call_id, None) is None:
            return
        self._carry_out(self.ingress.caller_disconnected(self._loop.time(), call_id))

    def message(self, target: str, kind: str, body: Any) -> None:
        """Handle a message of an owner."""
        now = self._loop.time()
        match kind:
            case "Answer":
                self._carry_out(self.ingress.answer(now, target, body))
            case "Refusal":
                self._carry_out(self.ingress.refusal(now, target, body))
            case "Report":
                self.ingress.report(now, target, body)
            case "Goaway":
                self._carry_out(self.ingress.link_closing(now, target))
            case "Credit":
                self._carry_out(self.ingress.credited(now, body))
            case "Crashes":
                self._owner_task.learn_crashes(body["suspects"])

    def link_up(self, target: str, incarnation: str) -> None:
        """Handle a new connection to an owner."""
        self._carry_out(self.ingress.link_up(self._loop.time(), target, incarnation))

    def link_lost(self, target: str) -> None:
        """Handle a lost connection to an owner."""
        self._carry_out(self.ingress.link_lost(self._loop.time(), target))

    def link_refused(self, target: str) -> None:
        """Handle a refused connection: the process of the owner is not running."""
        self._carry_out(self.ingress.link_refused(self._loop.time(), target))

    def adopt(
        self,
        generation: int,
        fleet: Fleet,
        tracked: Mapping[str, list[Member]],
        homes: Mapping[str, tuple[str, ...]],
        daemons: int = 1,
    ) -> None:
        """Adopt a configuration."""
        now = self._loop.time()
        self._carry_out(self.ingress.adopt(now, generation, fleet, tracked, homes, daemons))

    def track(self, tracked: dict[str, list[Member]], daemons: int) -> None:
        """Set the upstreams to choose from."""
        self._carry_out(self.ingress.track(self._loop.time(), tracked, daemons))

    def tell_lendings(self) -> None:
        """Tell quota servers to which of them this host lends its shares, if that changed."""
        self._carry_out([*self.ingress.gate.lendings()])

    def begin_shutdown(self, by: float, long_calls_until: float) -> None:
        """Let no call start that may not end by then; see `Ingress.begin_shutdown`."""
        self.ingress.begin_shutdown(by, long_calls_until)
        self._set_timer()

    def end_shutdown(self) -> None:
        """Give every call its final answer."""
        self._carry_out(self.ingress.end_shutdown(self._loop.time()))

    def local_up(self, incarnation: str) -> None:
        """Connect to the owner of this process; this connection cannot be lost."""
        self._owner_task.local_hello()
        self.link_up(self._name, incarnation)

    def _carry_out(self, actions: list[Action]) -> None:
        carry_out_each(actions, self._carry_out_one, "action of the ingress")
        self._set_timer()

    def _carry_out_one(self, action: Action) -> None:
        match action:
            case SendTo(target, frame):
                self._send(target, frame.kind, frame.body)
            case Reply(call_id, verdict, record):
                conn = self._callers.pop(call_id, None)
                if conn is not None:
                    conn.answer(verdict, trace_id(record.trace))
                self._record_call(record)
            case Connect(targets):
                self._links.connect(name for name in targets if name != self._name)

    def _send(self, target: str, kind: str, body: Any) -> None:
        if target == self._name:
            self._loop.call_soon(self._owner_task.local_message, kind, body)
            return
        if not self._links.send(target, kind, body) and kind == "Dispatch":
            self._carry_out(self.ingress.fates.not_sent(self._loop.time(), body["seq"]))

    def _record_call(self, record: Record) -> None:
        self._records.add_call(record)
        if self.on_ended is not None:
            self.on_ended(record)
        total_us = (record.ended - record.arrived) * 1e6
        self._latencies.record("call", total_us)
        if record.verdict == "answered" and len(record.attempts) == 1:
            self._latencies.record("added", total_us - record.attempts[0].served_us)
        if self._spans is not None:
            self._spans.export_call(record, time.time(), self._loop.time())

    def _set_timer(self) -> None:
        at = self.ingress.next_at()
        if at is None:
            return
        if self._timer is not None:
            if self._timer.when() <= at:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(at, self._tick)

    def _tick(self) -> None:
        self._timer = None
        try:
            self._carry_out(self.ingress.tick(self._loop.time()))
        except Exception:
            if self._timer is None:
                self._timer = self._loop.call_later(TICK_RETRY_S, self._tick)
            raise
