"""Answers that their callers do not read, over real sockets with small buffers.

Guards against callers that have a daemon hold ever more answers, or a connection for good.
"""

from __future__ import annotations

import asyncio
import socket

import pytest

from foldhoist.daemon.callers import HALF_CLOSED_S
from tests.integration.test_last_bytes import (
    GET,
    LARGE_BODY,
    LAST_GET,
    Server,
    read_slowly,
    until,
    with_server,
)

IDLE_MS = 200


async def watch(server: Server) -> asyncio.Task[None]:
    """Check for overdue connections, as a daemon does."""
    return asyncio.create_task(server.state.close_overdue())


@pytest.mark.parametrize("request_", [GET, LAST_GET], ids=["kept", "last"])
def test_a_caller_that_reads_nothing_loses_its_connection(request_: bytes) -> None:
    @with_server(idle_ms=IDLE_MS)
    async def run(server: Server) -> None:
        overdue = await watch(server)
        sock = server.connect()
        sock.sendall(request_)
        await until(lambda: len(server.conns) == 1)
        server.answer(LARGE_BODY)
        await until(lambda: not server.state.open)
        overdue.cancel()
        sock.close()

    run()


@with_server(idle_ms=IDLE_MS)
async def test_a_caller_that_reads_slowly_gets_its_whole_answer(server: Server) -> None:
    overdue = await watch(server)
    sock = server.connect()
    sock.sendall(LAST_GET)
    await until(lambda: len(server.conns) == 1)
    server.answer(10 * LARGE_BODY)
    read = await asyncio.to_thread(read_slowly, sock)
    overdue.cancel()
    sock.close()
    assert read.endswith(10 * LARGE_BODY), read[-100:]


@with_server()
async def test_no_request_starts_while_an_answer_before_it_is_unread(server: Server) -> None:
    """Pipelined requests went on, each with an answer that was held."""
    sock = server.connect()
    sock.sendall(GET * 5)
    await until(lambda: len(server.conns) == 1)
    server.answer(LARGE_BODY)
    await asyncio.sleep(0.05)
    assert len(server.requests) == 1
    sock.settimeout(10)
    await asyncio.to_thread(sock.recv, len(LARGE_BODY))
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    while len(server.requests) == 1:
        await loop.sock_recv(sock, 65536)
    sock.close()


@with_server(held_bytes=4 * len(LARGE_BODY))
async def test_a_caller_that_half_closes_gets_the_rest_of_a_long_answer(server: Server) -> None:
    sock = server.connect()
    sock.sendall(GET)
    await until(lambda: len(server.conns) == 1)
    server.answer(LARGE_BODY)
    sock.shutdown(socket.SHUT_WR)
    await asyncio.sleep(0.05)
    read = await asyncio.to_thread(read_slowly, sock)
    sock.close()
    assert read.endswith(LARGE_BODY), read[-100:]


@with_server(held_bytes=4 * len(LARGE_BODY))
async def test_a_half_closed_caller_that_reads_late_gets_the_answers_behind(server: Server) -> None:
    """Its time to be answered passed while the answer before was unread."""
    overdue = await watch(server)
    sock = server.connect()
    sock.sendall(GET * 2)
    await until(lambda: len(server.conns) == 1)
    server.answer(LARGE_BODY)
    sock.shutdown(socket.SHUT_WR)
    await asyncio.sleep(2 * HALF_CLOSED_S)
    reading = asyncio.ensure_future(asyncio.to_thread(read_slowly, sock))
    await until(lambda: len(server.conns) == 1)
    await asyncio.sleep(0.15)
    server.answer(b"second")
    read = await reading
    overdue.cancel()
    sock.close()
    assert read.endswith(b"second"), read[-100:]
