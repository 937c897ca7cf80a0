"""Attempts at targets that reject every request stay within the retry budget."""

from __future__ import annotations

import asyncio

from foldhoist.admission.retries import RetryBudget
from foldhoist.routing.picker import MAX_REFUSAL_PAUSE_S
from tests.adapter.cluster import Cluster, route, with_cluster

REQUESTS = 60
"""Number of requests over all daemons."""
EXTRA_SHARE = 0.2
"""Retries that the platform allows, as a share of requests."""


@with_cluster
async def test_retries_at_rejecting_targets_stay_within_the_budget(cluster: Cluster) -> None:
    names = ["a", "b", "c", "d"]
    for name in names:
        await cluster.add(name)
    await cluster.configure(1, [route(attempts=4)])
    await cluster.settle(1)
    for target in cluster.targets.values():
        target.full = True
    for number in range(REQUESTS):
        await asyncio.sleep(MAX_REFUSAL_PAUSE_S)
        answer = await cluster.send(names[number % len(names)])
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
    arrivals = sum(target.rejected for target in cluster.targets.values())
    reserve = RetryBudget.RESERVE * len(names)
    assert arrivals <= REQUESTS * (1 + EXTRA_SHARE) + reserve
    assert not any(target.ran for target in cluster.targets.values())
