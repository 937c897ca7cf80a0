"""Connections to the upstream: pooled, reused only after a whole answer, bounded in number."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import httptools

from foldhoist.daemon.http import (
    BUDGET,
    HOPS,
    KEY,
    NOT_RUN,
    RETRY,
    STATE,
    TRACEPARENT,
    URGENT,
    HeadReader,
    write_head,
)
from foldhoist.delivery.dispatch import Broken, Result, Shed, Whole

if TYPE_CHECKING:
    from collections.abc import Callable

    from foldhoist.delivery.dispatch import StartCall
    from foldhoist.delivery.verdict import Headers

IDLE_S = 20.0
"""A connection unused for this long is closed and not used again, seconds."""
SHED_RETRY_S = 0.5
"""When to ask again if an upstream sheds a call and does not say, seconds."""


class _TooLargeError(Exception):
    """An answer's body is above its limit."""


class UpstreamConnection(asyncio.Protocol):
    """One connection; one call at a time; the end of a call is told once."""

    def __init__(
        self, most_body: int, on_end: Callable[[UpstreamConnection, Result], None]
    ) -> None:
        self.ticket = 0
        self.idle_since = 0.0
        self._most_body = most_body
        self._on_end = on_end
        self._transport: asyncio.Transport | None = None
        self._running = False
        self._sent = False
        self._head = False
        self._complete = False
        self.head = HeadReader()
        self._begin(head=False)

    @property
    def usable(self) -> bool:
        """Return whether another call may use the connection."""
        return self._transport is not None and not self._running and self._clean

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def call(self, ticket: int, data: bytes, head: bool) -> None:
        """Send a request."""
        self.ticket = ticket
        self._begin(head)
        self._running = True
        self._sent = True
        assert self._transport is not None
        self._transport.write(data)

    def abort(self, reason: str) -> None:
        """Close the connection at once; a call on it is broken."""
        self._clean = False
        if self._transport is not None:
            self._transport.abort()
        self._finish(Broken(self._sent, reason))

    def connection_lost(self, exc: Exception | None) -> None:
        """End the call on it: broken, unless its answer runs until the end of the connection."""
        self._transport = None
        self._clean = False
        if self._running and self._until_close and exc is None:
            self._finish(self._whole())
            return
        self._finish(Broken(self._sent, "upstream-connection-lost"))

    def data_received(self, data: bytes) -> None:
        """Parse; bytes that nobody asked for spoil the connection."""
        if not self._running:
            self.abort("bytes-without-request")
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            too_large = isinstance(exc.__context__, _TooLargeError)
            self.abort("answer-too-large" if too_large else "malformed-answer")
            return
        if self._complete:
            self._finish(self._whole())

    # httptools

    def on_message_begin(self) -> None:
        """Begin an answer; a second one to the same request spoils the connection."""
        if self._complete:
            self._clean = False
            self._spoiled = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header."""
        if self._complete:
            return
        lower = name.lower()
        if lower == b"content-length" or (lower == b"transfer-encoding" and b"chunked" in value):
            self._framed = True
            return
        self.head.add(name, value)

    def on_headers_complete(self) -> None:
        """Take in the status; an answer to HEAD ends here."""
        if self._complete:
            return
        self._status = self._parser.get_status_code()
        if self._status < 200:
            return
        self._keep = self._parser.should_keep_alive()
        self._until_close = not self._framed and self._status not in (204, 304) and not self._head
        if self._head:
            self._clean = False
            self._spoiled = True
            self._complete = True

    def on_body(self, body: bytes) -> None:
        """Take in a piece of the body."""
        if self._complete:
            return
        self._body_bytes += len(body)
        if self._body_bytes > self._most_body:
            raise _TooLargeError
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Note that the answer is whole; the call ends when all bytes at hand are parsed."""
        if self._complete:
            return
        if self._status < 200:
            self.head = HeadReader()
            self._framed = False
            return
        self._complete = True

    # Steps

    def _begin(self, head: bool) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._head = head
        self.head = HeadReader()
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._status = 0
        self._framed = False
        self._until_close = False
        self._keep = False
        self._complete = False
        self._spoiled = False
        self._clean = True

    def _whole(self) -> Result:
        if self._status == 503 and NOT_RUN in self.head.said:
            return Shed(_retry_after(self.head.said))
        return Whole(self._status, self.head.passed_on(), b"".join(self._body))

    def _finish(self, result: Result) -> None:
        if not self._running:
            return
        self._running = False
        if self._complete:
            self._clean = self._keep and not self._spoiled
        self._on_end(self, result)


