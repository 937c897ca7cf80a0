"""Answers over real sockets whose connection the daemon closes: none may be lost on the way.

A socket that is closed with unread bytes resets its connection and drops what is still to be sent.
"""

from __future__ import annotations

import asyncio
import socket
import time
from typing import TYPE_CHECKING

import pytest

from bench.stages import default_settings
from foldhoist.daemon.caller_listener import stop_listening
from foldhoist.daemon.caller_state import ServerState
from foldhoist.daemon.callers import CallerConnection
from foldhoist.delivery.verdict import Answered, Response
from tests.adapter.cluster import read_answer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from foldhoist.delivery.call import CallerRequest

SMALL_BUFFER_BYTES = 4096
"""Buffer of sockets, bytes, with which an answer does not leave in one piece."""
LARGE_BODY = b"x" * 300_000
READ_PAUSE_S = 0.002
"""Pause of a slow reader between two reads, seconds."""
WAIT_S = 10.0
"""Longest wait in these tests, seconds; it only ends a test that hangs."""
GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
LAST_GET = b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


class Server:
    """A server of caller connections on loopback; the test answers the requests."""

    def __init__(self, **limits: int) -> None:
        cfg = default_settings()["limits"]
        cfg.update(limits)  # type: ignore[typeddict-item]
        self.requests: list[CallerRequest] = []
        self.disconnected: list[int] = []
        self.conns: list[CallerConnection] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.state = ServerState(cfg, self.record, self.disconnected.append)

    async def start(self) -> None:
        """Listen, with small buffers for all accepted connections."""
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        self.listener.bind(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: CallerConnection(self.state), sock=self.listener
        )

    def connect(self) -> socket.socket:
        """Connect with small buffers; the system accepts at once."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        sock.connect(self.address)
        return sock

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect with streams."""
        reader, writer = await asyncio.open_connection(sock=self.connect())
        self.writers.append(writer)
        return reader, writer

    def close(self) -> None:
        """Stop listening and close the callers' connections."""
        self.server.close()
        for writer in self.writers:
            writer.close()

    def record(self, conn: CallerConnection, req: CallerRequest) -> None:
        """Record a request."""
        self.requests.append(req)
        self.conns.append(conn)
        conn.set_call_id(len(self.requests))

    def answer(self, body: bytes) -> None:
        """Answer the oldest request."""
        self.conns.pop(0).answer(Answered(Response(200, [], body)), "t")


def with_server(
    **limits: int,
) -> Callable[[Callable[[Server], Awaitable[None]]], Callable[[], None]]:
    """Run a test with a server of its own."""

    def decorate(test: Callable[[Server], Awaitable[None]]) -> Callable[[], None]:
        async def run() -> None:
            server = Server(**limits)
            await server.start()
            try:
                await test(server)
            finally:
                server.close()

        def wrapped() -> None:
            asyncio.run(run())

        wrapped.__name__ = test.__name__
        wrapped.__doc__ = test.__doc__
        return wrapped

    return decorate


async def until(is_true: Callable[[], bool]) -> None:
    """Wait until the condition holds."""
    async with asyncio.timeout(WAIT_S):
        while not is_true():
            await asyncio.sleep(0.005)


def read_slowly(sock: socket.socket) -> bytes:
    """Read until the connection ends, slower than the answer is written."""
    sock.settimeout(WAIT_S)
    found = b""
    try:
        while data := sock.recv(SMALL_BUFFER_BYTES):
            found += data
            time.sleep(READ_PAUSE_S)
    except OSError as exc:
        return found + str(exc).encode()
    return found


@with_server()
async def test_bytes_behind_the_last_request_do_not_reset_its_answer(server: Server) -> None:
    """A caller that had sent more than its last request lost the end of the answer to it."""
    sock = server.connect()
    sock.sendall(LAST_GET)
    await until(lambda: len(server.requests) == 1)
    server.answer(LARGE_BODY)
    sock.sendall(GET)
    read = await asyncio.to_thread(read_slowly, sock)
    sock.close()
    assert read.endswith(LARGE_BODY), read[-100:]


def _upload(sock: socket.socket, data: bytes) -> bytes:
    """Send everything, as a caller does that reads only afterwards, then read."""
    sock.settimeout(WAIT_S)
    try:
        sock.sendall(data)
        return sock.recv(65536)
    except OSError as exc:
        return str(exc).encode()
    finally:
        sock.close()


