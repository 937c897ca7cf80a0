"""Settings that a running daemon reloads, and the limit of body memory that they set."""

from __future__ import annotations

import asyncio
import copy

from foldhoist.admission.body_memory import SMALL_BODY_BYTES
from foldhoist.routing.policies import Mixed, TwoChoices
from tests.adapter.cluster import Cluster, request_bytes, route, start_two, until, with_cluster


@with_cluster
async def test_the_routing_policy_comes_from_the_settings(cluster: Cluster) -> None:
    await start_two(cluster)
    pickers = cluster.daemons["a"].ingress_task.ingress.pickers
    assert isinstance(pickers()["shop"].policy, Mixed)
    cluster.daemons["a"].cfg["platform"]["policy"] = "two-choices"
    await cluster.configure(4, [route()])
    await cluster.settle(4)
    assert isinstance(pickers()["shop"].policy, TwoChoices)


@with_cluster
async def test_reloaded_settings_apply_without_a_restart(cluster: Cluster) -> None:
    await start_two(cluster)
    daemon = cluster.daemons["a"]
    cfg = copy.deepcopy(daemon.cfg)
    cfg["limits"]["calls"] = 7
    cfg["limits"]["drain_ms"] = 9
    cfg["limits"]["held_bytes"] = 300_000_000
    cfg["platform"]["retry_slack"] = 5000
    cfg["observe"]["log_share"] = 0.5
    service = daemon.ingress_task.ingress._services.get("shop")
    assert service is not None
    before = service.budget.cap
    daemon.reload(cfg)
    assert daemon.ingress_task.ingress.admission.max_calls == 7
    assert daemon.cfg["limits"]["drain_ms"] == 9
    assert daemon.owner_task.pool._bodies.limit == 300_000_000
    assert daemon.events.share == 0.5
    assert service.budget.cap > 100 * before


@with_cluster
async def test_body_memory_of_arriving_bodies_is_limited_after_a_reload(
    cluster: Cluster,
) -> None:
    await start_two(cluster)
    daemon = cluster.daemons["a"]
    limits = {**daemon.cfg["limits"], "held_bytes": SMALL_BODY_BYTES}
    daemon.reload({**daemon.cfg, "limits": limits})  # type: ignore[typeddict-item]
    ip, _, port = daemon.addresses["callers"].rpartition(":")
    part = request_bytes("POST", "/a/1", b"x" * 1000)[:-1]
    writers: list[asyncio.StreamWriter] = []
    for _ in range(SMALL_BODY_BYTES // 999):
        _, writer = await asyncio.open_connection(ip, int(port))
        writer.write(part)
        writers.append(writer)
    await until(lambda: daemon.callers.bodies.used == 999 * len(writers))
    refused = await cluster.send("a", method="POST", body=b"x" * 999)
    assert refused.status == 503
    assert float(refused.headers["retry-after"]) == 1.0
    assert (await cluster.send("a")).status == 200
    for writer in writers:
        writer.close()
    await until(lambda: daemon.callers.bodies.used == 0)
    assert (await cluster.send("a", method="POST", body=b"x" * 999)).status == 200
