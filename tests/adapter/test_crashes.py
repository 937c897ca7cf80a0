"""A call that crashes the upstreams that run it is refused by all daemons after two crashes.

Guards against a repeated request that crashes every upstream of a service.
"""

from __future__ import annotations

from tests.adapter.cluster import Cluster, route, until, with_cluster

CRASH_PATH = "/a/deadly?page=5"
"""Path that crashes every upstream that runs it."""
HOSTS = 4
"""Hosts of the service; more than `MAX_CRASHES`, so that some upstreams keep running."""
ROUNDS = 4
"""Number of times that the call is sent to each host."""
MAX_CRASHES = 2
"""Maximum number of upstreams that the call may crash when it is repeated one at a time."""


async def start(cluster: Cluster) -> None:
    """Start a service whose upstreams crash on `CRASH_PATH`."""
    for number in range(HOSTS):
        name = f"h{number}"
        await cluster.add(name, data_centre="one" if number % 2 else "two")
        cluster.targets[name].crash_path = CRASH_PATH
    await cluster.configure(1, [route(attempts=3)])
    await cluster.settle(1)


async def restart(cluster: Cluster) -> None:
    """Restart crashed upstreams, each with a new instance id."""
    for name, target in cluster.targets.items():
        instance = f"i-{name}-{target.crashes}"
        if target.crashes and target.instance != instance:
            await target.restart(instance)
            await cluster.heartbeat(name)
            daemon = cluster.daemons[name]
            await until(lambda daemon=daemon: daemon.owner.load()["state"] == "warm")  # type: ignore[misc]


def crashes(cluster: Cluster) -> int:
    """Return the number of crashes of all upstreams."""
    return sum(target.crashes for target in cluster.targets.values())


def executions(cluster: Cluster, path: str) -> int:
    """Return how often upstreams have run a path."""
    paths = [req.path for target in cluster.targets.values() for req in target.ran]
    return paths.count(path)


@with_cluster
async def test_a_call_that_crashes_upstreams_is_refused_by_all_daemons(cluster: Cluster) -> None:
    await start(cluster)
    statuses = []
    for _ in range(ROUNDS):
        for name in cluster.daemons:
            statuses.append((await cluster.send(name, CRASH_PATH)).status)
            await restart(cluster)
    assert crashes(cluster) <= MAX_CRASHES
    assert executions(cluster, CRASH_PATH) <= MAX_CRASHES
    assert statuses[-HOSTS:] == [503] * HOSTS


@with_cluster
async def test_other_calls_are_served_meanwhile(cluster: Cluster) -> None:
    """Calls to the same path with another query, and to another path, are answered."""
    await start(cluster)
    for _ in range(ROUNDS):
        for name in cluster.daemons:
            await cluster.send(name, CRASH_PATH)
            await restart(cluster)
            assert (await cluster.send(name, "/a/deadly?page=6")).status == 200
            assert (await cluster.send(name, "/a/1")).status == 200
    assert crashes(cluster) <= MAX_CRASHES


@with_cluster
async def test_the_call_stays_refused_after_all_daemons_restart(cluster: Cluster) -> None:
    await start(cluster)
    for name in cluster.daemons:
        await cluster.send(name, CRASH_PATH)
        await restart(cluster)
    before = crashes(cluster)
    for daemon in cluster.daemons.values():
        await daemon.stop()
    for name in cluster.targets:
        await cluster.start_daemon(name)
        await cluster.heartbeat(name)
    await cluster.settle(1)
    for name in cluster.daemons:
        assert (await cluster.send(name, CRASH_PATH)).status == 503
    assert crashes(cluster) == before <= MAX_CRASHES
