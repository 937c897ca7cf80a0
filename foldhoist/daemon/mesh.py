"""A daemon on a platform that is reached through an adapter; upstreams announce themselves."""

from __future__ import annotations

import asyncio
import random
import secrets
from typing import TYPE_CHECKING, Any

from loguru import logger

from foldhoist.admission.cold import ColdRate, Tolerance
from foldhoist.admission.due import DueQueue
from foldhoist.admission.slots import QueueLimits
from foldhoist.config.fleet import evacuated, limits_of
from foldhoist.config.reload import RELOADABLE_LIMITS, merge_reloadable
from foldhoist.configlog.versions import ReaderElection
from foldhoist.daemon.allocator import configure_allocator
from foldhoist.daemon.background import COUNT, run_task
from foldhoist.daemon.caller_listener import stop_listening
from foldhoist.daemon.caller_state import ServerState
from foldhoist.daemon.garbage import configure_gc
from foldhoist.daemon.graceful_shutdown import GracefulShutdown, NoticeFirst
from foldhoist.daemon.held_memory import apply_limits, owner_bodies
from foldhoist.daemon.ingress_task import IngressTask
from foldhoist.daemon.links import LinkEvents, Links
from foldhoist.daemon.listeners import accept_traffic, addresses_of, open_listeners
from foldhoist.daemon.owner_task import OwnerTask
from foldhoist.daemon.peer_messages import PeerMessages
from foldhoist.daemon.peers_task import PeersTask
from foldhoist.daemon.ports import load_adapter
from foldhoist.daemon.quota_task import QuotaTask
from foldhoist.daemon.traffic_metrics import traffic_counters, traffic_gauges
from foldhoist.daemon.upstream_task import UpstreamTask
from foldhoist.daemon.versions_task import VersionsTask
from foldhoist.delivery.codec import FRAME_OVERHEAD_BYTES, SCHEMA_VERSION
from foldhoist.delivery.ingress import Ingress
from foldhoist.delivery.keys import KEY_WINDOW_S
from foldhoist.delivery.owner import Owner
from foldhoist.delivery.services import RetrySlack
from foldhoist.membership.registry import Registry
from foldhoist.observe.counters import counters_of
from foldhoist.observe.events import EventLog
from foldhoist.observe.exporting import make_span_exporter
from foldhoist.observe.latencies import Latencies
from foldhoist.observe.logs import log_reload, write_event
from foldhoist.observe.records import RecordBuffer
from foldhoist.quarantine.table import Quarantine

if TYPE_CHECKING:
    from socket import socket

    from foldhoist.configlog.versions import Version
    from foldhoist.delivery.call import Record
    from foldhoist.delivery.dispatch import Ended, Refused
    from foldhoist.routing.picker import Member as Tracked
    from foldhoist.schema.fleet import Fleet
    from foldhoist.schema.messages import Hello, Member
    from foldhoist.schema.settings import Settings

INITIAL_QUEUE_LIMITS = QueueLimits(slots=1, queue=0, urgent_slots=0, urgent_run=8)
"""Queue limits of the owner before the first announcement of its upstream."""
RELOADABLE = RELOADABLE_LIMITS | {
    "[upstream] service",
    "[platform] retry_slack",
    "[platform] retry_window_s",
    "[platform] quota_slack",
    "[observe] log_share",
}
"""Settings that can be changed without a restart."""


