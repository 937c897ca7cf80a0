"""A daemon that reads its configuration from a log: creates its tasks and connects them."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from typing import TYPE_CHECKING, Any

from loguru import logger

from foldhoist.admission.cold import ColdRate
from foldhoist.admission.slots import QueueLimits
from foldhoist.config.fleet import evacuated
from foldhoist.config.reload import RELOADABLE_LIMITS, merge_reloadable
from foldhoist.daemon.allocator import configure_allocator
from foldhoist.daemon.background import COUNT, run_task
from foldhoist.daemon.caller_listener import stop_listening
from foldhoist.daemon.caller_state import ServerState
from foldhoist.daemon.configuration import ConfigurationTask
from foldhoist.daemon.control import Control
from foldhoist.daemon.garbage import configure_gc
from foldhoist.daemon.graceful_shutdown import GracefulShutdown, LeaveFirst
from foldhoist.daemon.handover import HandoverTask
from foldhoist.daemon.held_memory import apply_limits, owner_bodies
from foldhoist.daemon.ingress_task import IngressTask
from foldhoist.daemon.links import LinkEvents, Links
from foldhoist.daemon.listeners import accept_traffic, addresses_of, open_listeners
from foldhoist.daemon.operators import OperatorServer
from foldhoist.daemon.owner_task import OwnerTask
from foldhoist.daemon.prober import Prober
from foldhoist.daemon.quota_task import QuotaTask
from foldhoist.daemon.traffic_metrics import traffic_counters, traffic_gauges
from foldhoist.delivery.codec import FRAME_OVERHEAD_BYTES, SCHEMA_VERSION
from foldhoist.delivery.ingress import Ingress
from foldhoist.delivery.keys import KEY_WINDOW_S
from foldhoist.delivery.owner import Owner
from foldhoist.logservice.client import PlatformClient
from foldhoist.membership.view import homes, tracked
from foldhoist.observe.counters import counters_of
from foldhoist.observe.latencies import Latencies
from foldhoist.observe.logs import log_reload
from foldhoist.observe.metrics import Metrics
from foldhoist.observe.records import Hop, RecordBuffer
from foldhoist.observe.spans import SpanExporter
from foldhoist.quarantine.table import Quarantine

if TYPE_CHECKING:
    from socket import socket

    from foldhoist.configlog.fold import State
    from foldhoist.delivery.dispatch import Ended
    from foldhoist.schema.fleet import Fleet
    from foldhoist.schema.messages import Hello
    from foldhoist.schema.settings import Settings

MAX_EAGER_LINKS = 64
"""Up to this number of tracked upstreams, connections are opened before the first call."""
INITIAL_QUEUE_LIMITS = QueueLimits(slots=1, queue=0, urgent_slots=0, urgent_run=1)
"""Queue limits of the owner before a configuration lists its target."""


class Daemon:
    """All tasks and sockets of one daemon process."""

    def __init__(self, cfg: Settings, rng: random.Random | None = None) -> None:
        self.cfg = cfg
        self.name = cfg["daemon"]["name"]
        self.incarnation = secrets.token_hex(8)
        self.rng = rng or random.Random()
        self.started = time.time()
        self._targets: frozenset[str] = frozenset()
        self.stopped = asyncio.Event()
        self.addresses: dict[str, str] = {}
        self._sockets: dict[str, socket] = {}
        self.latencies = Latencies()
        self.records = RecordBuffer(cfg["observe"]["records"])
        observe, centre = cfg["observe"], cfg["daemon"]["data_centre"]
        self.spans = SpanExporter(self.name, centre, observe["otlp"], observe["trace_share"])
        self.metrics = Metrics(self.latencies, self.counters, self.gauges)
        self._hello: Hello = {
            "name": self.name,
            "incarnation": self.incarnation,
            "epoch": 1,
            "schema": SCHEMA_VERSION,
        }

    async def listen(self) -> None:
        """Listen on all addresses; waits while another process holds one of them."""
        self._sockets = await open_listeners(self.cfg["listen"])
        self.addresses = addresses_of(self._sockets)

    async def start(self) -> None:
        """Serve at all addresses and start every task."""
        if not self._sockets:
            await self.listen()
        cfg = self.cfg
        limit = cfg["limits"]["body_bytes"] + FRAME_OVERHEAD_BYTES
        platform = cfg["platform"]
        self.client = PlatformClient(platform["log"], platform["stream"], platform["hosts"])
        self._bodies = owner_bodies(cfg["limits"])
        quarantine = Quarantine(self.incarnation)
        self.owner = Owner(
            self.name,
            "",
            INITIAL_QUEUE_LIMITS,
            KEY_WINDOW_S,
            bodies=self._bodies,
            quarantine=quarantine,
        )
        self.owner_task = OwnerTask(
            self.owner, cfg, self._hello, self._local_frame, self._record_hop, on_peer=self._on_peer
        )
        ingress = Ingress(
            cfg["daemon"]["data_centre"], cfg["limits"]["calls"], self.rng, quarantine=quarantine
        )
        self.ingress_task = IngressTask(ingress, self.records, self.latencies, self.spans)
        events = LinkEvents(
            self.ingress_task.link_up,
            self.ingress_task.link_lost,
            self.ingress_task.link_refused,
            self.ingress_task.message,
        )
        self.links = Links(self._hello, limit, events, self.rng, self._bodies)
        self.ingress_task.attach(self.name, self.links, self.owner_task)
        self.quotas = QuotaTask(
            self.name,
            platform["quota_slack"],
            self.ingress_task,
            self.owner_task,
            lambda: self._targets,
            lambda hosts: self.links.connect(hosts - {self.name}),
        )
        self.callers = ServerState(
            cfg["limits"],
            self.ingress_task.arrive,
            self.ingress_task.caller_disconnected,
            memory=self._bodies.process,
        )
        self._servers = await accept_traffic(self._sockets, self.callers, self.owner_task)
        self.shutdown = GracefulShutdown(self, LeaveFirst())
        # The library of control messages opens its listener itself.
        self._sockets["control"].close()
        self.control = Control(self.addresses["control"], cfg["measuring"], self._on_control)
        self.configuration = ConfigurationTask(
            cfg, self.client, self.control, self._on_adopt, self.rng
        )
        self.handover = HandoverTask(self.owner, self.control)
        self.prober = Prober(cfg, self.client, self.owner_task.set_state, self._on_host_state)
        self.operators = OperatorServer(self, self._sockets["operators"])
        for task in (self.configuration, self.handover, self.prober, self.owner_task):
            task.start()
        self._overdue_task = run_task("callers", self.callers.close_overdue)
        self._counters_task = run_task("counters", self._log_counters)
        configure_allocator()
        configure_gc()
        logger.info("daemon {} started, incarnation {}", self.name, self.incarnation)

    async def drain(self) -> None:
        """Shut down gracefully."""
        await self.shutdown.run()

    def reload(self, cfg: Settings) -> None:
        """Apply changed limits; other settings need a restart."""
        found = merge_reloadable(self.cfg, cfg, RELOADABLE_LIMITS)
        log_reload(found)
        self.cfg = found.cfg
        limits = found.cfg["limits"]
        self.callers.set_limits(limits)
        self.ingress_task.ingress.admission.max_calls = limits["calls"]
        apply_limits(limits, self._bodies, self.owner_task.pool)

    @property
    def draining(self) -> bool:
        """Return whether a graceful shutdown has begun."""
        return self.shutdown.started

    def stop_accepting(self) -> None:
        """Stop accepting connections of callers."""
        stop_listening(self._servers[0], self._sockets["callers"], self.callers)

    async def stop(self) -> None:
        """Close every socket and end every task."""
        self._counters_task.cancel()
        self._overdue_task.cancel()
        for server in self._servers:
            server.close()
        self.operators.close()
        tasks = (self.quotas, self.prober, self.handover, self.configuration, self.owner_task)
        for task in tasks:
            task.close()
        self.links.close()
        self.control.close()
        self.client.close()
        self.spans.close()
        logger.info("daemon {} stopped", self.name)
        self.stopped.set()

    def counters(self) -> dict[str, dict[str, int]]:
        """Return all counters, by part."""
        return {
            **traffic_counters(self.ingress_task, self.owner_task, self.callers),
            "control": counters_of(self.control.count)
            | {"passed_over": self.control.passed_over.count},
            "configuration": counters_of(self.configuration.count),
            "process": counters_of(COUNT),
            "prober": counters_of(self.prober.count),
            "quotas": self.quotas.counters(),
        }

    def gauges(self) -> dict[str, float]:
        """Return all gauges."""
        return {
            **traffic_gauges(self.ingress_task, self.owner_task, self.callers, self.links),
            "generation": self.configuration.state.generation,
        }

    def _on_adopt(self, state: State, fleet: Fleet) -> None:
        own_target = fleet["targets"].get(self.name)
        if own_target is not None:
            self._adopt_as_owner(state, fleet)
        centre = self.cfg["daemon"]["data_centre"]
        tracked_upstreams = tracked(fleet, self.name, centre)
        self.links.set_addresses(
            {name: target["frames"] for name, target in fleet["targets"].items()}
        )
        self.ingress_task.adopt(state.generation, fleet, tracked_upstreams, homes(fleet))
        self._targets = frozenset(fleet["targets"])
        self.quotas.adopt()
        names = {member.name for members in tracked_upstreams.values() for member in members}
        if self.name in names or own_target is not None:
            self.ingress_task.local_up(self.incarnation)
        if len(names) <= MAX_EAGER_LINKS:
            self.links.connect(sorted(names - {self.name}))

    def _adopt_as_owner(self, state: State, fleet: Fleet) -> None:
        target = fleet["targets"][self.name]
        service = fleet["services"][target["service"]]
        if self.owner.service not in ("", target["service"]):
            logger.error("target {} changed its service: restart the daemon", self.name)
            return
        self.owner.service = target["service"]
        self.owner.keys.window_s = service["key_window_s"]
        self.owner_task.set_queue_limits(
            QueueLimits(
                target["slots"], service["queue"], service["urgent_slots"], service["urgent_run"]
            )
        )
        self.owner_task.pool.max_connections = target["connections"]
        rate = ColdRate(service["cold_per_s"], service["cold_ms"] / 1000)
        self.owner_task.set_cold_rate(rate)
        self.owner_task.set_evacuated(target["data_centre"] in evacuated(fleet))
        if target["state"] == "serving":
            self.owner_task.clear_leaving("configuration")
        else:
            self.owner_task.set_leaving("configuration")
        self.handover.adopt(state.generation, fleet)

    def _on_peer(self, link: int, kind: str, body: Any) -> None:
        if kind == "CreditAsk":
            self.quotas.on_ask(link, body)

    def _on_control(self, kind: str, body: Any) -> None:
        match kind:
            case "Snapshot":
                self.configuration.on_snapshot(body)
            case "Ask":
                self.configuration.on_ask(body)
            case "Held":
                self.configuration.on_held(body)
            case "Handover":
                self.handover.on_handover(body)
            case "Handed":
                self.handover.on_handed(body)

    def _on_host_state(self, state: str) -> None:
        if state == "leaving":
            self.owner_task.set_leaving("host-list")
        elif state == "live":
            self.owner_task.clear_leaving("host-list")

    def _local_frame(self, kind: str, body: Any) -> None:
        self.ingress_task.message(self.name, kind, body)

    def _record_hop(self, call: Ended) -> None:
        hop = Hop(self.name, time.time(), call)
        self.records.add_hop(hop)
        self.spans.export_hop(hop)
        self.latencies.record("queue", call.waited_us)
        self.latencies.record("upstream", call.served_us)

    async def _log_counters(self) -> None:
        every = self.cfg["observe"]["counters_s"]
        while every > 0:
            await asyncio.sleep(every)
            logger.info("counters {}", self.counters())
