"""A connection between two daemons is lost while a write runs, and comes back at once."""

from __future__ import annotations

import asyncio

from foldhoist.delivery.attempt_fates import FATE_TIMEOUT_S
from tests.adapter.cluster import Cluster, route, until, with_cluster
from tests.adapter.test_path import transport_to


@with_cluster
async def test_a_write_that_runs_across_a_lost_connection_gets_its_answer(cluster: Cluster) -> None:
    """Guards against a 502 while the upstream is at work and its owner connected again."""
    await cluster.add("a", service="web")
    await cluster.add("b")
    await cluster.configure(1, [route("/u/", route_type="unsafe")])
    await cluster.settle(1)
    target, ingress = cluster.targets["b"], cluster.daemons["a"]
    target.gate = asyncio.Event()
    pending = asyncio.ensure_future(cluster.send("a", "/u/1", "POST"))
    await until(lambda: len(target.ran) == 1)
    link = ingress.links._links["b"]
    before = link._conn
    transport_to(ingress, "b").abort()
    await until(lambda: link._conn is not before and link.up)
    await asyncio.sleep(1.3 * FATE_TIMEOUT_S)
    target.gate.set()
    answer = await pending
    assert (answer.status, answer.body) == (200, b"ran /u/1")
    assert len(target.ran) == 1
