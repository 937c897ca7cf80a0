"""Bodies up to the largest that is allowed, through two daemons, beside small calls.

Guards against a large body that ends the calls of others on its connection, or never arrives.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from tests.adapter import cluster as cluster_module
from tests.adapter.cluster import (
    DEADLINE_S,
    TIMEOUT_S,
    Cluster,
    request_bytes,
    route,
    with_cluster,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.adapter.target import FakeTarget, Request

MIB = 1024 * 1024
BODY_BYTES = 64 * MIB
LIMITS = f"body_bytes = {BODY_BYTES}\nheld_bytes = {3 * BODY_BYTES}\n"


@pytest.mark.parametrize("size", [17 * MIB, 24 * MIB, BODY_BYTES - 100])
@pytest.mark.parametrize("upload", [True, False], ids=["request", "answer"])
def test_a_large_body_goes_through_beside_others(
    monkeypatch: pytest.MonkeyPatch, upload: bool, size: int
) -> None:
    monkeypatch.setattr(cluster_module, "SETTINGS", cluster_module.SETTINGS + LIMITS)

    @with_cluster
    async def run(cluster: Cluster) -> None:
        cluster.max_body_bytes = BODY_BYTES
        await cluster.add("a", service="web")
        await cluster.add("b")
        await cluster.configure(1, [route("/u/", route_type="unsafe"), route("/s/")])
        await cluster.settle(1)
        target = cluster.targets["b"]
        link = cluster.daemons["a"].links._links["b"]
        before = link._conn
        body = bytes(size) if upload else b""
        target.handler = add_large_body(target, b"" if upload else bytes(size))
        large = asyncio.ensure_future(send_large(cluster, body))
        while not large.done():
            small = await cluster.send("a", "/s/1", attempt="c")
            assert small.status in (200, 503)
            await asyncio.sleep(0.01)
        status, received = await large
        assert status == 200
        assert received == len(b"ran /u/large") + (0 if upload else size)
        assert link._conn is before
        (ran,) = [req for req in target.ran if req.path == "/u/large"]
        assert len(ran.body) == len(body)

    run()


def add_large_body(target: FakeTarget, body: bytes) -> Callable[[Request], Awaitable[int]]:
    """Return a handler that answers the large call with this body, and others with a small one."""

    async def handle(req: Request) -> int:
        target.extra_body = body if req.path == "/u/large" else b""
        return 200

    return handle


async def send_large(cluster: Cluster, body: bytes) -> tuple[int, int]:
    """Make the large call, again while the upstream is busy; return status and body size."""
    async with asyncio.timeout(TIMEOUT_S):
        while (answer := await send_once(cluster, body))[0] == 503:
            await asyncio.sleep(0.05)
    return answer


async def send_once(cluster: Cluster, body: bytes) -> tuple[int, int]:
    """Make the large call once."""
    ip, _, port = cluster.daemons["a"].addresses["callers"].rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    headers = {"X-Attempt-Id": "a1", "X-Deadline-Ms": f"{DEADLINE_S * 1000}"}
    writer.write(request_bytes("POST", "/u/large", body, headers))
    async with asyncio.timeout(TIMEOUT_S):
        seen = await reader.readuntil(b"\r\n\r\n")
        size = int(seen.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
        received = len(await reader.readexactly(size))
    writer.close()
    return int(seen.split(b" ")[1]), received
