"""A fake platform target: answers requests, records them, and fails on demand."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import TYPE_CHECKING, NamedTuple

from standins.ports import AddressPool

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


ENDLESS_BLOCK_BYTES = 64 * 1024
"""Bytes that an endless answer sends at a time."""


class Request(NamedTuple):
    """A request as the target received it; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Endless(NamedTuple):
    """An answer that begins so and then repeats itself until the connection is closed."""

    begin: bytes
    repeated: bytes


class Scripted(NamedTuple):
    """An answer that is sent as it is, in segments of `size` bytes; then the connection ends."""

    data: bytes
    reset: bool
    size: int = 1 << 20


class FakeTarget:
    """One target; its attributes set its behaviour."""

    def __init__(self, service: str, instance: str) -> None:
        self.service = service
        self.instance = instance
        self.ran: list[Request] = []
        self.rejected = 0
        self.cancelled = 0
        self.work_s = 0.0
        self.status = 200
        self.signed = True
        self.extra_answer = False
        self.cut = False
        self.full = False
        self.pace = "100"
        self.limit = ""
        self.leaving = False
        self.health_requests = 0
        self.health_hangs = False
        self.gate: asyncio.Event | None = None
        self.handler: Callable[[Request], Awaitable[int]] | None = None
        self.crash_path = ""
        self.arrivals: list[float] = []
        self.received: list[tuple[float, str, str]] = []
        self.cold_until = 0.0
        self.tells_warm = True
        self.max_calls_per_s = 0
        self.crashes = 0
        self.extra_body = b""
        self.endless_bytes = 0
        self.endless: dict[str, Endless] = {}
        self.scripted: dict[str, Scripted] = {}
        self.address = ""
        self._pool = AddressPool()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen at an address that can be bound again after a crash."""
        await self._listen(int(self._pool.take().rpartition(":")[2]))
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    async def restart(self, instance: str) -> None:
        """Restart after a crash, at the same address."""
        self.instance = instance
        await self._listen(int(self.address.rpartition(":")[2]))

    def close(self) -> None:
        """Stop listening and release the address."""
        self._server.close()
        self._pool.close()

    async def _listen(self, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)

    def crash(self) -> None:
        """Stop listening and reset every connection, as a killed process does."""
        self.crashes += 1
        self._server.close()
        self.reset_connections()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                await self._one(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # The caller disconnected, or the test ended.
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, path, _ = head[0].split(" ")
        pairs = [line.partition(":") for line in head[1:] if line]
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        if path in self.endless:
            await self._send_endlessly(writer, self.endless[path])
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance") != self.instance:
            self.rejected += path != "/health"
            writer.write(_answer(421, attempt, b"", signed=False))
            return
        if path == "/health":
            self.health_requests += 1
            if self.health_hangs:
                await asyncio.Event().wait()
            writer.write(_answer(200, "", b"", signed=False, more=self._health()))
            return
        now = asyncio.get_running_loop().time()
        self.arrivals.append(now)
        self.received.append((now, attempt, self.instance))
        if self._is_overloaded():
            self.crash()
            raise ConnectionResetError
        if self.full:
            self.rejected += 1
            more = f"X-Not-Executed: 1\r\n{self._signals()}"
            writer.write(_answer(503, attempt, b"", signed=False, more=more))
            return
        req = Request(method, path, headers, body)
        self.ran.append(req)
        if path in self.scripted:
            await _send_scripted(writer, self.scripted[path])
            raise ConnectionResetError
        await self._work(reader)
        if path == self.crash_path:
            self.crash()
            raise ConnectionResetError
        status = await self.handler(req) if self.handler is not None else self.status
        if self.cut:
            writer.write(_answer(200, attempt, b"x" * 100)[:-50])
            writer.close()
            raise ConnectionResetError
        if self.extra_answer:
            writer.write(_answer(200, "of-another", b"surplus"))
        more = f"{self._load()}{self._signals()}" if self.signed else ""
        body = f"ran {path}".encode() + self.extra_body
        writer.write(_answer(status, attempt, body, signed=self.signed, more=more))

    async def _send_endlessly(self, writer: asyncio.StreamWriter, answer: Endless) -> None:
        """Send an answer without end; raises ConnectionError once the connection is closed."""
        writer.write(answer.begin)
        block = answer.repeated * (ENDLESS_BLOCK_BYTES // len(answer.repeated))
        while True:
            writer.write(block)
            self.endless_bytes += len(block)
            await writer.drain()

    def reset_connections(self) -> None:
        """Reset every connection, as a cut on the way does."""
        for writer in list(self._writers):
            writer.transport.abort()

    def become_cold(self, for_s: float) -> None:
        """Be cold for `for_s` seconds; more than `max_calls_per_s` in a second crash it then."""
        self.arrivals.clear()
        self.cold_until = asyncio.get_running_loop().time() + for_s

    def max_arrivals_in_a_second(self) -> int:
        """Return the largest number of calls that arrived within any second."""
        return max((self._arrived_within(at) for at in self.arrivals), default=0)

    def _arrived_within(self, until: float) -> int:
        return sum(1 for at in self.arrivals if until - 1.0 < at <= until)

    def _is_overloaded(self) -> bool:
        now = self.arrivals[-1]
        if now >= self.cold_until or not self.max_calls_per_s:
            return False
        return self._arrived_within(now) > self.max_calls_per_s

    def _health(self) -> str:
        remaining_s = max(0.0, self.cold_until - asyncio.get_running_loop().time())
        if not remaining_s and not self.tells_warm:
            return self._load()
        return f"{self._load()}X-Cold-Ms: {remaining_s * 1000:.0f}\r\n"

    def _signals(self) -> str:
        lines = [f"Server-Limit: {value}\r\n" for value in self.limit.split("\n") if value]
        if self.leaving:
            lines.append("Server-Leaving: 1\r\n")
        if lines:
            lines.append(f"X-Signals-Of: {self.instance}\r\n")
        return "".join(lines)

    def _load(self) -> str:
        pace = f",{self.pace}" if self.pace else ""
        return f"X-Server-Load: 1,0,4{pace}\r\n"

    async def _work(self, reader: asyncio.StreamReader) -> None:
        if self.gate is None:
            await asyncio.sleep(self.work_s)
            return
        disconnected = asyncio.ensure_future(reader.read(1))
        done = asyncio.ensure_future(self.gate.wait())
        await asyncio.wait((disconnected, done), return_when=asyncio.FIRST_COMPLETED)
        done.cancel()
        if disconnected.done():
            self.cancelled += 1
            raise ConnectionResetError
        disconnected.cancel()


async def _send_scripted(writer: asyncio.StreamWriter, answer: Scripted) -> None:
    """Send an answer and end the connection, in order or by a reset."""
    for at in range(0, len(answer.data), answer.size):
        writer.write(answer.data[at : at + answer.size])
        await asyncio.sleep(0)
    if answer.reset:
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()


def _answer(status: int, attempt: str, body: bytes, signed: bool = True, more: str = "") -> bytes:
    head = f"HTTP/1.1 {status} Status\r\nX-Attempt-Id: {attempt}\r\n{more}"
    if signed:
        head += "X-Response-Signature: s.1\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
