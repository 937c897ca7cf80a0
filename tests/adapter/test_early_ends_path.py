"""Answers that end early, through two daemons: what callers get, and how often calls run.

Guards against a short answer that its caller gets as whole, a write that runs twice, and a "not
run" after the call has run. Bodies are large enough for pieces on a bulk route.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import pytest

from foldhoist.delivery.pieces import PIECE_BYTES
from tests.adapter.answers import CHUNKED, HINTS, HTTP_10, head
from tests.adapter.cluster import (
    TIMEOUT_S,
    Answer,
    Cluster,
    request_bytes,
    route,
    with_cluster,
)
from tests.adapter.target import Scripted

BODY = b"whole body. " * (3 * PIECE_BYTES // 12)
LENGTH = b"Content-Length: %d" % len(BODY)
CHUNKS = (
    b"%x\r\n" % (len(BODY) - 100) + BODY[:-100] + b"\r\n64\r\n" + BODY[-100:] + b"\r\n0\r\n\r\n"
)
NOT_RUN = (408, 421, 429, 503)
"""Statuses which say that a call has not run."""
SEGMENT_BYTES = 700


class Sent(NamedTuple):
    """An answer, and whether it lasts until its connection ends."""

    head: bytes
    payload: bytes
    until_closed: bool = False


ANSWERS = {
    "length": Sent(head(LENGTH), BODY),
    "length, 1.0": Sent(head(LENGTH, start=HTTP_10), BODY),
    "length after interim answers": Sent(HINTS + HINTS + head(LENGTH), BODY),
    "chunks": Sent(head(CHUNKED), CHUNKS),
    "chunks with trailers": Sent(head(CHUNKED), CHUNKS[:-2] + b"X-Sum: 1\r\n\r\n"),
    "until closed": Sent(head(), BODY, until_closed=True),
    "until closed, 1.0": Sent(head(start=HTTP_10), BODY, until_closed=True),
    "until closed after an interim answer": Sent(HINTS + head(), BODY, until_closed=True),
    "failure": Sent(head(LENGTH, start=b"HTTP/1.1 500 Error"), BODY),
}


def cuts(answer: Sent) -> list[int]:
    """Return where to cut: within status line, headers, blank line, body, and the end."""
    begin, end = len(answer.head), len(answer.head) + len(answer.payload)
    in_head = [0, 1, 12, 15, 17, begin // 2, begin - 12, begin - 4, begin - 2, begin - 1]
    return [*in_head, begin, begin + 1, begin + PIECE_BYTES, end - 3, end - 1, end]


def check(answer: Sent, cut: int, reset: bool, got: Answer, method: str) -> None:
    """Check that the caller got the whole body, or no success."""
    seen = (answer.head[:60], cut, reset, got.status)
    if got.status != 200:
        assert got.status in (0, 500, 502), seen
        return
    assert cut >= len(answer.head), seen
    if method == "HEAD":
        assert got.body == b"", seen
        return
    if answer.until_closed:
        assert not reset, seen
        assert got.body == (answer.head + answer.payload)[len(answer.head) : cut], seen
        return
    assert cut == len(answer.head) + len(answer.payload), seen
    assert got.body == BODY, seen


@pytest.mark.parametrize("bulk", [False, True], ids=["message", "pieces"])
@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("name", ANSWERS)
def test_a_caller_gets_the_whole_body_or_no_success(name: str, reset: bool, bulk: bool) -> None:
    answer = ANSWERS[name]

    @with_cluster
    async def run(cluster: Cluster) -> None:
        await cluster.add("a", service="web")
        await cluster.add("b")
        await cluster.add("c", data_centre="two")
        kind = "download" if bulk else "safe"
        routes = [route("/u/", route_type="unsafe"), route("/s/", route_type=kind)]
        await cluster.configure(1, routes)
        await cluster.settle(1)
        for number, cut in enumerate(cuts(answer)):
            data = (answer.head + answer.payload)[:cut]
            for prefix, method in (("u", "POST"), ("s", "GET"), ("s", "HEAD")):
                path = f"/{prefix}/{method}/{number}"
                size = SEGMENT_BYTES if number % 2 else len(data) + 1
                got = await play(cluster, path, method, Scripted(data, reset, size))
                ran = runs(cluster, path)
                if got.status in NOT_RUN:
                    assert ran == 0, (path, got.status)
                    continue
                assert ran == 1 or (ran == 2 and prefix == "s"), (path, ran)
                check(answer, cut, reset, got, method)

    run()


async def play(cluster: Cluster, path: str, method: str, answer: Scripted) -> Answer:
    """Make a call that every target answers so."""
    for target in cluster.targets.values():
        target.scripted[path] = answer
    if method == "HEAD":
        return await send_head(cluster, path)
    return await cluster.send("a", path, method, attempt="a1")


async def send_head(cluster: Cluster, path: str) -> Answer:
    """Make a call whose answer ends with its head."""
    ip, _, port = cluster.daemons["a"].addresses["callers"].rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    headers = {"X-Attempt-Id": "a1", "X-Deadline-Ms": "60000"}
    writer.write(request_bytes("HEAD", path, headers=headers))
    async with asyncio.timeout(TIMEOUT_S):
        seen = await reader.readuntil(b"\r\n\r\n")
    writer.write_eof()
    async with asyncio.timeout(TIMEOUT_S):
        after = await reader.read()
    writer.close()
    return Answer(int(seen.split(b" ")[1]), {}, after, True)


def runs(cluster: Cluster, path: str) -> int:
    """Return how often a call has run."""
    return sum(req.path == path for target in cluster.targets.values() for req in target.ran)


REQUEST_HEAD = b"POST /u/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a1\r\n"
REQUESTS = {
    "length": REQUEST_HEAD + b"Content-Length: 5\r\n\r\nabcde",
    "chunks": REQUEST_HEAD + CHUNKED + b"\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
    "trailers": REQUEST_HEAD + CHUNKED + b"\r\n\r\n5\r\nabcde\r\n0\r\nX-Sum: 1\r\n\r\n",
}


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("name", REQUESTS)
def test_a_request_that_ends_early_is_not_passed_on(name: str, reset: bool) -> None:
    data = REQUESTS[name]

    @with_cluster
    async def run(cluster: Cluster) -> None:
        await cluster.add("a")
        await cluster.configure(1, [route("/u/", route_type="unsafe")])
        await cluster.settle(1)
        ip, _, port = cluster.daemons["a"].addresses["callers"].rpartition(":")
        for cut in range(len(data)):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(data[:cut])
            await asyncio.sleep(0)
            if reset:
                writer.transport.abort()
                continue
            writer.write_eof()
            async with asyncio.timeout(TIMEOUT_S):
                assert b" 200 " not in await reader.read()
            writer.close()
        assert (await cluster.send("a", "/u/2", "POST")).status == 200
        assert runs(cluster, "/u/1") == 0

    run()
