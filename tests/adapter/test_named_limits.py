"""An upstream that names a limit, or says that it is leaving, in its answers.

Guards against upstreams that get more requests than they take, or get them after they have left.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress

import pytest

from tests.adapter.cluster import Answer, Cluster, route, until, with_cluster

WINDOW_S = 4.0
"""Length of the windows in which arrivals are counted, in seconds."""
OVERAGE = 1.5
"""Factor by which a window may exceed the named limit."""
SLACK = 5
"""Arrivals that a window may hold beyond that."""
NOTICE_S = 3.0
"""Time from the first naming of a limit until it binds, in seconds."""
DRAIN_S = 2.0
"""Time from the first word of leaving until no request may arrive, in seconds."""
LIMIT_PER_S = 6.5
"""Limit that an upstream names, requests per second."""
PAUSE_S = 0.02
"""Pause between two requests of the traffic, in seconds."""


class Traffic:
    """Requests in the background to some daemons in turn; `sent` has the time of each attempt."""

    def __init__(self, cluster: Cluster, daemons: list[str], path: str = "/a/1") -> None:
        self.sent: dict[str, float] = {}
        self.answers: list[Answer] = []
        self._cluster = cluster
        self._daemons = daemons
        self._path = path
        self._requests: set[asyncio.Task[None]] = set()
        self._task = asyncio.create_task(self._run())

    async def run_for(self, seconds: float) -> None:
        await asyncio.sleep(seconds)

    async def end(self) -> None:
        self._task.cancel()
        with suppress(asyncio.CancelledError):
            await self._task
        await asyncio.gather(*self._requests, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            name = self._daemons[len(self.sent) % len(self._daemons)]
            attempt = f"{len(self.sent):08x}"
            self.sent[attempt] = asyncio.get_running_loop().time()
            task = asyncio.create_task(self._send(name, attempt))
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)
            await asyncio.sleep(PAUSE_S)

    async def _send(self, name: str, attempt: str) -> None:
        with suppress(OSError):
            headers = {"X-Deadline-Ms": "1000"}
            answer = await self._cluster.send(name, self._path, attempt=attempt, headers=headers)
            self.answers.append(answer)


def most_in_a_window(arrivals: list[float], since: float) -> int:
    """Return the most arrivals in any window that ends at `since` or later."""
    ends = [at for at in arrivals if at >= since]
    return max((sum(1 for at in arrivals if end - WINDOW_S < at <= end) for end in ends), default=0)


def allowed(limit_per_s: float) -> int:
    return int(OVERAGE * WINDOW_S * limit_per_s + SLACK)


async def start(cluster: Cluster, upstreams: int) -> list[str]:
    """Start a calling host and upstreams of service shop; returns the names of these."""
    await cluster.add("a", service="web")
    names = [f"s{number}" for number in range(upstreams)]
    for name in names:
        await cluster.add(name)
        cluster.targets[name].work_s = 0.005
    await cluster.configure(1, [route(attempts=2)])
    await cluster.settle(1)
    return names


def now() -> float:
    return asyncio.get_running_loop().time()


@with_cluster
async def test_an_upstream_gets_more_than_the_limit_that_it_names(cluster: Cluster) -> None:
    await start(cluster, 1)
    target = cluster.targets["s0"]
    traffic = Traffic(cluster, ["a", "s0"])
    await traffic.run_for(1.0)
    target.limit = str(LIMIT_PER_S)
    named = now()
    await traffic.run_for(NOTICE_S + 3.0)
    await traffic.end()
    assert most_in_a_window(target.arrivals, named + NOTICE_S) <= allowed(LIMIT_PER_S)


@pytest.mark.parametrize(("slots", "work_s"), [(4, 0.005), (100, 0.7)], ids=["fast", "slow"])
def test_the_limit_is_forgotten_when_its_owner_starts_again(slots: int, work_s: float) -> None:
    """The ingress at `a` has passed on answers with the limit, and stays bound.

    If the upstream is slow, nobody but this ingress knows of the limit for a while.
    """

    @with_cluster
    async def run(cluster: Cluster) -> None:
        await start(cluster, 1)
        target = cluster.targets["s0"]
        target.limit = str(LIMIT_PER_S)
        await cluster.heartbeat("s0", slots=slots)
        traffic = Traffic(cluster, ["a"])
        await traffic.run_for(NOTICE_S)
        named = target.arrivals[0]
        target.work_s = work_s
        for _ in range(2):
            await cluster.daemons["s0"].stop()
            await cluster.start_daemon("s0")
            await cluster.heartbeat("s0", slots=slots)
            await traffic.run_for(1.5)
        await traffic.end()
        most = most_in_a_window(target.arrivals, named + NOTICE_S)
        assert most <= allowed(LIMIT_PER_S)

    run()


@pytest.mark.parametrize("restarts", [0, 1])
def test_an_upstream_that_says_it_is_leaving_gets_requests(restarts: int) -> None:
    """Its heartbeats say that it is ready all the while, also to an owner that starts again."""

    @with_cluster
    async def run(cluster: Cluster) -> None:
        await start(cluster, 2)
        leaver = cluster.targets["s0"]
        traffic = Traffic(cluster, ["a", "s0", "s1"])
        await until(lambda: bool(leaver.arrivals))
        leaver.leaving = True
        since = now()
        await traffic.run_for(0.5)
        for _ in range(restarts):
            await cluster.daemons["s0"].stop()
            await cluster.start_daemon("s0")
        await cluster.heartbeat("s0")
        await traffic.run_for(DRAIN_S + 1.0)
        await traffic.end()
        late = [name for _, name, _ in leaver.received if traffic.sent[name] > since + DRAIN_S]
        assert late == []
        assert cluster.targets["s1"].arrivals[-1] > since + DRAIN_S

    run()


SLOW_S = 0.5
"""Service time of a target whose limit many calls wait for, in seconds."""
BUDGET_MS = 3000
"""Deadline of these calls, in milliseconds."""
CALLERS = 12
"""Callers that send such calls at once, one after the other."""


@with_cluster
async def test_no_start_is_spent_on_a_call_that_can_not_end_in_time(cluster: Cluster) -> None:
    """Calls of routes without an objective were started just before their deadlines.

    Such a start counted against the limit, and a call that could have been served lost it.
    """
    ingresses = ("a", "b", "c")
    await cluster.add("a", service="web")
    await cluster.add("b")
    await cluster.add("c", service="web")
    await cluster.configure(1, [route(route_type="unsafe", attempts=1)])
    await cluster.settle(1)
    target = cluster.targets["b"]
    target.work_s, target.limit = SLOW_S, "2"
    for number in range(6):
        for name in ingresses:
            await cluster.send(name, method="POST", body=b"x", attempt=f"{name}a{number:02x}")
    target.ran.clear()

    async def call_often(caller: int) -> None:
        headers = {"X-Deadline-Ms": str(BUDGET_MS)}
        for number in range(4):
            attempt = f"{caller:02x}{number:02x}"
            name = ingresses[caller % len(ingresses)]
            await cluster.send(name, method="POST", body=b"x", attempt=attempt, headers=headers)
            await asyncio.sleep(PAUSE_S)

    await asyncio.gather(*(call_often(caller) for caller in range(CALLERS)))
    left_ms = [int(req.headers["x-deadline-ms"]) for req in target.ran]
    assert len(left_ms) > 5
    assert min(left_ms) >= SLOW_S * 1000
