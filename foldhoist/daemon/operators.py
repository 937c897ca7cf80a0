"""HTTP server for operators: status, metrics, configuration, records of calls, drain."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from tornado.web import RequestHandler

from foldhoist import __version__
from foldhoist.configlog.fold import to_snapshot
from foldhoist.daemon.background import run_once
from foldhoist.daemon.configuration import describe
from foldhoist.daemon.handlers import MetricsHandler, RouteSpec, serve
from foldhoist.daemon.http import parse_count
from foldhoist.observe.records import record_report

if TYPE_CHECKING:
    from socket import socket

    from foldhoist.daemon.daemon import Daemon


class _Handler(RequestHandler):
    def initialize(self, daemon: Daemon) -> None:
        self.daemon = daemon

    def write_json(self, body: Any) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))


class _Status(_Handler):
    def get(self) -> None:
        self.write_json(status_of(self.daemon))


class _Configuration(_Handler):
    def get(self) -> None:
        self.write_json(to_snapshot(self.daemon.configuration.state))


class _Records(_Handler):
    def get(self) -> None:
        after = parse_count(self.get_query_argument("after", "0").encode())
        if after is None:
            self.send_error(400)
            return
        number, latest = self.daemon.records.since(after)
        self.write_json({"number": number, "records": [record_report(each) for each in latest]})


class _Explain(_Handler):
    def get(self, trace: str) -> None:
        buffer = self.daemon.records
        hops = [
            {"owner": hop.owner, "at": hop.at, **hop.call._asdict()}
            for hop in buffer.hops_of(trace)
        ]
        calls = [record_report(record) for record in buffer.calls_of(trace)]
        self.write_json({"daemon": self.daemon.name, "calls": calls, "hops": hops})


class _Drain(_Handler):
    def post(self) -> None:
        run_once("shutdown", self.daemon.drain, self.daemon.stopped.set)
        self.write_json({"draining": True})


class OperatorServer:
    """The operators' HTTP server of a daemon."""

    def __init__(self, daemon: Daemon, sock: socket) -> None:
        """Serve at a listening socket."""
        shared = {"daemon": daemon}
        routes: list[RouteSpec] = [
            (r"/status", _Status, shared),
            (r"/metrics", MetricsHandler, {"metrics": daemon.metrics.text}),
            (r"/configuration", _Configuration, shared),
            (r"/records", _Records, shared),
            (r"/explain/([0-9a-f]{32})", _Explain, shared),
            (r"/drain", _Drain, shared),
        ]
        self._server = serve(routes, sock)

    def close(self) -> None:
        """Stop listening."""
        self._server.stop()


def status_of(daemon: Daemon) -> dict[str, Any]:
    """Return the status for `foldhoist status`; an age is -1 if there is no load report."""
    state = daemon.configuration.state
    return {
        "name": daemon.name,
        "version": __version__,
        "incarnation": daemon.incarnation,
        "started": daemon.started,
        "draining": daemon.draining,
        "addresses": daemon.addresses,
        "configuration": describe(state),
        "adopted_at": daemon.configuration.adopted_at,
        "adopt_ms": daemon.configuration.adopt_ms,
        "reader": daemon.configuration.peers.role.reader,
        "log_reachable": daemon.configuration.log_ok,
        "load": daemon.owner.load(),
        "limit": _limit(daemon),
        "leaving_why": sorted(daemon.owner.status.leaving_sources),
        "keys_pending": sorted(daemon.owner.keys.pending),
        "keys_since_ms": daemon.owner.keys.since_ms,
        "quotas": daemon.quotas.status(),
        "gauges": daemon.gauges(),
        "latencies_us": daemon.latencies.summary(),
        "counters": daemon.counters(),
        "upstreams": _upstreams(daemon),
    }


def _limit(daemon: Daemon) -> dict[str, float]:
    """Return the upstream's rate limit, its age and the rate of calls sent; -1 if there is none."""
    signals = daemon.owner.load().get("signals", {})
    now = daemon.ingress_task.now()
    return {
        "per_s": _or_unknown(signals.get("limit_per_s")),
        "age_s": signals.get("limit_age_ms", -1000) / 1000,
        "used_per_s": round(daemon.owner.queue.rate.used_per_s(now), 2),
    }


def _or_unknown(per_s: float | None) -> float:
    return -1.0 if per_s is None else per_s


def _upstreams(daemon: Daemon) -> list[dict[str, Any]]:
    now = daemon.ingress_task.now()
    rows: list[dict[str, Any]] = []
    for service, picker in daemon.ingress_task.ingress.pickers().items():
        for stats in picker.tracks.values():
            load = stats.load
            rows.append(
                {
                    "service": service,
                    "name": stats.name,
                    "data_centre": stats.data_centre,
                    "linked": stats.connected,
                    "state": load["state"] if load is not None else "unknown",
                    "age_s": round(now - stats.load_at, 3) if load is not None else -1,
                    "in_flight": stats.in_flight,
                    "busy": load["busy"] if load is not None else -1,
                    "queued": load["queued"] if load is not None else -1,
                    "slots": stats.slots,
                    "latency_ms": round(stats.latency_s * 1000, 3),
                    "errors": round(stats.errors, 3),
                    "limit_per_s": _or_unknown(stats.limit_per_s),
                    "limit_wait_s": round(stats.limit_wait_s(now), 3),
                    "ejected_s": round(max(0.0, stats.ejected_until - now), 3),
                }
            )
    return rows
