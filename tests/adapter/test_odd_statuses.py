"""Answers of an upstream whose status is none never reach a caller as they are.

Guards against callers that get a status like 000, which no client can make sense of.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.adapter.cluster import Answer, Cluster, route, with_cluster
from tests.adapter.target import Scripted

STATUSES = ["000", "0", "00", "042", "99", "099", "-200", "1000", "2OO", "", "+200"]
LENGTH = "Content-Length: 2\r\n\r\nok"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
UNTIL_CLOSED = "\r\nok"
SIGNED = "X-Attempt-Id: 0a1b\r\nX-Response-Signature: s\r\n"
GOOD = f"HTTP/1.1 200 OK\r\n{SIGNED}{LENGTH}"


def scripted(status: str, framing: str, *, behind: str = "") -> Scripted:
    head = f"HTTP/1.1 {status} Status\r\n{SIGNED}"
    return Scripted((behind + head + framing).encode(), reset=False)


@pytest.mark.parametrize("host", ["a", "b"], ids=["of this host", "of another host"])
@pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
@pytest.mark.parametrize(
    "framing", [LENGTH, CHUNKED, UNTIL_CLOSED], ids=["length", "chunks", "until closed"]
)
def test_a_status_that_is_none_is_replaced(framing: str, method: str, host: str) -> None:
    @with_cluster
    async def run(cluster: Cluster) -> None:
        await start_one_upstream(cluster)
        for number, status in enumerate(STATUSES):
            path = f"/a/{number}"
            cluster.targets["a"].scripted[path] = scripted(status, framing)
            answer = await head(cluster, host, path) if method == "HEAD" else None
            if answer is None:
                answer = await cluster.send(host, path, method)
            assert answer.status in (502, 504), status

    run()


@with_cluster
async def test_a_status_that_is_none_behind_a_good_answer_is_not_passed_on(
    cluster: Cluster,
) -> None:
    await start_one_upstream(cluster)
    for number, status in enumerate(STATUSES):
        path = f"/a/{number}"
        cluster.targets["a"].scripted[path] = scripted(status, LENGTH, behind=GOOD)
        assert (await cluster.send("b", path)).status == 200
        assert (await cluster.send("b", "/a/next")).status == 200


async def start_one_upstream(cluster: Cluster) -> None:
    """Start two hosts of which only the first has an upstream of service shop."""
    await cluster.add("a")
    await cluster.add("b", service="web")
    await cluster.configure(3, [route(attempts=1, timeout_s=2)])
    await cluster.settle(3)


async def head(cluster: Cluster, host: str, path: str) -> Answer:
    """Send a HEAD request; its answer has no body whatever its length says."""
    ip, _, port = cluster.daemons[host].addresses["callers"].rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    request = f"HEAD {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: 0a1b\r\n"
    writer.write(f"{request}X-Deadline-Ms: 2000\r\n\r\n".encode())
    line = (await reader.readuntil(b"\r\n\r\n")).split(b" ")
    writer.close()
    return Answer(int(line[1]), {}, b"", False)
