"""The pace of an upstream is known to its callers' daemons without a call that meets it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.adapter.cluster import Cluster, played, route, until

if TYPE_CHECKING:
    from foldhoist.routing.upstream_stats import UpstreamStats

CALLS = 40
"""Calls after which an upstream is in use."""


async def in_use(cluster: Cluster) -> UpstreamStats:
    """Start an ingress and one upstream with calls; return what the ingress knows of it."""
    await cluster.add("a", service="web")
    await cluster.add("b")
    await cluster.configure(1, [route()])
    await cluster.settle(1)
    for number in range(CALLS):
        assert (await cluster.ask("a", attempt=f"{number:x}")).status == 200
    return cluster.daemons["a"].ingress_task.ingress.pickers()["shop"].tracks["b"]


@played
async def test_a_pace_that_changes_is_told_without_another_call(cluster: Cluster) -> None:
    track = await in_use(cluster)
    ran = len(cluster.targets["b"].ran)
    cluster.targets["b"].pace = "500"
    await until(lambda: track.pace == 500)
    assert track.pace_kept_s > 0
    assert len(cluster.targets["b"].ran) == ran
    assert cluster.targets["b"].sampled > 0


@played
async def test_an_upstream_without_a_pace_and_one_without_calls_are_not_asked(
    cluster: Cluster,
) -> None:
    await in_use(cluster)
    await cluster.add("silent", service="mute")
    cluster.targets["silent"].pace = ""
    await cluster.configure(2, [route(), route("/m/", "mute")])
    await cluster.settle(2)
    for number in range(CALLS):
        assert (await cluster.ask("a", "/m/1", attempt=f"{number:x}")).status == 200
    await until(lambda: cluster.targets["b"].sampled > 0)
    assert cluster.targets["silent"].sampled == 0
    assert cluster.targets["a"].sampled == 0


@played
async def test_a_health_answer_of_another_life_is_no_sample(cluster: Cluster) -> None:
    track = await in_use(cluster)
    sampler = cluster.daemons["b"].owner_task.sampler
    cluster.targets["b"].instance = "i-other"
    cluster.targets["b"].pace = "700"
    before = sampler.count.samples
    await until(lambda: sampler.count.samples > before + 2 or not sampler.pace_sampled)
    await asyncio.sleep(0)
    assert track.pace != 700


@played
async def test_with_a_health_path_that_hangs_calls_are_served_and_it_is_asked_more_rarely(
    cluster: Cluster,
) -> None:
    await in_use(cluster)
    cluster.targets["b"].health_hangs = True
    sampler = cluster.daemons["b"].owner_task.sampler
    await until(lambda: sampler.count.failed >= 1)
    assert not sampler.pace_sampled
    assert (await cluster.ask("a", attempt="ff")).status == 200
    cluster.targets["b"].health_hangs = False
    for number in range(CALLS):
        assert (await cluster.ask("a", attempt=f"{number:x}")).status == 200
    await until(lambda: sampler.pace_sampled)