class UpstreamPool:
    """All connections to the upstream; at most `most` of them."""

    def __init__(
        self,
        address: tuple[str, int],
        connect_s: float,
        most_body: int,
        on_result: Callable[[int, Result], None],
        on_leaving: Callable[[], None],
    ) -> None:
        self.address = address
        self.most = 200
        self.opened = 0
        self._connect_s = connect_s
        self._most_body = most_body
        self._on_result = on_result
        self._on_leaving = on_leaving
        self._idle: deque[UpstreamConnection] = deque()
        self._busy: dict[int, UpstreamConnection] = {}
        self._connecting: dict[int, asyncio.Task[None]] = {}
        self._host = f"{address[0]}:{address[1]}".encode()

    @property
    def open(self) -> int:
        """Return the connections that are open or being opened."""
        return len(self._idle) + len(self._busy) + len(self._connecting)

    def start(self, now: float, call: StartCall) -> None:
        """Send a call on a pooled connection, or on a new one."""
        data = self._request_bytes(call)
        head = call.request["method"] == "HEAD"
        while self._idle:
            conn = self._idle.pop()
            if conn.usable and now - conn.idle_since < IDLE_S:
                self._busy[call.ticket] = conn
                conn.call(call.ticket, data, head)
                return
            conn.abort("idle")
        if self.open >= self.most:
            self._on_result(call.ticket, Broken(False, "upstream-connections-used-up"))
            return
        task = asyncio.get_running_loop().create_task(self._connect(call.ticket, data, head))
        self._connecting[call.ticket] = task

    def cancel(self, ticket: int, reason: str = "cancelled") -> None:
        """Stop a call; its connection is closed, which the upstream takes as cancellation."""
        task = self._connecting.pop(ticket, None)
        if task is not None:
            task.cancel()
            self._on_result(ticket, Broken(False, reason))
            return
        conn = self._busy.get(ticket)
        if conn is not None:
            conn.abort(reason)

    def close(self) -> None:
        """Close every connection."""
        for task in self._connecting.values():
            task.cancel()
        for conn in [*self._idle, *self._busy.values()]:
            conn.abort("closing")

    async def _connect(self, ticket: int, data: bytes, head: bool) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_s):
                _, conn = await loop.create_connection(
                    lambda: UpstreamConnection(self._most_body, self._ended), *self.address
                )
        except (OSError, TimeoutError):
            self._connecting.pop(ticket, None)
            self._on_result(ticket, Broken(False, "upstream-unreachable"))
            return
        self._connecting.pop(ticket, None)
        self.opened += 1
        self._busy[ticket] = conn
        conn.call(ticket, data, head)

    def _ended(self, conn: UpstreamConnection, result: Result) -> None:
        self._busy.pop(conn.ticket, None)
        if conn.usable:
            conn.idle_since = asyncio.get_running_loop().time()
            self._idle.append(conn)
        elif not isinstance(result, Broken):
            conn.abort("not-reusable")
        if conn.head.said.get(STATE) == b"leaving":
            self._on_leaving()
        self._on_result(conn.ticket, result)

    def _request_bytes(self, call: StartCall) -> bytes:
        req = call.request
        own: Headers = [
            [b"Host", self._host],
            [BUDGET, b"%d" % max(1, int(call.budget_s * 1000))],
            [TRACEPARENT, req["trace"].encode()],
        ]
        if req["urgent"]:
            own.append([URGENT, b"1"])
        if req["key"]:
            own.append([KEY, req["key"].encode("latin-1")])
        first = f"{req['method']} {req['path']} HTTP/1.1\r\n".encode("latin-1")
        length = len(req["body"]) if req["body"] or req["method"] in _WITH_BODY else None
        own.append([HOPS, b"%d" % (req["hops"] + 1)])
        if req["retried"]:
            own.append([RETRY, b"1"])
        return write_head(first, own + req["headers"], length) + req["body"]


_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})


def _retry_after(said: dict[bytes, bytes]) -> float:
    value = said.get(b"retry-after", b"")
    return float(value) if value.isdigit() else SHED_RETRY_S
