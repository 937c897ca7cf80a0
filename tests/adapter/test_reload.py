"""Settings that a running daemon takes over, and the bound on bodies that they set."""

from __future__ import annotations

import asyncio
import copy

from foldhoist.admission.body_memory import SMALL_BODY_BYTES
from foldhoist.routing.policies import Mixed, TwoChoices
from tests.adapter.cluster import Cluster, played, request_bytes, route, two, until


@played
async def test_upstreams_are_chosen_by_the_policy_of_the_settings(cluster: Cluster) -> None:
    await two(cluster)
    pickers = cluster.daemons["a"].ingress_task.ingress.pickers
    assert isinstance(pickers()["shop"].policy, Mixed)
    cluster.daemons["a"].cfg["platform"]["policy"] = "two-choices"
    await cluster.configure(4, [route()])
    await cluster.settle(4)
    assert isinstance(pickers()["shop"].policy, TwoChoices)


@played
async def test_settings_that_change_are_in_force_without_a_restart(cluster: Cluster) -> None:
    await two(cluster)
    daemon = cluster.daemons["a"]
    cfg = copy.deepcopy(daemon.cfg)
    cfg["limits"]["calls"] = 7
    cfg["limits"]["drain_ms"] = 9
    cfg["platform"]["retry_slack"] = 5000
    cfg["observe"]["log_share"] = 0.5
    budget = daemon.ingress_task.ingress._services.get("shop")
    assert budget is not None
    before = budget.budget.cap
    daemon.reload(cfg)
    assert daemon.ingress_task.ingress.admission.max_calls == 7
    assert daemon.cfg["limits"]["drain_ms"] == 9
    assert daemon.events.share == 0.5
    assert budget.budget.cap > 100 * before


@played
async def test_bodies_that_are_still_arriving_are_bounded_also_after_a_reload(
    cluster: Cluster,
) -> None:
    await two(cluster)
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
    refused = await cluster.ask("a", method="POST", body=b"x" * 999)
    assert refused.status == 503
    assert float(refused.headers["retry-after"]) == 1.0
    assert (await cluster.ask("a")).status == 200
    for writer in writers:
        writer.close()
    await until(lambda: daemon.callers.bodies.used == 0)
    assert (await cluster.ask("a", method="POST", body=b"x" * 999)).status == 200
