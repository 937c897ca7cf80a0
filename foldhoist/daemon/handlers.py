"""What every daemon answers to those who watch it, on tornado: readiness and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple, TypeAlias

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

if TYPE_CHECKING:
    from collections.abc import Callable

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the metrics."""


RouteSpec: TypeAlias = tuple[str, type[RequestHandler], dict[str, Any]]
"""A path, what answers it, and what that is given."""


class ReadyHandler(RequestHandler):
    """Answers 200 while the daemon takes callers, else 503."""

    def initialize(self, is_ready: Callable[[], bool]) -> None:
        """Take what knows it."""
        self.is_ready = is_ready

    def get(self) -> None:
        """Answer."""
        self.set_status(200 if self.is_ready() else 503)
        self.finish()


class MetricsHandler(RequestHandler):
    """Answers with counters, gauges and histograms as text."""

    def initialize(self, metrics: Callable[[], bytes]) -> None:
        """Take what writes them."""
        self.metrics = metrics

    def get(self) -> None:
        """Answer."""
        self.set_header("Content-Type", METRICS_TYPE)
        self.finish(self.metrics())


class ListeningServer(NamedTuple):
    """A server with the address at which it listens, with the port that the system chose."""

    server: HTTPServer
    address: str


def listen(routes: list[RouteSpec], address: str) -> ListeningServer:
    """Serve these paths at an address, IP:port; what is called is not logged."""
    app = Application(list(routes), log_function=lambda handler: None)
    host, _, port = address.rpartition(":")
    sockets = bind_sockets(int(port), host.strip("[]"))
    server = HTTPServer(app)
    server.add_sockets(sockets)
    return ListeningServer(server, "{}:{}".format(*sockets[0].getsockname()[:2]))
