"""Ingresses learn the pace of an upstream without sending it a call."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.adapter.cluster import Cluster, route, until, with_cluster

if TYPE_CHECKING:
    from foldhoist.routing.upstream_stats import UpstreamStats

CALLS = 40
"""Number of calls that makes an upstream count as in use."""


async def start_with_calls(cluster: Cluster) -> UpstreamStats:
    """Start an ingress and an upstream with calls; return the ingress's statistics of it."""
    await cluster.add("a", service="web")
    await cluster.add("b")
    await cluster.configure(1, [route()])
    await cluster.settle(1)
    for number in range(CALLS):
        assert (await cluster.send("a", attempt=f"{number:x}")).status == 200
    return cluster.daemons["a"].ingress_task.ingress.pickers()["shop"].tracks["b"]


@with_cluster
async def test_a_changed_pace_is_reported_without_another_call(cluster: Cluster) -> None:
    stats = await start_with_calls(cluster)
    ran = len(cluster.targets["b"].ran)
    cluster.targets["b"].pace = "500"
    await until(lambda: stats.pace == 500)
    assert stats.pace_kept_s > 0
    assert len(cluster.targets["b"].ran) == ran
    assert cluster.targets["b"].health_requests > 0


@with_cluster
async def test_upstreams_without_a_pace_or_without_calls_are_not_sampled(
    cluster: Cluster,
) -> None:
    await start_with_calls(cluster)
    await cluster.add("silent", service="mute")
    cluster.targets["silent"].pace = ""
    await cluster.configure(2, [route(), route("/m/", "mute")])
    await cluster.settle(2)
    for number in range(CALLS):
        assert (await cluster.send("a", "/m/1", attempt=f"{number:x}")).status == 200
    await until(lambda: cluster.targets["b"].health_requests > 0)
    assert cluster.targets["silent"].health_requests == 0
    assert cluster.targets["a"].health_requests == 0


@with_cluster
async def test_a_health_answer_of_another_incarnation_is_no_sample(cluster: Cluster) -> None:
    stats = await start_with_calls(cluster)
    sampler = cluster.daemons["b"].owner_task.sampler
    cluster.targets["b"].instance = "i-other"
    cluster.targets["b"].pace = "700"
    before = sampler.count.samples
    await until(lambda: sampler.count.samples > before + 2 or not sampler.pace_sampled)
    await asyncio.sleep(0)
    assert stats.pace != 700


@with_cluster
async def test_with_a_hanging_health_path_calls_are_served_and_sampling_pauses(
    cluster: Cluster,
) -> None:
    await start_with_calls(cluster)
    cluster.targets["b"].health_hangs = True
    sampler = cluster.daemons["b"].owner_task.sampler
    await until(lambda: sampler.count.failed >= 1)
    assert not sampler.pace_sampled
    assert (await cluster.send("a", attempt="ff")).status == 200
    cluster.targets["b"].health_hangs = False
    for number in range(CALLS):
        assert (await cluster.send("a", attempt=f"{number:x}")).status == 200
    await until(lambda: sampler.pace_sampled)
