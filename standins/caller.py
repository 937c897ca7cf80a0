"""A caller: keeps a pool of connections per address and returns the outcome of each call."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import NamedTuple

import httptools

MAX_IDLE = 64
"""Idle connections kept for one address."""


class Outcome(NamedTuple):
    """Outcome of a call; `verdict` is "none" without a complete answer, `seconds` its duration."""

    status: int
    verdict: str
    reason: str
    trace: str
    body: bytes
    seconds: float
    retry_after: str = ""


class _Connection(asyncio.Protocol):
    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.fut: asyncio.Future[None] | None = None
        self.begin()

    def begin(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.finish()

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.complete = True
        self.finish()

    def finish(self) -> None:
        if self.fut is not None and not self.fut.done():
            self.fut.set_result(None)


class Caller:
    """Sends calls; a connection is reused after a complete answer unless the server closes it."""

    def __init__(self) -> None:
        self._idle: dict[str, deque[_Connection]] = {}

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 30.0,
    ) -> Outcome:
        """Send one call and return its outcome; waits up to `timeout_s` for the answer."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        conn = await self._connection(address)
        if conn is None:
            return Outcome(0, "none", "no-connection", "", b"", loop.time() - began)
        conn.begin()
        conn.fut = loop.create_future()
        assert conn.transport is not None
        conn.transport.write(_request(address, method, path, body, headers or {}))
        try:
            await asyncio.wait_for(conn.fut, timeout_s)
        except TimeoutError:
            conn.transport.abort()
            return Outcome(0, "none", "timeout", "", b"", loop.time() - began)
        except asyncio.CancelledError:
            conn.transport.abort()
            raise
        return self._outcome(address, conn, loop.time() - began)

    def close(self) -> None:
        """Close every connection."""
        for idle in self._idle.values():
            for conn in idle:
                if conn.transport is not None:
                    conn.transport.abort()

    def _outcome(self, address: str, conn: _Connection, seconds: float) -> Outcome:
        if not conn.complete:
            return Outcome(0, "none", "connection-lost", "", b"", seconds)
        headers = conn.headers
        if headers.get("connection") != "close" and conn.transport is not None:
            self._idle.setdefault(address, deque()).append(conn)
        return Outcome(
            conn.parser.get_status_code(),
            headers.get("foldhoist-verdict", ""),
            headers.get("foldhoist-reason", ""),
            headers.get("foldhoist-trace", ""),
            conn.body,
            seconds,
            headers.get("retry-after", ""),
        )

    async def _connection(self, address: str) -> _Connection | None:
        idle = self._idle.get(address)
        while idle:
            conn = idle.pop()
            if conn.transport is not None and not conn.transport.is_closing():
                return conn
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            _, conn = await loop.create_connection(_Connection, host, int(port))
        except OSError:
            return None
        return conn


def _request(address: str, method: str, path: str, body: bytes, headers: dict[str, str]) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
