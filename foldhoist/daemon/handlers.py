"""HTTP handlers for readiness and metrics, and the server that runs them, on tornado."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any, TypeAlias

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from foldhoist.daemon.accepting import SparingSocket
from foldhoist.daemon.background import COUNT

if TYPE_CHECKING:
    from collections.abc import Callable
    from socket import socket

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


def serve(routes: list[RouteSpec], sock: socket) -> HTTPServer:
    """Serve these routes at a listening socket; requests are not logged, errors are counted."""
    app = Application(list(routes), log_function=_count_error)
    server = HTTPServer(app, max_header_size=MAX_REQUEST_BYTES, max_body_size=MAX_REQUEST_BYTES)
    server.add_socket(SparingSocket(sock))
    return server


def _count_error(handler: RequestHandler) -> None:
    if handler.get_status() == HTTPStatus.INTERNAL_SERVER_ERROR:
        COUNT.handler_errors += 1