class MeshDaemon:
    """All tasks and sockets of one daemon process on a platform with an adapter."""

    def __init__(
        self, cfg: Settings, rng: random.Random | None = None, began: float | None = None
    ) -> None:
        self.cfg = cfg
        self._began = began
        self.name = cfg["daemon"]["name"]
        self.data_centre = cfg["daemon"]["data_centre"]
        self.incarnation = secrets.token_hex(8)
        self.rng = rng or random.Random()
        self.stopped = asyncio.Event()
        self.addresses: dict[str, str] = {}
        self._sockets: dict[str, socket] = {}
        self._reports_made = 0
        self._unknown_evacuated: frozenset[str] = frozenset()
        self._announced_service = cfg["upstream"]["service"]
        self.latencies = Latencies()
        self.adapter = load_adapter(cfg)
        self.events = EventLog(write_event, cfg["observe"]["log_share"], self.rng)
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
        self._make_roles()
        self.store = self.adapter.store()
        self.registry = Registry(self.name, self.data_centre)
        self.upstream = UpstreamTask(
            self.owner_task, self._on_upstream_changed, cfg["upstream"]["service"], self._is_service
        )
        self.owner_task.on_leaving = self.upstream.leaving_signalled
        self.peers = PeersTask(
            self.registry,
            self.links,
            self.store,
            self.describe,
            self._on_peers_changed,
            self._on_links_updated,
            self.upstream.store_answered,
            self.ingress_task.ingress.is_busy,
            self.owner_task.send_to,
            self.quarantine,
            self.rng,
        )
        self.readers = ReaderElection(self.name, cfg["platform"]["wait_ms"] / 1000 + 1.5)
        self.versions = VersionsTask(
            self.adapter,
            self.store,
            self.readers,
            cfg["platform"]["wait_ms"],
            self._on_adopt,
            self.rng,
        )
        dialect, memory = self.adapter.dialect, self._bodies.process
        handlers = self.ingress_task.arrive, self.ingress_task.caller_disconnected
        self.callers = ServerState(cfg["limits"], *handlers, dialect, memory)
        self._servers = await accept_traffic(self._sockets, self.callers, self.owner_task)
        self.shutdown = GracefulShutdown(self, NoticeFirst())
        self.endpoints = self.adapter.listen(
            self._sockets, self.upstream, self._is_ready, self.metrics
        )
        self.upstream.start(self.peers, first=cfg["platform"]["first_start"])
        self.peers.start(cfg["platform"]["first_start"])
        self.versions.start(self.peers, cfg["platform"]["first_start"])
        self.owner_task.start()
        self.ingress_task.local_up(self.incarnation)
        self._overdue_task = run_task("callers", self.callers.close_overdue)
        configure_allocator()
        configure_gc()
        logger.info("daemon {} started, incarnation {}", self.name, self.incarnation)

    async def drain(self) -> None:
        """Shut down gracefully."""
        await self.shutdown.run()

    def reload(self, cfg: Settings) -> None:
        """Apply changed settings, apart from those that need a restart."""
        found = merge_reloadable(self.cfg, cfg, RELOADABLE)
        log_reload(found)
        self.cfg = found.cfg
        limits, platform = found.cfg["limits"], found.cfg["platform"]
        self.adapter.reload(found.cfg)
        self.events.share = found.cfg["observe"]["log_share"]
        self.ingress_task.ingress.admission.max_calls = limits["calls"]
        apply_limits(limits, self._bodies, self.owner_task.pool)
        self._slack.attempts = platform["retry_slack"]
        self._slack.window_s = platform["retry_window_s"]
        self.quotas.server.slack = platform["quota_slack"]
        self._update_tracked()
        if self.versions.fleet is not None:
            self.callers.set_limits(limits_of(limits, self.versions.fleet))

    async def stop(self) -> None:
        """Close every socket and end every task."""
        self._overdue_task.cancel()
        for server in self._servers:
            server.close()
        self.endpoints.close()
        for task in (self.quotas, self.versions, self.upstream, self.peers, self.owner_task):
            task.close()
        self.links.close()
        self.store.close()
        logger.info("daemon {} stopped", self.name)
        self.stopped.set()

    def metrics(self) -> bytes:
        """Return all metrics as text; the library is imported on first use."""
        from foldhoist.observe.metrics import Metrics

        return Metrics(self.latencies, self.counters, self.gauges).text()

    def counters(self) -> dict[str, dict[str, int]]:
        """Return all counters, by part."""
        return {
            **traffic_counters(self.ingress_task, self.owner_task, self.callers),
            "configuration": counters_of(self.versions.count),
            "process": counters_of(COUNT),
            "quotas": self.quotas.counters(),
            "upstream": counters_of(self.upstream.count),
            "store": {"passed_over": self.store.passed_over},
            "peers": {"passed_over": self.peers.passed_over.count},
        }

    def gauges(self) -> dict[str, float]:
        """Return all gauges."""
        return {
            **traffic_gauges(self.ingress_task, self.owner_task, self.callers, self.links),
            "version": self.versions.version.number,
            "evacuated": len(self.versions.evacuations.data_centres),
            "peers": len(self.registry.peers),
        }

    def _make_roles(self) -> None:
        cfg = self.cfg
        self.messages = PeerMessages(self)
        service = cfg["upstream"]["service"]
        queue = DueQueue(INITIAL_QUEUE_LIMITS)
        self._bodies = owner_bodies(cfg["limits"])
        self.quarantine = Quarantine(self.incarnation)
        self.owner = Owner(
            self.name,
            service,
            INITIAL_QUEUE_LIMITS,
            KEY_WINDOW_S,
            queue,
            self._bodies,
            self.quarantine,
        )
        self.owner_task = OwnerTask(
            self.owner,
            cfg,
            self._hello,
            self._local_frame,
            self._record_hop,
            self.adapter.dialect,
            self.messages.on_inbound,
        )
        if self._began is not None:
            self.owner_task.began = self._began
        platform = cfg["platform"]
        self._slack = RetrySlack(platform["retry_slack"], platform["retry_window_s"])
        ingress = Ingress(
            self.data_centre, cfg["limits"]["calls"], self.rng, self._slack, self.quarantine
        )
        records = RecordBuffer(cfg["observe"]["records"])
        self.ingress_task = IngressTask(ingress, records, self.latencies, make_span_exporter(cfg))
        events = LinkEvents(
            self._on_link_up,
            self._on_link_lost,
            self.ingress_task.link_refused,
            self.messages.on_outbound,
        )
        limit = cfg["limits"]["body_bytes"] + FRAME_OVERHEAD_BYTES
        self.links = Links(self._hello, limit, events, self.rng, self._bodies)
        self.ingress_task.on_ended = self._record_call
        self.owner_task.on_refused = self._record_refusal
        self.owner_task.on_suspects = self.messages.share_suspects
        self.owner_task.on_quarantined = self.messages.store_quarantined
        self.ingress_task.attach(self.name, self.links, self.owner_task)
        self.quotas = QuotaTask(
            self.name,
            platform["quota_slack"],
            self.ingress_task,
            self.owner_task,
            lambda: self.registry.peers if self.peers.knows_hosts else None,
            self._on_quota_servers,
        )

    def stop_accepting(self) -> None:
        """Stop accepting connections of callers."""
        stop_listening(self._servers[0], self._sockets["callers"], self.callers)

    def _is_ready(self) -> bool:
        return self.versions.fleet is not None and not self.shutdown.started

    def _is_service(self, name: str) -> bool:
        """Return whether the configuration has a service; True if there is no configuration yet."""
        fleet = self.versions.fleet
        return fleet is None or name in fleet["services"]

    def describe(self) -> Member:
        """Return the report about this daemon that is sent to peers."""
        self._reports_made += 1
        return {
            "name": self.name,
            "incarnation": self.incarnation,
            "telling": self._reports_made,
            "frames": self.addresses["frames"],
            "data_centre": self.data_centre,
            "version": self.versions.version.number,
            "evacuated_at": self.versions.evacuations.at,
            "upstream": self.upstream.announcement(),
            "ended": self.upstream.known.ended.rows(),
        }

    def _on_adopt(self, version: Version, fleet: Fleet) -> None:
        self.callers.set_limits(limits_of(self.cfg["limits"], fleet))
        own = fleet["services"].get(self.owner.service)
        if own is not None and own["health_path"]:
            self.owner_task.sampler.path = own["health_path"]
        self._set_cold_rate(fleet)
        self._set_evacuated(evacuated(fleet))
        daemons = len(self.registry.peers) + 1
        self.ingress_task.adopt(version.number, fleet, self._tracked(), {}, daemons)
        self.quotas.adopt()

    def _set_cold_rate(self, fleet: Fleet) -> None:
        own = fleet["services"].get(self.owner.service)
        if own is not None:
            rate = ColdRate(own["cold_per_s"], own["cold_ms"] / 1000)
            upstream = self.cfg["upstream"]
            tolerance = Tolerance(upstream["cold_overage"], upstream["cold_slack"])
            self.owner_task.set_cold_rate(rate.with_tolerance(tolerance))

    def _set_evacuated(self, names: frozenset[str]) -> None:
        centres = {peer.data_centre for peer in self.registry.peers.values()} | {self.data_centre}
        for name in sorted(names - centres - self._unknown_evacuated):
            logger.warning("data centre {} is evacuated, but none of its hosts is known", name)
        self._unknown_evacuated = names - centres
        self.owner_task.set_evacuated(self.data_centre in names)

    def _on_upstream_changed(self, replaced: bool) -> None:
        """Handle a change of this daemon's upstream."""
        now = asyncio.get_running_loop().time()
        if self.versions.fleet is not None:
            self._set_cold_rate(self.versions.fleet)
        if replaced:
            self.ingress_task.ingress.upstream_replaced(now, self.name)
        self._update_tracked()
        self._report_change()

    def _on_peers_changed(self, changed: list[str]) -> None:
        now = asyncio.get_running_loop().time()
        for name in changed:
            self.ingress_task.ingress.upstream_replaced(now, name)

    def _on_quota_servers(self, hosts: frozenset[str]) -> None:
        """Set the quota servers, to which connections are kept."""
        self.registry.quota_servers = hosts
        self.peers.schedule_link_update()

    def _on_links_updated(self) -> None:
        self.readers.set_peers([self.name, *self.registry.neighbours.local_daemons()])
        self._update_tracked()

    def _update_tracked(self) -> None:
        self.ingress_task.track(self._tracked(), len(self.registry.peers) + 1)

    def _tracked(self) -> dict[str, list[Tracked]]:
        now = asyncio.get_running_loop().time()
        return self.registry.tracked(now, self.upstream.known.current)

    def _report_change(self) -> None:
        """Report a change to this data centre and all ingresses; a new service, also to relays."""
        recipients = self.peers.report_to_data_centre()
        for link, name in self.owner_task.ingresses():
            if name not in recipients:
                self.messages.send_member(link, name)
        service = self.upstream.announcement()["service"]
        if service != self._announced_service:
            self._announced_service = service
            self.peers.announce()

    def _on_link_up(self, name: str, incarnation: str) -> None:
        self.peers.on_link_up(name)
        self.ingress_task.link_up(name, incarnation)
        self._record_link_event(name, "up")

    def _on_link_lost(self, name: str) -> None:
        self.peers.on_link_lost(name)
        self.ingress_task.link_lost(name)
        self._record_link_event(name, "lost")

    def _record_link_event(self, name: str, state: str) -> None:
        now = asyncio.get_running_loop().time()
        self.events.log_change(now, "link", {"peer": name, "state": state})

    def _local_frame(self, kind: str, body: Any) -> None:
        self.ingress_task.message(self.name, kind, body)

    def _record_call(self, record: Record) -> None:
        self.events.log_call(asyncio.get_running_loop().time(), record)

    def _record_refusal(self, refused: Refused) -> None:
        self.events.log_refused(asyncio.get_running_loop().time(), refused)

    def _record_hop(self, call: Ended) -> None:
        self.events.log_hop(asyncio.get_running_loop().time(), call)
        self.latencies.record("queue", call.waited_us)
        self.latencies.record("upstream", call.served_us)
