"""A graceful shutdown while callers keep connections open, at least one of them in use."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from tests.adapter.cluster import Cluster, read_answer, request_bytes, route, until, with_cluster

CONNECTIONS = 12
"""Number of connections that stay open until they are used."""
FIRST_USE_S = 2.5
"""Time from the start of the shutdown to the first use of a connection, in seconds."""
USE_INTERVAL_S = 0.25
"""Interval between uses of two connections, in seconds; shorter than `WORK_S`."""
WORK_S = 0.6
"""Service time of the target, in seconds."""


class SentRequest(NamedTuple):
    """A request on a kept connection: its attempt id, and its status, 0 without an answer."""

    attempt: str
    status: int


async def send_after(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int, after_s: float
) -> SentRequest:
    """Send a request on an idle connection after `after_s` seconds, and close the connection."""
    await asyncio.sleep(after_s)
    attempt = f"{number:04x}"
    headers = {"X-Attempt-Id": attempt, "X-Deadline-Ms": "60000"}
    try:
        writer.write(request_bytes("POST", "/a/1", b"x", headers))
        answer = await read_answer(reader)
    except ConnectionError:
        return SentRequest(attempt, 0)
    finally:
        writer.close()
    return SentRequest(attempt, answer.status)


@with_cluster
async def test_a_shutdown_loses_no_request_on_busy_connections(
    cluster: Cluster,
) -> None:
    await cluster.add("a", service="web")
    await cluster.add("b")
    await cluster.configure(1, [route(route_type="unsafe", attempts=1)])
    await cluster.settle(1)
    cluster.targets["b"].work_s = WORK_S
    host, _, port = cluster.daemons["a"].addresses["callers"].rpartition(":")
    conns = [await asyncio.open_connection(host, int(port)) for _ in range(CONNECTIONS)]
    drained = asyncio.create_task(cluster.daemons["a"].drain())
    sent = await asyncio.gather(
        *(
            send_after(*conn, number, FIRST_USE_S + number * USE_INTERVAL_S)
            for number, conn in enumerate(conns)
        )
    )
    await drained
    ran = {req.headers["x-attempt-id"] for req in cluster.targets["b"].ran}
    assert [each for each in sent if each.status == 0 and each.attempt in ran] == []
    await until(lambda: cluster.daemons["a"].stopped.is_set())


@with_cluster
async def test_a_daemon_in_shutdown_refuses_new_calls_as_not_run(cluster: Cluster) -> None:
    await cluster.add("a", service="web")
    await cluster.add("b")
    await cluster.configure(1, [route(route_type="unsafe", attempts=1)])
    await cluster.settle(1)
    daemon = cluster.daemons["a"]
    for number in range(5):
        assert (await cluster.send("a", method="POST", body=b"x", attempt=f"{number:x}")).status
    ran = len(cluster.targets["b"].ran)
    daemon.ingress_task.ingress.admission.begin_shutdown(asyncio.get_running_loop().time())
    answer = await cluster.send("a", method="POST", body=b"x")
    assert (answer.status, answer.body) == (503, b"not run: daemon-leaving\n")
    assert len(cluster.targets["b"].ran) == ran
