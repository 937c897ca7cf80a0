"""Connections to the upstream: a bounded pool; only a complete answer allows reuse."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import httptools

from foldhoist.daemon.dialect import DefaultDialect
from foldhoist.daemon.http import HeadReader, write_head
from foldhoist.delivery.dispatch import Incomplete, Result, StartCall

if TYPE_CHECKING:
    from collections.abc import Callable

    from foldhoist.daemon.dialect import Dialect
    from foldhoist.delivery.signal_state import AnswerSignals

MAX_IDLE_S = 20.0
"""Maximum idle time after which a connection is still reused, seconds."""
IDLE_MARGIN_S = 1.5
"""Subtracted from the timeout in an upstream's Keep-Alive header, seconds."""
CONNECTION_LOST = "upstream-connection-lost"
"""Reason of a call whose connection was lost before its answer was complete."""


class _TooLargeError(Exception):
    """The body of an answer exceeds its limit."""


class UpstreamConnection(asyncio.Protocol):
    """A connection that runs one call at a time; `on_end` is called once per call.

    `on_signals` is called with the signals in the head of an answer.
    """

    def __init__(
        self,
        max_body_bytes: int,
        on_end: Callable[[UpstreamConnection, Result], None],
        dialect: Dialect | None = None,
        on_signals: Callable[[int, AnswerSignals], None] | None = None,
    ) -> None:
        dialect = dialect or DefaultDialect()
        self.ticket = 0
        self.idle_since = 0.0
        self.idle_s = MAX_IDLE_S
        self._dialect = dialect
        self._call: StartCall | None = None
        self._max_body_bytes = max_body_bytes
        self._on_end = on_end
        self._on_signals = on_signals
        self._transport: asyncio.Transport | None = None
        self._running = False
        self._sent = False
        self._is_head = False
        self._complete = False
        self._result: Result | None = None
        self.head = HeadReader(dialect.upstream_rules)
        self._reset(is_head=False)

    @property
    def connected(self) -> bool:
        """Return whether the connection is open."""
        return self._transport is not None

    @property
    def usable(self) -> bool:
        """Return whether the connection can take another call."""
        return self._transport is not None and not self._running and self._reusable

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def call(self, call: StartCall, data: bytes) -> None:
        """Send the encoded request of a call."""
        self.ticket = call.ticket
        self._call = call
        self._reset(call.request["method"] == "HEAD")
        self._running = True
        self._sent = True
        assert self._transport is not None
        self._transport.write(data)

    def abort(self, reason: str) -> None:
        """Close the connection at once; a running call ends as incomplete."""
        self._reusable = False
        if self._transport is not None:
            self._transport.abort()
        self._finish(Incomplete(self._sent, reason))

    def connection_lost(self, exc: Exception | None) -> None:
        """End the running call; only an answer that lasts until the connection ends is complete."""
        self._transport = None
        self._reusable = False
        if self._running and self._until_close and exc is None:
            result = self._interpret()
            if result is not None:
                self._finish(result)
                return
        self._finish(Incomplete(self._sent, CONNECTION_LOST))

    def data_received(self, data: bytes) -> None:
        """Parse an answer; bytes without a running call close the connection."""
        if not self._running:
            self.abort("bytes-without-request")
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            if self._result is not None:
                self._close_after = True
                self._finish(self._result)
                return
            too_large = isinstance(exc.__context__, _TooLargeError)
            self.abort("answer-too-large" if too_large else "malformed-answer")
            return
        if self._result is not None:
            self._finish(self._result)

    def on_message_begin(self) -> None:
        """Rule out reuse of the connection if a second answer to one request begins."""
        if self._complete:
            self._reusable = False
            self._close_after = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header."""
        if self._complete:
            return
        lower = name.lower()
        if lower == b"content-length" or (lower == b"transfer-encoding" and b"chunked" in value):
            self._framed = True
            return
        self.head.add(name, value)

    def on_headers_complete(self) -> None:
        """Record the status and how the body ends; an answer to HEAD is complete here."""
        if self._complete:
            return
        self._status = self._parser.get_status_code()
        if self._status < 200:
            return
        self._keep_alive = self._parser.should_keep_alive()
        self._pass_signals()
        self._until_close = (
            not self._framed and self._status not in (204, 304) and not self._is_head
        )
        if self._is_head:
            self._reusable = False
            self._close_after = True
            self._complete = True
            self._result = self._interpret() or Incomplete(True, "answer-to-another-call")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        if self._complete:
            return
        self._body_bytes += len(body)
        if self._body_bytes > self._max_body_bytes:
            raise _TooLargeError
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Mark the answer as complete; skips interim answers and those to another call.

        The call ends once the received bytes are parsed.
        """
        if self._complete:
            return
        result = self._interpret() if self._status >= 200 else None
        if result is None:
            self._reset_answer()
            return
        self._complete = True
        self._result = result

    def _reset(self, is_head: bool) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._is_head = is_head
        self._result = None
        self._reset_answer()
        self._keep_alive = False
        self._complete = False
        self._close_after = False
        self._reusable = True

    def _reset_answer(self) -> None:
        self.head = HeadReader(self._dialect.upstream_rules)
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._status = 0
        self._framed = False
        self._until_close = False

    def _pass_signals(self) -> None:
        """Pass on the signals when the head is complete; the end of a large answer may be far."""
        if self._on_signals is None or self._call is None:
            return
        signals = self._dialect.signals(self._status, self.head, self._call)
        if signals is not None:
            self._on_signals(self.ticket, signals)

    def _interpret(self) -> Result | None:
        """Return the result of the answer, or None if it belongs to another call."""
        assert self._call is not None
        body = b"".join(self._body)
        result = self._dialect.result(self._status, self.head, body, self._call)
        if isinstance(result, Incomplete):
            self._close_after = True
        return result

    def _finish(self, result: Result) -> None:
        if not self._running:
            return
        self._running = False
        if self._complete:
            self._reusable = self._keep_alive and not self._close_after
            self.idle_s = _idle_s(self.head)
        self._on_end(self, result)


