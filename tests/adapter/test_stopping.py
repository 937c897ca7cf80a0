"""A planned stop while callers keep their connections and never pause together."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from tests.adapter.cluster import Cluster, played, read_answer, request_bytes, route, until

KEPT = 12
"""Connections that are kept open until the daemon closes them."""
FIRST_S = 2.5
"""When the first of them is used after the stop began, seconds: it has rested until then."""
GAP_S = 0.25
"""Time between the uses of two connections, seconds: one is always at work."""
WORK_S = 0.6
"""How long the target works on a request, seconds."""


class Sent(NamedTuple):
    """A request on a kept connection: its id, and the status that came back, 0 for none."""

    attempt: str
    status: int


async def use(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int, after_s: float
) -> Sent:
    """Send a request on a kept connection after a rest, unless the daemon has closed it."""
    await asyncio.sleep(after_s)
    attempt = f"{number:04x}"
    headers = {"X-Attempt-Id": attempt, "X-Deadline-Ms": "60000"}
    try:
        writer.write(request_bytes("POST", "/a/1", b"x", headers))
        answer = await read_answer(reader)
    except ConnectionError:
        return Sent(attempt, 0)
    finally:
        writer.close()
    return Sent(attempt, answer.status)


@played
async def test_a_stop_loses_nothing_though_its_connections_never_rest_together(
    cluster: Cluster,
) -> None:
    await cluster.add("a", service="web")
    await cluster.add("b")
    await cluster.configure(1, [route(route_type="unsafe", attempts=1)])
    await cluster.settle(1)
    cluster.targets["b"].work_s = WORK_S
    host, _, port = cluster.daemons["a"].addresses["callers"].rpartition(":")
    conns = [await asyncio.open_connection(host, int(port)) for _ in range(KEPT)]
    drained = asyncio.create_task(cluster.daemons["a"].drain())
    sent = await asyncio.gather(
        *(use(*conn, number, FIRST_S + number * GAP_S) for number, conn in enumerate(conns))
    )
    await drained
    ran = {req.headers["x-attempt-id"] for req in cluster.targets["b"].ran}
    assert [each for each in sent if each.status == 0 and each.attempt in ran] == []
    await until(lambda: cluster.daemons["a"].stopped.is_set())


@played
async def test_a_stopping_daemon_refuses_truly_what_it_cannot_finish(cluster: Cluster) -> None:
    await cluster.add("a", service="web")
    await cluster.add("b")
    await cluster.configure(1, [route(route_type="unsafe", attempts=1)])
    await cluster.settle(1)
    daemon = cluster.daemons["a"]
    for number in range(5):
        assert (await cluster.ask("a", method="POST", body=b"x", attempt=f"{number:x}")).status
    ran = len(cluster.targets["b"].ran)
    daemon.ingress_task.ingress.admission.begin_shutdown(asyncio.get_running_loop().time())
    answer = await cluster.ask("a", method="POST", body=b"x")
    assert (answer.status, answer.body) == (503, b"not run: daemon-leaving\n")
    assert len(cluster.targets["b"].ran) == ran
