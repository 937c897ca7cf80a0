"""Callers that send requests over persistent connections and record the results."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import httptools

from soak.history import RequestResult

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

ANSWER_TIMEOUT_S = 10.0
"""Longest wait for an answer, seconds; well above the deadline of a request."""
DEADLINE_MS = 2000
"""Deadline of a request, milliseconds."""
MEAN_PAUSE_S = 0.02
"""Mean pause between two requests of a caller, seconds."""
RECONNECT_PAUSE_S = 0.05
"""Pause after a failed connection attempt, seconds."""
REPEATABLE_SHARE = 0.5
"""Share of requests that are repeatable."""


class Caller:
    """Sends requests to one daemon in sequence and reconnects when its connection ends."""

    def __init__(
        self, name: str, daemon: str, address: str, now: Callable[[], float], rng: Random
    ) -> None:
        self.results: list[RequestResult] = []
        self._name = name
        self._daemon = daemon
        self._address = address
        self._now = now
        self._rng = rng
        self._count = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        host, _, port = self._address.rpartition(":")
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(RECONNECT_PAUSE_S)
                continue
            try:
                while await self._request(reader, writer):
                    await asyncio.sleep(self._rng.expovariate(1 / MEAN_PAUSE_S))
            finally:
                writer.close()

    async def request_once(self) -> int:
        """Send one request on a new connection; returns the status, 0 without an answer."""
        host, _, port = self._address.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return 0
        try:
            await self._request(reader, writer)
        finally:
            writer.close()
        return self.results[-1].status

    async def _request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send one request and record its result; returns whether the connection can be reused."""
        self._count += 1
        attempt = f"{self._name}{self._count:06x}"
        repeatable = self._rng.random() < REPEATABLE_SHARE
        method, path = ("GET", "/s/") if repeatable else ("POST", "/u/")
        path += attempt
        head = f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {attempt}\r\n"
        head += f"X-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 0\r\n\r\n"
        sent = self._now()
        answer = _Answer()
        try:
            writer.write(head.encode())
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await answer.read(reader)
        except (OSError, TimeoutError):
            answer.closed = True
        complete = answer.body == f"ran {path}".encode()
        result = RequestResult(
            attempt,
            self._daemon,
            repeatable,
            sent,
            self._now(),
            answer.status,
            answer.echo,
            complete,
            answer.limit,
            answer.leaving,
            answer.signals_of,
        )
        self.results.append(result)
        return not answer.closed


class _Answer:
    def __init__(self) -> None:
        self.status = 0
        self.echo = ""
        self.body = b""
        self.closed = False
        self.limit = ""
        self.leaving = False
        self.signals_of = ""
        self._parts: list[bytes] = []
        self._done = False

    async def read(self, reader: asyncio.StreamReader) -> None:
        parser = httptools.HttpResponseParser(self)
        while not self._done:
            data = await reader.read(65536)
            if not data:
                self.closed = True
                return
            parser.feed_data(data)
        self.status = parser.get_status_code()
        self.body = b"".join(self._parts)
        self.closed = self.closed or not parser.should_keep_alive()

    def on_header(self, name: bytes, value: bytes) -> None:
        match name.lower():
            case b"x-attempt-id":
                self.echo = value.decode("latin-1")
            case b"server-limit":
                self.limit = value.decode("latin-1")
            case b"server-leaving":
                self.leaving = value == b"1"
            case b"x-signals-of":
                self.signals_of = value.decode("latin-1")
            case b"connection" if value.lower() == b"close":
                self.closed = True

    def on_body(self, body: bytes) -> None:
        self._parts.append(body)

    def on_message_complete(self) -> None:
        self._done = True
