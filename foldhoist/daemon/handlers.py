"""HTTP handlers for readiness and metrics, and the server that runs them, on tornado."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple, TypeAlias

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from foldhoist.addresses import parse_address

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_REQUEST_BYTES = 64 * 1024
"""Limit of a request's head and of its body, bytes; those of upstreams and operators are small."""
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the Prometheus text format."""


RouteSpec: TypeAlias = tuple[str, type[RequestHandler], dict[str, Any]]
"""A path pattern, its handler class and the arguments of the handler's `initialize`."""


class ReadyHandler(RequestHandler):
    """Answers 200 while the daemon is ready for callers, else 503."""

    def initialize(self, is_ready: Callable[[], bool]) -> None:
        """Store the readiness check."""
        self.is_ready = is_ready

    def get(self) -> None:
        """Answer with a status and no body."""
        self.set_status(200 if self.is_ready() else 503)
        self.finish()


class MetricsHandler(RequestHandler):
    """Answers with counters, gauges and histograms as text."""

    def initialize(self, metrics: Callable[[], bytes]) -> None:
        """Store the function that renders the metrics."""
        self.metrics = metrics

    def get(self) -> None:
        """Answer with the metrics."""
        self.set_header("Content-Type", METRICS_TYPE)
        self.finish(self.metrics())


class ListeningServer(NamedTuple):
    """A server and its bound address, which has the port that the system chose for port 0."""

    server: HTTPServer
    address: str


def listen(routes: list[RouteSpec], address: str) -> ListeningServer:
    """Serve these routes at an address, IP:port; requests are not logged."""
    app = Application(list(routes), log_function=lambda handler: None)
    bound = parse_address(address, min_port=0)
    sockets = bind_sockets(bound.port, bound.host)
    server = HTTPServer(app, max_header_size=MAX_REQUEST_BYTES, max_body_size=MAX_REQUEST_BYTES)
    server.add_sockets(sockets)
    return ListeningServer(server, "{}:{}".format(*sockets[0].getsockname()[:2]))
