"""Tests that what callers send does not keep the event loop busy for long.

Guards against heartbeats, peers and other callers that wait while the bytes of a few are parsed.
"""

from __future__ import annotations

import asyncio

import pytest

from bench.stages import FakeTransport, default_settings
from foldhoist.daemon.caller_state import ServerState
from foldhoist.daemon.callers import MAX_PIPELINED, CallerConnection

CHUNK = b"1\r\nx\r\n"
HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
CONNECTIONS = 40
READ_BYTES = 16 * 1024
"""Bytes of one read of a connection."""


class Transport(FakeTransport):
    """A transport that can pause."""

    def __init__(self) -> None:
        super().__init__()
        self.reading = True

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True


def connect(state: ServerState) -> tuple[CallerConnection, Transport]:
    conn, transport = CallerConnection(state), Transport()
    conn.connection_made(transport)
    return conn, transport


def make_state() -> ServerState:
    return ServerState(default_settings()["limits"], lambda conn, req: None, lambda call_id: None)


def test_small_chunks_of_many_callers_are_parsed_over_many_turns() -> None:
    async def run() -> None:
        state = make_state()
        data = HEAD + CHUNK * (READ_BYTES // len(CHUNK))
        for _ in range(CONNECTIONS):
            connect(state)[0].data_received(data)
        total = CONNECTIONS * (READ_BYTES // len(CHUNK))
        assert state.bodies.used < total / 2
        before = state.bodies.used
        await asyncio.sleep(0)
        assert before < state.bodies.used < total
        async with asyncio.timeout(10):
            while state.bodies.used < total:
                await asyncio.sleep(0)

    asyncio.run(run())


def test_ordinary_requests_are_parsed_at_once_beside_them() -> None:
    async def run() -> None:
        state = make_state()
        arrived: list[str] = []
        state.on_request = lambda conn, req: arrived.append(req.path)
        data = HEAD + CHUNK * (READ_BYTES // len(CHUNK))
        for _ in range(CONNECTIONS):
            connect(state)[0].data_received(data)
        connect(state)[0].data_received(b"GET /ordinary HTTP/1.1\r\nHost: x\r\n\r\n")
        assert arrived == ["/ordinary"]

    asyncio.run(run())


@pytest.mark.parametrize(
    "request_", [b"GET / HTTP/1.1\r\n\r\n", b"GET /a HTTP/1.1\r\nA: b\r\n\r\n"]
)
def test_only_some_pipelined_requests_of_a_read_are_taken(request_: bytes) -> None:
    """All requests of one read were held, up to 14,000, as reading was paused after it only."""

    async def run() -> None:
        conn, transport = connect(make_state())
        conn.data_received(request_ * (READ_BYTES // len(request_)))
        assert len(conn._waiting) < MAX_PIPELINED + 1024 // len(request_) + 1
        assert not transport.reading

    asyncio.run(run())
