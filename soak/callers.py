"""Callers that use open connections until they end, and note what they saw."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import httptools

from soak.notes import Asked

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

ANSWER_S = 10.0
"""Longest wait for an answer, seconds: five times the deadline of a request."""
DEADLINE_MS = 2000
"""Time that a request has, milliseconds."""
PAUSE_S = 0.02
"""Mean pause of a caller between two requests, seconds."""
AWAY_S = 0.05
"""Pause after a daemon refused a connection, seconds."""
SAFE_SHARE = 0.5
"""Share of requests that may be repeated."""


class Caller:
    """Asks one daemon again and again, on one connection for as long as that lasts."""

    def __init__(
        self, name: str, daemon: str, address: str, now: Callable[[], float], rng: Random
    ) -> None:
        self.asked: list[Asked] = []
        self._name = name
        self._daemon = daemon
        self._address = address
        self._now = now
        self._rng = rng
        self._count = 0

    async def run(self) -> None:
        """Ask until cancelled."""
        host, _, port = self._address.rpartition(":")
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(AWAY_S)
                continue
            try:
                while await self._ask(reader, writer):
                    await asyncio.sleep(self._rng.expovariate(1 / PAUSE_S))
            finally:
                writer.close()

    async def ask_once(self) -> int:
        """Ask on a connection of its own; returns the status, 0 for none."""
        host, _, port = self._address.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return 0
        try:
            await self._ask(reader, writer)
        finally:
            writer.close()
        return self.asked[-1].status

    async def _ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send one request and note its end; returns whether the connection goes on."""
        self._count += 1
        attempt = f"{self._name}{self._count:06x}"
        safe = self._rng.random() < SAFE_SHARE
        method, path = ("GET", "/s/") if safe else ("POST", "/u/")
        path += attempt
        head = f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {attempt}\r\n"
        head += f"X-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 0\r\n\r\n"
        sent = self._now()
        answer = _Answer()
        try:
            writer.write(head.encode())
            async with asyncio.timeout(ANSWER_S):
                await answer.read(reader)
        except (OSError, TimeoutError):
            answer.closed = True
        whole = answer.body == f"ran {path}".encode()
        note = Asked(
            attempt, self._daemon, safe, sent, self._now(), answer.status, answer.echo, whole
        )
        self.asked.append(note)
        return not answer.closed


class _Answer:
    def __init__(self) -> None:
        self.status = 0
        self.echo = ""
        self.body = b""
        self.closed = False
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
        if name.lower() == b"x-attempt-id":
            self.echo = value.decode("latin-1")
        if name.lower() == b"connection" and value.lower() == b"close":
            self.closed = True

    def on_body(self, body: bytes) -> None:
        self._parts.append(body)

    def on_message_complete(self) -> None:
        self._done = True
