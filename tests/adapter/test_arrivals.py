"""Arrivals at targets that turn every request away stay within the retry budget."""

from __future__ import annotations

import asyncio

from foldhoist.admission.retries import RetryBudget
from foldhoist.routing.picker import MAX_REFUSAL_PAUSE_S
from tests.adapter.cluster import Cluster, played, route

REQUESTS = 60
"""Requests that are sent, shared by all daemons."""
SHARE = 0.2
"""Further arrivals that the platform allows, as a share of requests."""


@played
async def test_targets_that_turn_all_away_get_few_further_arrivals(cluster: Cluster) -> None:
    names = ["a", "b", "c", "d"]
    for name in names:
        await cluster.add(name)
    await cluster.configure(1, [route(attempts=4)])
    await cluster.settle(1)
    for target in cluster.targets.values():
        target.full = True
    for number in range(REQUESTS):
        await asyncio.sleep(MAX_REFUSAL_PAUSE_S)
        answer = await cluster.ask(names[number % len(names)])
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
    arrivals = sum(target.turned_away for target in cluster.targets.values())
    reserve = RetryBudget.RESERVE * len(names)
    assert arrivals <= REQUESTS * (1 + SHARE) + reserve
    assert not any(target.ran for target in cluster.targets.values())
