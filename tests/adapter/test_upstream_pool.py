"""The pool closes each connection that it does not use again, and uses none that has ended.

Guards against connections that stay open at the upstream after an answer that is none, beyond
`max_connections`, and against a call told as maybe run though it was sent on a closed connection.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import pytest

from foldhoist.daemon.upstream import UpstreamPool
from foldhoist.delivery.dispatch import Complete, Result, StartCall
from foldhoist_adapter.headers import PlatformDialect
from tests.adapter.answers import CHUNKED, CHUNKS, LENGTH, head
from tests.adapter.cluster import until
from tests.unit.daemon.calls import dispatch_of

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

OK = head(LENGTH) + b"abcde"
UNSIGNED = OK.replace(b"X-Response-Signature: s.1\r\n", b"")
CALL = StartCall(1, dispatch_of("GET", [[b"X-Attempt-Id", b"a1"]]), 1.0)
HEAD_CALL = StartCall(1, dispatch_of("HEAD", [[b"X-Attempt-Id", b"a1"]]), 1.0)


class Upstream:
    """Gives the same bytes to each request, and counts its open connections."""

    def __init__(self, answer: bytes) -> None:
        self.answer = answer
        self.open = 0
        self.requests = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> tuple[str, int]:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        return host, port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open += 1
        self.writers.append(writer)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                writer.write(self.answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.open -= 1
            writer.close()


class Pooled:
    """A pool and its upstream."""

    def __init__(self, answer: bytes) -> None:
        self.upstream = Upstream(answer)
        self.results: list[Result] = []

    async def start(self) -> None:
        address = await self.upstream.start()
        self.pool = UpstreamPool(
            address, 5.0, 100, 1 << 20, self._on_result, lambda *args: None, PlatformDialect("shop")
        )

    def _on_result(self, ticket: int, result: Result) -> None:
        self.results.append(result)

    async def call(self, call: StartCall) -> Result:
        self.pool.start(asyncio.get_running_loop().time(), call)
        await until(lambda: bool(self.results))
        return self.results.pop()


def on_pool(answer: bytes, test: Callable[[Pooled], Awaitable[None]]) -> None:
    """Run a test with a pool."""

    async def run() -> None:
        pooled = Pooled(answer)
        await pooled.start()
        await test(pooled)
        pooled.pool.close()
        pooled.upstream.server.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("answer", "call"),
    [
        (UNSIGNED, CALL),
        (UNSIGNED.replace(b"X-Attempt-Id: a1\r\n", b""), CALL),
        (head(LENGTH, b"Content-Encoding: gzip") + b"abcde", CALL),
        (head(CHUNKED).replace(b"X-Response-Signature: s.1\r\n", b"") + CHUNKS, CALL),
        (head(LENGTH, attempt=b"b2"), HEAD_CALL),
        (head(LENGTH), HEAD_CALL),
        (OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"), CALL),
        (b"no answer", CALL),
    ],
)
def test_a_connection_that_is_not_used_again_is_closed(answer: bytes, call: StartCall) -> None:
    async def test(pooled: Pooled) -> None:
        for _ in range(3):
            await pooled.call(call)
        await until(lambda: pooled.upstream.open == 0)
        assert pooled.pool.open == 0

    on_pool(answer, test)


def test_a_call_is_not_sent_on_a_connection_whose_end_has_been_read() -> None:
    """The end of the connection is read, and a call arrives before the loop reports it as lost."""

    async def test(pooled: Pooled) -> None:
        assert isinstance(await pooled.call(CALL), Complete)
        (conn,) = pooled.pool._idle
        started: list[bool] = []
        eof_received = conn.eof_received

        def start_at_end() -> None:
            eof_received()
            loop = asyncio.get_running_loop()
            loop.call_soon(lambda: pooled.pool.start(loop.time(), CALL))
            started.append(True)

        conn.eof_received = start_at_end  # type: ignore[method-assign]
        sock = pooled.upstream.writers[0].get_extra_info("socket")
        sock.shutdown(socket.SHUT_WR)
        await until(lambda: bool(started) and bool(pooled.results))
        assert isinstance(pooled.results.pop(), Complete)
        assert pooled.upstream.requests == 2

    on_pool(OK, test)
