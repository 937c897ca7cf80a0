"""Repeats along services that call each other stay within the retry budget.

Guards against calls of a repeated execution that count as new ones and are retried themselves.
"""

from __future__ import annotations

import asyncio
from functools import partial
from itertools import count
from typing import TYPE_CHECKING

from tests.adapter.cluster import Cluster, route, with_cluster

if TYPE_CHECKING:
    from tests.adapter.target import Request

SERVICES = ("shop", "stock", "prices")
"""Services; targets of each one call the next."""
HOSTS = 2
"""Hosts of each service."""
REQUESTS = 300
"""Number of requests of the clients."""
AT_ONCE = 4
"""Number of concurrent requests."""
REPEAT_SHARE = 0.2
"""Allowed repeats as a share of requests."""
SLACK = 20
"""Allowed repeats in addition to that share."""


class Chain:
    """Counts the requests and repeats at each service of a chain."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.ids = count(1)
        self.seen: dict[str, set[str]] = {service: set() for service in SERVICES}
        self.requests = dict.fromkeys(SERVICES, 0)
        self.repeats = dict.fromkeys(SERVICES, 0)
        self.from_repeats: set[str] = set()

    async def start(self) -> None:
        """Start all services; the targets of the last one fail."""
        for service in SERVICES:
            for host in range(HOSTS):
                await self.cluster.add(f"{service}-{host}", service)
        for name, target in self.cluster.targets.items():
            target.handler = partial(self.run, name, target.service)
        prefixes = [route(f"/{service}/", service, attempts=3) for service in SERVICES]
        await self.cluster.configure(1, prefixes)
        await self.cluster.settle(1)

    async def call(self, name: str, service: str, repeat: bool) -> int:
        """Send a call at a host and return its status."""
        attempt = f"{next(self.ids):08x}"
        if repeat:
            self.from_repeats.add(attempt)
        else:
            self.requests[service] += 1
        return (await self.cluster.send(name, f"/{service}/x", attempt=attempt)).status

    async def run(self, name: str, service: str, req: Request) -> int:
        """Run a request at a target and return the status of the answer."""
        attempt = req.headers["x-attempt-id"]
        repeat = attempt in self.from_repeats or attempt in self.seen[service]
        self.seen[service].add(attempt)
        self.repeats[service] += repeat
        at = SERVICES.index(service) + 1
        if at == len(SERVICES):
            return 500
        return 200 if await self.call(name, SERVICES[at], repeat) == 200 else 500


@with_cluster
async def test_calls_of_repeated_executions_count_against_the_retry_budget(
    cluster: Cluster,
) -> None:
    chain = Chain(cluster)
    await chain.start()
    names = list(cluster.daemons)
    numbers = iter(range(REQUESTS))

    async def client() -> None:
        for number in numbers:
            await chain.call(names[number % len(names)], SERVICES[0], False)

    await asyncio.gather(*(client() for _ in range(AT_ONCE)))
    assert chain.repeats[SERVICES[0]]
    for service in SERVICES:
        assert chain.repeats[service] <= REPEAT_SHARE * chain.requests[service] + SLACK, (
            chain.repeats
        )
