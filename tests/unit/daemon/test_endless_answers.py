"""Tests that bytes of an upstream that never end are taken up to a bound, then the connection ends.

Guards against an upstream that keeps a daemon busy for all its callers, or fills its memory.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from bench.stages import FakeTransport
from foldhoist.admission.body_memory import BodyMemory
from foldhoist.daemon.answer_size import MAX_HEAD_BYTES, PIECE_BYTES
from foldhoist.daemon.dialect import DefaultDialect
from foldhoist.daemon.health_connection import HealthConnection
from foldhoist.daemon.upstream_connection import UpstreamConnection
from foldhoist.delivery.dispatch import Complete, Incomplete, Result, StartCall
from tests.unit.daemon.calls import dispatch_of

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_BODY_BYTES = 256 * 1024
RECEIVED_BYTES = 64 * 1024
"""Bytes that arrive at a time."""
GIVE_UP_BYTES = 8 * 1024 * 1024
"""After so many bytes a connection counts as never closed."""
OK = b"HTTP/1.1 200 OK\r\n"
LENGTH = b"Content-Length: 3\r\n\r\nabc"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
HEADS = {
    "status line": (b"HTTP/1.1 200 ", b"O" * 100),
    "header value": (OK + b"X-A: ", b"a" * 100),
    "header name": (OK, b"a" * 100),
    "headers": (OK, b"X-A: b\r\n" * 12),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 4),
    "blank lines": (b"", b"\r\n" * 50),
    "chunk extension": (CHUNKED + b"3;", b"a" * 100),
    "trailers": (CHUNKED + b"3\r\nabc\r\n0\r\n", b"X-A: b\r\n" * 12),
}
"""How an answer begins, and what then comes without end, outside of a body."""
BODIES = {
    "by length": (OK + b"Content-Length: 99999999\r\n\r\n", b"x" * 100),
    "by chunks": (CHUNKED, b"64\r\n" + b"x" * 100 + b"\r\n"),
    "until closed": (OK + b"\r\n", b"x" * 100),
    "by small chunks": (CHUNKED, b"1\r\nx\r\n" * 16),
}


def endless(begin: bytes, repeated: bytes) -> Iterator[bytes]:
    """Return what arrives of an answer, up to `GIVE_UP_BYTES`."""
    period = repeated * (RECEIVED_BYTES // len(repeated) + 2)
    offset = 0
    for number in range(GIVE_UP_BYTES // RECEIVED_BYTES):
        data = period[offset : offset + RECEIVED_BYTES]
        yield begin + data if number == 0 else data
        offset = (offset + RECEIVED_BYTES) % len(repeated)


class Wire:
    """A connection that runs a call without a socket."""

    def __init__(self, bodies: BodyMemory | None = None) -> None:
        self.results: list[Result] = []
        self.transport = FakeTransport()
        self.conn = UpstreamConnection(
            MAX_BODY_BYTES, lambda conn, result: self.results.append(result), bodies=bodies
        )
        self.conn.connection_made(self.transport)
        self.conn.call(StartCall(1, dispatch_of("GET"), 1.0), b"request")

    def taken(self, answer: Iterator[bytes]) -> int:
        """Receive an answer until the connection is closed; returns how many bytes were taken."""
        taken = 0
        for data in answer:
            if self.transport.aborted:
                break
            taken += len(data)
            self.conn.data_received(data)
        return taken


@pytest.mark.parametrize("kind", HEADS)
def test_a_head_without_end_closes_the_connection(kind: str) -> None:
    wire = Wire()
    assert wire.taken(endless(*HEADS[kind])) <= MAX_HEAD_BYTES + PIECE_BYTES + RECEIVED_BYTES
    assert wire.transport.aborted
    assert wire.results == [Incomplete(True, "answer-head-too-large")]


@pytest.mark.parametrize("kind", BODIES)
def test_a_body_without_end_closes_the_connection(kind: str) -> None:
    wire = Wire()
    assert wire.taken(endless(*BODIES[kind])) <= 8 * MAX_BODY_BYTES
    assert wire.transport.aborted
    assert wire.results == [Incomplete(True, "answer-too-large")]


def test_a_body_that_is_announced_as_too_large_is_not_read() -> None:
    wire = Wire()
    assert wire.taken(endless(*BODIES["by length"])) == RECEIVED_BYTES + len(BODIES["by length"][0])


def test_surplus_answers_without_end_close_the_connection() -> None:
    surplus = b"HTTP/1.1 200 OK\r\nFoldhoist-Call: other\r\n" + LENGTH
    wire = Wire()
    wire.conn._interpret = lambda: None  # type: ignore[method-assign]
    assert wire.taken(endless(b"", surplus)) <= MAX_HEAD_BYTES + PIECE_BYTES + RECEIVED_BYTES
    assert wire.transport.aborted


def test_bytes_without_end_behind_a_whole_answer_do_not_change_it() -> None:
    wire = Wire()
    taken = wire.taken(endless(OK + LENGTH, b"HTTP/1.1 200 OK\r\nX-A: b\r\n"))
    assert taken <= 2 * RECEIVED_BYTES + 100
    assert wire.results == [Complete(200, [], b"abc")]
    assert not wire.conn.usable


def test_bodies_without_end_on_many_connections_share_one_bound() -> None:
    bodies = BodyMemory(2 * MAX_BODY_BYTES)
    wires = [Wire(bodies) for _ in range(8)]
    taken = 0
    for data in endless(*BODIES["by chunks"]):
        for wire in wires:
            taken += 0 if wire.transport.aborted else len(data)
            if not wire.transport.aborted:
                wire.conn.data_received(data)
    assert all(wire.transport.aborted for wire in wires)
    assert taken <= 8 * MAX_BODY_BYTES
    assert bodies.used == 0


@pytest.mark.parametrize(
    "answer",
    [
        OK + b"X-A: " + b"a" * (MAX_HEAD_BYTES - 100) + b"\r\n" + LENGTH,
        CHUNKED + b"1\r\nx\r\n" * 100_000 + b"0\r\n\r\n",
        OK + b"Content-Length: 262144\r\n\r\n" + b"x" * MAX_BODY_BYTES,
    ],
    ids=["large head", "small chunks", "large body"],
)
@pytest.mark.parametrize("received_bytes", [1000, RECEIVED_BYTES, 10_000_000])
def test_large_answers_within_the_bounds_are_whole(answer: bytes, received_bytes: int) -> None:
    wire = Wire()
    wire.taken(
        iter(answer[at : at + received_bytes] for at in range(0, len(answer), received_bytes))
    )
    assert [type(result) for result in wire.results] == [Complete]


@pytest.mark.parametrize("kind", [*HEADS, *BODIES])
def test_a_health_answer_without_end_closes_the_connection(kind: str) -> None:
    async def run() -> None:
        transport = FakeTransport()
        conn = HealthConnection(DefaultDialect())
        conn.connection_made(transport)
        request = asyncio.ensure_future(conn.request(b"request"))
        await asyncio.sleep(0)
        taken = 0
        for data in endless(*{**HEADS, **BODIES}[kind]):
            if transport.aborted:
                break
            taken += len(data)
            conn.data_received(data)
        assert transport.aborted
        assert taken <= MAX_HEAD_BYTES + PIECE_BYTES + RECEIVED_BYTES
        with pytest.raises(ConnectionError, match="too large"):
            await request

    asyncio.run(run())
