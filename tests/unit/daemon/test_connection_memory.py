"""Tests that a connection that has ended is freed at once, with the collector off.

Guards against daemons whose memory grows over their host's limit: a connection and its parser refer
to each other, and collections are rare.
"""

from __future__ import annotations

import asyncio
import gc
import socket
import struct
import time
import weakref
from contextlib import closing, suppress
from typing import TYPE_CHECKING

import pytest

from bench.stages import FakeTransport, default_settings
from foldhoist.admission.body_memory import BodyMemory
from foldhoist.daemon.caller_state import ServerState
from foldhoist.daemon.callers import CallerConnection
from foldhoist.daemon.dialect import DefaultDialect
from foldhoist.daemon.health_connection import HealthConnection
from foldhoist.daemon.upstream import UpstreamPool
from foldhoist.daemon.upstream_connection import UpstreamConnection
from foldhoist.delivery.dispatch import Incomplete, Result, StartCall
from foldhoist.delivery.verdict import Answered, Response
from tests.unit.daemon.calls import dispatch_of

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    from foldhoist.delivery.call import CallerRequest
    from foldhoist.schema.messages import Dispatch

FREED_WITHIN_S = 5.0
"""Longest wait until a connection that has ended is freed, seconds."""
BODY = b"x" * 4000
OK = Answered(Response(200, [], b"yes"))
HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n"
WHOLE = HEAD % len(BODY) + b"\r\n" + BODY
CLOSING = HEAD % len(BODY) + b"Connection: close\r\n\r\n" + BODY
MIDWAY = HEAD % (2 * len(BODY)) + b"\r\n" + BODY
RESET = struct.pack("ii", 1, 0)
"""Option of a socket whose close sends a reset."""


@pytest.fixture(autouse=True)
def no_collections() -> Iterator[None]:
    gc.collect()
    gc.disable()
    yield
    gc.enable()


class Tracked(dict[str, object]):
    """A call that can be referred to weakly."""


async def freed(ref: weakref.ref[object]) -> bool:
    """Return whether the object is freed within `FREED_WITHIN_S`."""
    end = time.monotonic() + FREED_WITHIN_S
    while ref() is not None and time.monotonic() < end:
        await asyncio.sleep(0.01)
    return ref() is None


class Callers:
    """A listener for callers; every request is answered at once unless `silent`."""

    def __init__(self, *, silent: bool = False, **limits: int) -> None:
        cfg = default_settings()["limits"]
        cfg.update(limits)  # type: ignore[typeddict-item]
        self.state = ServerState(cfg, self.run, lambda call_id: None)
        self.silent = silent
        self.conns: list[weakref.ref[object]] = []
        self.address: tuple[str, int] = ("", 0)

    def run(self, conn: CallerConnection, req: CallerRequest) -> None:
        conn.set_call_id(1)
        if not self.silent:
            conn.answer(OK, "t")

    def connection(self) -> CallerConnection:
        conn = CallerConnection(self.state)
        self.conns.append(weakref.ref(conn))
        return conn

    async def __aenter__(self) -> Callers:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self.connection, "127.0.0.1", 0)
        self._overdue = loop.create_task(self.state.close_overdue())
        self.address = self._server.sockets[0].getsockname()
        return self

    async def __aexit__(self, *args: object) -> None:
        self._overdue.cancel()
        self._server.close()


LIMITS = {
    "answered with Connection: close": (CLOSING, {}),
    "left midway": (MIDWAY, {}),
    "left while it runs": (WHOLE, {"silent": True}),
    "left with pipelined requests": (WHOLE + WHOLE + MIDWAY, {"silent": True}),
    "left after its answer": (WHOLE, {}),
    "body too large, 413": (WHOLE, {"body_bytes": 1000}),
    "bodies full, 503": (WHOLE, {"held_bytes": 1000}),
    "malformed, 400": (b"nonsense\r\n\r\n", {}),
    "malformed in a chunk, 400": (
        b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfa0\r\n" + BODY + b"\r\nz\r\n",
        {},
    ),
    "malformed after a running one": (WHOLE + b"nonsense\r\n\r\n", {"silent": True}),
    "too slow, 408": (MIDWAY, {"request_ms": 50}),
    "idle": (WHOLE, {"idle_ms": 50}),
    "too many connections": (WHOLE, {"callers": 0}),
    "upgrade": (b"GET /a HTTP/1.1\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n", {}),
}
"""What a caller sends before it leaves, and the listener's limits."""


@pytest.mark.parametrize("how", LIMITS)
@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
def test_caller_connection_is_freed_at_its_end(how: str, reset: bool) -> None:
    async def play() -> tuple[bool, int]:
        data, limits = LIMITS[how]
        async with Callers(**limits) as callers:
            _, writer = await asyncio.open_connection(*callers.address)
            sock: socket.socket = writer.get_extra_info("socket")
            if reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.write(data)
            await asyncio.sleep(0.2)
            writer.transport.abort()
            return await freed(callers.conns[0]), callers.state.bodies.used

    assert asyncio.run(play()) == (True, 0)