class UpstreamPool:
    """The connections to the upstream, at most `max_connections`."""

    def __init__(
        self,
        address: tuple[str, int],
        connect_s: float,
        max_body_bytes: int,
        on_result: Callable[[int, Result], None],
        on_signals: Callable[[int, AnswerSignals], None],
        dialect: Dialect | None = None,
        on_sole_connection: Callable[[], None] | None = None,
    ) -> None:
        """`on_sole_connection` is called when a connection opens while no other one is open."""
        self.dialect = dialect or DefaultDialect()
        self.address = address
        self.max_connections = 200
        self.opened = 0
        self._connect_s = connect_s
        self._max_body_bytes = max_body_bytes
        self._on_result = on_result
        self._on_signals = on_signals
        self._on_sole_connection = on_sole_connection
        self._idle: deque[UpstreamConnection] = deque()
        self._busy: dict[int, UpstreamConnection] = {}
        self._connecting: dict[int, asyncio.Task[None]] = {}
        self._host = f"{address[0]}:{address[1]}".encode()

    @property
    def open(self) -> int:
        """Return the number of connections that are open or being opened."""
        return len(self._idle) + len(self._busy) + len(self._connecting)

    @property
    def has_connection(self) -> bool:
        """Return whether a connection is open, which shows that the upstream is running."""
        return any(conn.connected for conn in (*self._busy.values(), *self._idle))

    def start(self, now: float, call: StartCall) -> None:
        """Send a call on an idle connection, or on a new one; `now` is monotonic seconds."""
        data = self._request_bytes(call)
        while self._idle:
            conn = self._idle.pop()
            if conn.usable and now - conn.idle_since < conn.idle_s:
                self._busy[call.ticket] = conn
                conn.call(call, data)
                return
            conn.abort("idle")
        if self.open >= self.max_connections:
            self._on_result(call.ticket, Incomplete(False, "upstream-connections-used-up"))
            return
        task = asyncio.get_running_loop().create_task(self._connect(call, data))
        self._connecting[call.ticket] = task

    def cancel(self, ticket: int, reason: str = "cancelled") -> None:
        """Cancel a call; closing its connection cancels it at the upstream."""
        task = self._connecting.pop(ticket, None)
        if task is not None:
            task.cancel()
            self._on_result(ticket, Incomplete(False, reason))
            return
        conn = self._busy.get(ticket)
        if conn is not None:
            conn.abort(reason)

    def cancel_all(self, reason: str) -> None:
        """Cancel every call."""
        for ticket in (*self._connecting, *self._busy):
            self.cancel(ticket, reason)

    def close(self) -> None:
        """Close every connection."""
        for task in self._connecting.values():
            task.cancel()
        for conn in [*self._idle, *self._busy.values()]:
            conn.abort("closing")

    async def try_connect(self) -> bool:
        """Open a connection for later calls; return whether the upstream accepted it."""
        try:
            conn = await self._open()
        except (OSError, TimeoutError):
            return False
        conn.idle_since = asyncio.get_running_loop().time()
        self._idle.append(conn)
        return True

    def close_idle(self) -> None:
        """Close the idle connections after the upstream at the address was replaced."""
        while self._idle:
            self._idle.pop().abort("upstream-replaced")

    async def _open(self) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(self._connect_s):
            _, conn = await loop.create_connection(
                lambda: UpstreamConnection(
                    self._max_body_bytes, self._on_call_end, self.dialect, self._on_signals
                ),
                *self.address,
            )
        self.opened += 1
        if self._on_sole_connection is not None and not self.has_connection:
            self._on_sole_connection()
        return conn

    async def _connect(self, call: StartCall, data: bytes) -> None:
        ticket = call.ticket
        try:
            conn = await self._open()
        except (OSError, TimeoutError):
            self._connecting.pop(ticket, None)
            self._on_result(ticket, Incomplete(False, "upstream-unreachable"))
            return
        self._connecting.pop(ticket, None)
        self._busy[ticket] = conn
        conn.call(call, data)

    def _on_call_end(self, conn: UpstreamConnection, result: Result) -> None:
        self._busy.pop(conn.ticket, None)
        if conn.usable:
            conn.idle_since = asyncio.get_running_loop().time()
            self._idle.append(conn)
        elif not isinstance(result, Incomplete):
            conn.abort("not-reusable")
        self._on_result(conn.ticket, result)

    def _request_bytes(self, call: StartCall) -> bytes:
        req = call.request
        request_line = f"{req['method']} {req['path']} HTTP/1.1\r\n".encode("latin-1")
        length = len(req["body"]) if req["body"] or req["method"] in _WITH_BODY else None
        headers = self.dialect.request_headers(call, self._host)
        return write_head(request_line, headers, length) + req["body"]


_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})


def _idle_s(head: HeadReader) -> float:
    """Return how long the connection may be idle, limited by a Keep-Alive header, seconds."""
    for part in head.values.get(b"keep-alive", b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return min(MAX_IDLE_S, max(0.0, int(value) - IDLE_MARGIN_S))
    return MAX_IDLE_S
