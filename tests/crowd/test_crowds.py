"""A crowd of clients that do not behave neither ends a daemon nor shuts out ordinary callers.

Guards against a process that goes over its host's memory or descriptors, as each client may send
little and have the daemon hold much, and against room that such clients hold for good.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.crowd.clients import (
    Crowd,
    get,
    unfinished_body,
    unfinished_chunks,
    unfinished_head,
    unfinished_trailers,
    whole_body,
    whole_chunks,
)
from tests.crowd.hosts import MAX_BODY_BYTES, MIB, Hosts, with_hosts

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from tests.adapter.target import FakeTarget, Request

CALLERS = 100
"""Lowered limit of connections."""
ORDINARY_UPLOAD_BYTES = MIB
SHAPES = {
    "chunks of 1 byte": (100, unfinished_chunks(400_000, 1)),
    "chunks of 2 bytes": (100, unfinished_chunks(120_000, 2)),
    "thousands of headers": (800, unfinished_head(14_000)),
    "thousands of trailers": (500, unfinished_trailers(8000)),
    "pipelined heads of thousands of headers": (300, get(headers=b"ab:c\r\n" * 2300) * 9),
    "pipelined requests": (300, get() * 2000),
    "short pipelined requests": (300, b"GET / HTTP/1.1\r\n\r\n" * 10_000),
}
"""Number of clients, and what each of them sends."""


@pytest.mark.parametrize("shape", SHAPES)
def test_memory_stays_within_the_host(shape: str, tmp_path: Path) -> None:
    count, payload = SHAPES[shape]

    @with_hosts()
    async def run(hosts: Hosts) -> None:
        async with Crowd(hosts.front.addresses["callers"]) as crowd:
            await crowd.send([payload] * count)
            assert (await hosts.get()).status == 200
            hosts.check()
        assert (await hosts.get()).status == 200
        hosts.check()

    run(tmp_path)


def test_a_third_crowd_adds_nothing(tmp_path: Path) -> None:
    @with_hosts()
    async def run(hosts: Hosts) -> None:
        for _ in range(3):
            for count, payload in SHAPES.values():
                async with Crowd(hosts.front.addresses["callers"]) as crowd:
                    await crowd.send([payload] * (count // 4))
            assert (await hosts.get()).status == 200
        hosts.check()

    run(tmp_path)


LONG_ANSWERS = {"of 3 MB": (200, 3_000_000, 8), "of 30 MB": (20, 30_000_000, 1)}
"""Number of clients, size of an answer, and requests of each client."""


def test_clients_that_leave_midway_again_and_again_leave_no_memory(tmp_path: Path) -> None:
    @with_hosts()
    async def run(hosts: Hosts) -> None:
        async with Crowd(hosts.front.addresses["callers"]) as crowd:
            await crowd.come_and_go(unfinished_body(400_000), clients=60, for_s=6.0)
        assert (await hosts.get()).status == 200
        hosts.check()

    run(tmp_path)


@pytest.mark.parametrize("answers", LONG_ANSWERS)
def test_answers_that_nobody_reads_stay_within_the_host(answers: str, tmp_path: Path) -> None:
    count, size, requests = LONG_ANSWERS[answers]

    @with_hosts()
    async def run(hosts: Hosts) -> None:
        hosts.front.target.handler = _long_answers(hosts.front.target, size)
        async with Crowd(hosts.front.addresses["callers"]) as crowd:
            for _ in range(2):
                await crowd.send([get(b"/w/large") * requests] * count)
            assert (await hosts.get("/s/1")).status == 200
            hosts.check()
        assert (await hosts.get("/s/1")).status == 200
        hosts.check()

    run(tmp_path)


@pytest.mark.parametrize("sent", [unfinished_head(200), b""], ids=["unfinished", "idle"])
def test_unfinished_requests_leave_a_connection_to_an_ordinary_caller(
    sent: bytes, tmp_path: Path
) -> None:
    @with_hosts(callers=CALLERS)
    async def run(hosts: Hosts) -> None:
        async with Crowd(hosts.front.addresses["callers"]) as crowd:
            await crowd.send([sent] * CALLERS)
            assert (await hosts.get()).status == 200
            hosts.check()

    run(tmp_path)


def test_unfinished_bodies_leave_room_for_an_ordinary_upload(tmp_path: Path) -> None:
    @with_hosts()
    async def run(hosts: Hosts) -> None:
        async with Crowd(hosts.front.addresses["callers"]) as crowd:
            await crowd.send([unfinished_body(900_000)] * 200)
            assert (await hosts.send(whole_body(ORDINARY_UPLOAD_BYTES))).status == 200
            hosts.check()

    run(tmp_path)


BODIES = {
    "30 MiB with a length": (30 * MIB, 0),
    "64 MiB with a length": (MAX_BODY_BYTES, 0),
    "64 MiB in chunks of 64 KiB": (MAX_BODY_BYTES, 64 * 1024),
    "64 MiB in chunks of 4 MiB": (MAX_BODY_BYTES, 4 * MIB),
}
"""Size of a body and of its chunks, 0 without; bytes."""


@pytest.mark.parametrize("body", BODIES)
@pytest.mark.parametrize("name", ["a", "b"], ids=["to another host", "to the same host"])
def test_a_single_request_at_the_limit_is_served_in_calm(
    body: str, name: str, tmp_path: Path
) -> None:
    size, chunk_bytes = BODIES[body]

    @with_hosts()
    async def run(hosts: Hosts) -> None:
        data = whole_chunks(size, chunk_bytes) if chunk_bytes else whole_body(size)
        assert (await hosts.send(data, name)).status == 200
        assert [len(req.body) for req in hosts.back.target.ran if req.path == "/u/1"] == [size]
        assert (await hosts.get()).status == 200
        hosts.check()

    run(tmp_path)


@pytest.mark.parametrize("path", ["/s/large", "/w/large"], ids=["of another host", "of this host"])
def test_a_single_answer_at_the_limit_is_served_in_calm(path: str, tmp_path: Path) -> None:
    @with_hosts()
    async def run(hosts: Hosts) -> None:
        size = MAX_BODY_BYTES - len(f"ran {path}")
        for host in (hosts.front, hosts.back):
            host.target.handler = _long_answers(host.target, size)
        answer = await hosts.get(path)
        assert (answer.status, len(answer.body)) == (200, MAX_BODY_BYTES)
        hosts.check()

    run(tmp_path)


def _long_answers(target: FakeTarget, size: int) -> Callable[[Request], Awaitable[int]]:
    """Return a handler with which the upstream answers paths .../large with so many bytes more."""
    body = bytes(size)

    async def handle(req: Request) -> int:
        target.extra_body = body if req.path.endswith("/large") else b""
        return 200

    return handle