@with_server(body_bytes=1000)
async def test_a_refused_upload_gets_its_refusal_while_it_is_still_sent(server: Server) -> None:
    """The connection was reset in the middle of a body that is too large."""
    sock = server.connect()
    head = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(LARGE_BODY)
    read = await asyncio.to_thread(_upload, sock, head + LARGE_BODY)
    assert read.startswith(b"HTTP/1.1 413 "), read


@with_server()
async def test_requests_that_wait_are_answered_before_the_connection_is_closed(
    server: Server,
) -> None:
    """Requests that had been read behind another were dropped without an answer at a stop."""
    reader, writer = await server.open()
    writer.write(GET * 3)
    await until(lambda: len(server.requests) == 1)
    server.state.closing = True
    closed: list[bool] = []
    for _ in range(3):
        await until(lambda: len(server.conns) == 1)
        server.answer(b"yes")
        closed.append((await read_answer(reader)).closed)
    assert closed == [False, False, True]


@with_server()
async def test_a_caller_that_has_closed_its_sending_side_gets_its_answer(server: Server) -> None:
    """Such a caller was taken for one that is gone, and its answer was dropped."""
    reader, writer = await server.open()
    writer.write(GET)
    writer.write_eof()
    await until(lambda: len(server.requests) == 1)
    await asyncio.sleep(0.05)
    assert server.disconnected == []
    server.answer(b"yes")
    answer = await read_answer(reader)
    assert (answer.status, answer.body, answer.closed) == (200, b"yes", True)


@pytest.mark.parametrize("how", ["stop", "idle timeout"])
def test_an_idle_connection_is_not_closed_over_a_request_that_waits_unread(how: str) -> None:
    """An event loop that was late closed idle connections before it read what had come."""

    @with_server()
    async def close(server: Server) -> None:
        reader, _ = await server.open()
        await until(lambda: len(server.state.open) == 1)
        (conn,) = server.state.open
        server.writers[0].write(GET)
        conn.close() if how == "stop" else conn.on_timeout()
        await until(lambda: len(server.conns) == 1)
        server.answer(b"yes")
        assert (await read_answer(reader)).status == 200
        conn.close()
        assert await reader.read() == b""

    close()


@with_server()
async def test_a_connection_that_waits_to_be_accepted_is_served(server: Server) -> None:
    """The system had accepted a connection that was reset when the daemon stopped listening."""
    waiting = [server.connect() for _ in range(3)]
    for sock in waiting:
        sock.sendall(LAST_GET)
    stop_listening(server.server, server.listener, server.state)
    await until(lambda: len(server.conns) == len(waiting))
    for sock in waiting:
        server.answer(b"yes")
        read = await asyncio.to_thread(read_slowly, sock)
        sock.close()
        assert read.startswith(b"HTTP/1.1 200 "), read
    with pytest.raises(ConnectionRefusedError):
        server.connect()


@with_server()
async def test_an_answer_to_a_caller_that_is_gone_harms_nobody(server: Server) -> None:
    """Ending a connection that its caller had closed raised an error in whoever gave the answer."""
    sock = server.connect()
    sock.sendall(LAST_GET)
    await until(lambda: len(server.requests) == 1)
    sock.close()
    await asyncio.sleep(0.05)
    server.answer(b"yes")
    await until(lambda: not server.state.open)


@with_server()
async def test_a_caller_that_has_closed_is_reported_within_half_a_second(server: Server) -> None:
    """The wait for half-closed callers must not hide those that are gone."""
    _, writer = await server.open()
    writer.write(GET)
    await until(lambda: len(server.requests) == 1)
    writer.close()
    overdue = asyncio.create_task(server.state.close_overdue())
    async with asyncio.timeout(0.5):
        await until(lambda: server.disconnected == [1])
    overdue.cancel()


@with_server(callers=1)
async def test_connections_that_are_ending_take_no_place(server: Server) -> None:
    """Refused connections that waited for their end kept callers out when a place was free."""
    _, writer = await server.open()
    await until(lambda: len(server.state.open) == 1)
    refused = [server.connect() for _ in range(3)]
    await until(lambda: server.state.count.refused_connections == 3)
    for conn in list(server.state.open):
        if conn.ended:
            conn.connection_lost = lambda exc: None  # type: ignore[method-assign]
    writer.close()
    await until(lambda: all(conn.ended for conn in server.state.open))
    reader, writer = await server.open()
    writer.write(GET)
    await until(lambda: len(server.conns) == 1)
    server.answer(b"yes")
    assert (await read_answer(reader)).status == 200
    for sock in refused:
        sock.close()