async def _quiet(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with closing(writer.transport):
        await asyncio.sleep(FREED_WITHIN_S)


def _sending(data: bytes, *, close: bool) -> Callable[..., Awaitable[None]]:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with closing(writer.transport):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
            await writer.drain()
            if not close:
                await asyncio.sleep(FREED_WITHIN_S)

    return serve


ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n"
UPSTREAMS = {
    "whole, closing": _sending(ANSWER % 4000 + b"Connection: close\r\n\r\n" + BODY, close=True),
    "whole, kept, then closed": _sending(ANSWER % 4000 + b"\r\n" + BODY, close=True),
    "cut": _sending(ANSWER % 9000 + b"\r\n" + BODY, close=True),
    "too large by its head": _sending(ANSWER % 99999 + b"\r\n" + BODY, close=False),
    "too large, no length": _sending(b"HTTP/1.1 200 OK\r\n\r\n" + 4 * BODY, close=False),
    "malformed": _sending(ANSWER % 4000 + b"\r\n" + BODY + b"nonsense\r\n", close=False),
    "closed without an answer": _sending(b"", close=True),
    "ends with its connection": _sending(b"HTTP/1.1 200 OK\r\n\r\n" + BODY, close=True),
    "bytes after the answer": _sending(2 * (ANSWER % 4000 + b"\r\n" + BODY), close=False),
}


class Pool:
    """A pool of connections whose protocol objects are tracked."""

    def __init__(self, address: tuple[str, int], monkeypatch: pytest.MonkeyPatch) -> None:
        self.conns: list[weakref.ref[object]] = []
        self.ended = asyncio.Event()
        conns = self.conns

        class TrackedConnection(UpstreamConnection):
            def __init__(self, *args: object) -> None:
                super().__init__(*args)  # type: ignore[arg-type]
                conns.append(weakref.ref(self))

        monkeypatch.setattr("foldhoist.daemon.upstream.UpstreamConnection", TrackedConnection)
        self.pool = UpstreamPool(
            address, 1.0, 8000, 100_000, self.end, lambda ticket, signals: None
        )

    def end(self, ticket: int, result: Result) -> None:
        self.ended.set()


def _call() -> tuple[Dispatch, weakref.ref[object]]:
    call = Tracked(dispatch_of("POST", body=BODY))
    return call, weakref.ref(call)  # type: ignore[return-value]


@pytest.mark.parametrize("how", UPSTREAMS)
def test_upstream_connection_is_freed_at_its_end(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> tuple[bool, bool]:
        server = await asyncio.start_server(UPSTREAMS[how], "127.0.0.1", 0)
        pool = Pool(server.sockets[0].getsockname(), monkeypatch)
        req, call = _call()
        pool.pool.start(0.0, StartCall(1, req, 1.0))
        del req
        async with asyncio.timeout(FREED_WITHIN_S):
            await pool.ended.wait()
        call_freed = await freed(call)
        await asyncio.sleep(0.05)
        pool.pool.close()
        return call_freed, await freed(pool.conns[0])

    assert asyncio.run(play()) == (True, True)


def test_cancelled_call_and_its_connection_are_freed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> tuple[bool, bool]:
        server = await asyncio.start_server(_quiet, "127.0.0.1", 0)
        pool = Pool(server.sockets[0].getsockname(), monkeypatch)
        req, call = _call()
        pool.pool.start(0.0, StartCall(1, req, 1.0))
        del req
        await asyncio.sleep(0.1)
        pool.pool.cancel(1)
        return await freed(call), await freed(pool.conns[0])

    assert asyncio.run(play()) == (True, True)


def test_call_to_an_unreachable_upstream_is_freed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a failed connect whose exception keeps the call through its frames."""

    async def play() -> bool:
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            pool = Pool(taken.getsockname(), monkeypatch)
            req, call = _call()
            pool.pool.start(0.0, StartCall(1, req, 1.0))
            del req
            async with asyncio.timeout(FREED_WITHIN_S):
                await pool.ended.wait()
        return await freed(call)

    assert asyncio.run(play())


def test_idle_upstream_connection_does_not_keep_its_last_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against as many bodies as there are kept connections."""

    async def play() -> bool:
        kept = _sending(ANSWER % 4000 + b"\r\n" + BODY, close=False)
        server = await asyncio.start_server(kept, "127.0.0.1", 0)
        pool = Pool(server.sockets[0].getsockname(), monkeypatch)
        req, call = _call()
        pool.pool.start(0.0, StartCall(1, req, 1.0))
        del req
        async with asyncio.timeout(FREED_WITHIN_S):
            await pool.ended.wait()
        assert pool.pool.has_connection
        return await freed(call)

    assert asyncio.run(play())


@pytest.mark.parametrize("how", UPSTREAMS)
def test_health_connection_is_freed_at_its_end(how: str) -> None:
    async def play() -> bool:
        server = await asyncio.start_server(UPSTREAMS[how], "127.0.0.1", 0)
        loop = asyncio.get_running_loop()
        _, conn = await loop.create_connection(
            lambda: HealthConnection(DefaultDialect()), *server.sockets[0].getsockname()
        )
        ref = weakref.ref(conn)
        with suppress(OSError, TimeoutError):
            await conn.request(b"GET /health HTTP/1.1\r\n\r\n")
        conn.close()
        del conn
        return await freed(ref)

    assert asyncio.run(play())


def test_body_that_follows_a_cancelled_call_is_not_counted() -> None:
    """Guards against bytes that stay on the books: the call is cancelled by its answer's head."""
    bodies = BodyMemory(100_000)
    results: list[Result] = []
    conn = UpstreamConnection(
        8000,
        lambda conn, result: results.append(result),
        on_signals=lambda ticket, signals: conn.abort("cancelled"),
        bodies=bodies,
    )
    conn.connection_made(FakeTransport())
    conn.call(StartCall(1, dispatch_of("POST", body=BODY), 1.0), b"request")
    conn.data_received(ANSWER % 7000 + b"Upstream-State: leaving\r\n\r\n" + BODY)
    assert results == [Incomplete(True, "cancelled")]
    assert bodies.used == 0
