"""A call that ends each upstream that runs it is refused by all daemons after two of them.

For 13 s callers at three hosts sent the same request 26 times. Each upstream that ran it ended
within 50 to 120 ms, with all other calls at work there, and was back after three seconds. Of the
four upstreams of the service all ended within 83 ms, then three, then four again: 11 in all, and
between these times nothing was left to serve anybody. Logs showed nothing but
`upstream-connection-lost`, for this call as for the 66 others that were lost with it. What a call
had done was forgotten with the call: it was sent to a second upstream like any other that is lost,
and the next one like it started anew, at every daemon.
"""

from __future__ import annotations

from tests.adapter.cluster import Cluster, played, route, until

DEADLY = "/a/deadly?page=5"
"""What ends each upstream that runs it."""
HOSTS = 4
"""Hosts of the service: two of its upstreams end before the call is known, others are left."""
ROUNDS = 4
"""Times that the call comes to each host."""
MOST_ENDED = 2
"""Upstreams that may end under a call that is sent again one after the other."""


async def start(cluster: Cluster) -> None:
    """Start a service whose upstreams end under one call."""
    for number in range(HOSTS):
        name = f"h{number}"
        await cluster.add(name, data_centre="one" if number % 2 else "two")
        cluster.targets[name].deadly = DEADLY
    await cluster.configure(1, [route(attempts=3)])
    await cluster.settle(1)


async def revive(cluster: Cluster) -> None:
    """Start the upstreams that have ended again, each with a name of its own."""
    for name, target in cluster.targets.items():
        instance = f"i-{name}-{target.lives_ended}"
        if target.lives_ended and target.instance != instance:
            await target.revive(instance)
            await cluster.beat(name)
            daemon = cluster.daemons[name]
            await until(lambda daemon=daemon: daemon.owner.load()["state"] == "warm")  # type: ignore[misc]


def ended(cluster: Cluster) -> int:
    """Return how many lives of upstreams have ended."""
    return sum(target.lives_ended for target in cluster.targets.values())


def ran(cluster: Cluster, path: str) -> int:
    """Return how many upstreams have run a path."""
    paths = [req.path for target in cluster.targets.values() for req in target.ran]
    return paths.count(path)


@played
async def test_a_call_that_ends_upstreams_is_refused_everywhere(cluster: Cluster) -> None:
    await start(cluster)
    statuses = []
    for _ in range(ROUNDS):
        for name in cluster.daemons:
            statuses.append((await cluster.ask(name, DEADLY)).status)
            await revive(cluster)
    assert ended(cluster) <= MOST_ENDED
    assert ran(cluster, DEADLY) <= MOST_ENDED
    assert statuses[-HOSTS:] == [503] * HOSTS


@played
async def test_other_calls_are_served_beside_it(cluster: Cluster) -> None:
    """The same path with another query, and calls that were lost with an upstream, go on."""
    await start(cluster)
    for _ in range(ROUNDS):
        for name in cluster.daemons:
            await cluster.ask(name, DEADLY)
            await revive(cluster)
            assert (await cluster.ask(name, "/a/deadly?page=6")).status == 200
            assert (await cluster.ask(name, "/a/1")).status == 200
    assert ended(cluster) <= MOST_ENDED


@played
async def test_it_stays_refused_when_all_daemons_start_again(cluster: Cluster) -> None:
    await start(cluster)
    for name in cluster.daemons:
        await cluster.ask(name, DEADLY)
        await revive(cluster)
    before = ended(cluster)
    for daemon in cluster.daemons.values():
        await daemon.stop()
    for name in cluster.targets:
        await cluster.start_daemon(name)
        await cluster.beat(name)
    await cluster.settle(1)
    for name in cluster.daemons:
        assert (await cluster.ask(name, DEADLY)).status == 503
    assert ended(cluster) == before <= MOST_ENDED
