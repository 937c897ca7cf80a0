"""A cold upstream gets no more calls per second than its cold rate allows.

Guards against upstreams that crash from too many calls while cold, restart cold and crash again.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.adapter.cluster import Answer, Cluster, route, until, with_cluster

COLD_PER_S = 8.0
"""Calls per second that a cold upstream can serve."""
ALLOWED_IN_A_SECOND = 20
"""Maximum calls at a cold upstream in any second: 1.5 times its cold rate, plus 8."""
COLD = {"cold_period_s": 3.0, "cold_per_s": COLD_PER_S}
"""Cold start settings of each service in the configuration."""
COLD_S = 60.0
"""Cold period of an upstream in tests that do not wait for its end, in seconds."""
BURST = 30
"""Concurrent calls at each host in one burst."""
BURST_INTERVAL_S = 0.3
"""Interval between two bursts, in seconds."""


async def start(cluster: Cluster, upstreams: int) -> None:
    """Start a calling host, and upstreams that crash on too many calls while cold."""
    await cluster.add("a", service="web")
    for number in range(upstreams):
        name = f"s{number}"
        await cluster.add(name, data_centre="one" if number % 2 else "two")
        cluster.targets[name].max_calls_per_s = ALLOWED_IN_A_SECOND
        cluster.targets[name].work_s = 0.02
    await cluster.configure(1, [route(attempts=2)], **COLD)
    await cluster.settle(1)


async def become_cold(cluster: Cluster, name: str, cold_s: float = COLD_S) -> None:
    """Make an upstream cold and announce it."""
    cluster.targets[name].become_cold(cold_s)
    await cluster.heartbeat(name, status={"cold_remaining_s": cold_s})


async def burst(cluster: Cluster, hosts: list[str], path: str = "/a/popular") -> list[Answer]:
    """Send `BURST` identical calls concurrently at each host."""
    return await asyncio.gather(*(cluster.send(name, path) for name in hosts for _ in range(BURST)))


def shop_names(cluster: Cluster) -> list[str]:
    return [name for name, target in cluster.targets.items() if target.service == "shop"]


@with_cluster
async def test_a_cold_upstream_gets_its_cold_rate_and_other_calls_are_refused(
    cluster: Cluster,
) -> None:
    await start(cluster, 1)
    await become_cold(cluster, "s0")
    answers: list[Answer] = []
    for _ in range(4):
        answers += await burst(cluster, ["a", "s0"])
        await asyncio.sleep(BURST_INTERVAL_S)
    assert cluster.targets["s0"].crashes == 0
    assert cluster.targets["s0"].max_arrivals_in_a_second() <= ALLOWED_IN_A_SECOND
    statuses = [answer.status for answer in answers]
    assert set(statuses) == {200, 503}
    assert statuses.count(200) >= COLD_PER_S


@with_cluster
async def test_an_upstream_that_turns_cold_is_detected_by_its_health_answers(
    cluster: Cluster,
) -> None:
    await start(cluster, 1)
    await burst(cluster, ["a"])
    target = cluster.targets["s0"]
    target.become_cold(COLD_S)
    before = target.health_requests
    await cluster.send("a")
    await until(lambda: target.health_requests > before + 1)
    for _ in range(3):
        await burst(cluster, ["a", "s0"])
    assert target.crashes == 0
    assert target.max_arrivals_in_a_second() <= ALLOWED_IN_A_SECOND


@with_cluster
async def test_a_late_warm_announcement_does_not_end_the_cold_start(cluster: Cluster) -> None:
    await start(cluster, 1)
    await become_cold(cluster, "s0")
    await cluster.heartbeat("s0")
    for _ in range(3):
        await burst(cluster, ["a", "s0"])
    assert cluster.targets["s0"].crashes == 0
    assert cluster.targets["s0"].max_arrivals_in_a_second() <= ALLOWED_IN_A_SECOND


@with_cluster
async def test_a_restarted_daemon_keeps_the_cold_rate(cluster: Cluster) -> None:
    """Calls of the earlier incarnation within the same second count towards the cold rate."""
    await start(cluster, 1)
    await become_cold(cluster, "s0")
    await burst(cluster, ["a", "s0"])
    await cluster.daemons["s0"].stop()
    await cluster.start_daemon("s0")
    await cluster.heartbeat("s0", status={"cold_remaining_s": COLD_S})
    await cluster.settle(1)
    await burst(cluster, ["a", "s0"])
    assert cluster.targets["s0"].crashes == 0
    assert cluster.targets["s0"].max_arrivals_in_a_second() <= ALLOWED_IN_A_SECOND


@pytest.mark.parametrize("noticed", [True, False])
def test_an_upstream_that_restarts_under_its_name_is_cold_before_it_announces_itself(
    noticed: bool,
) -> None:
    """Its address accepts connections again, and nothing else is known of its new incarnation."""

    @with_cluster
    async def run(cluster: Cluster) -> None:
        await start(cluster, 1)
        target = cluster.targets["s0"]
        target.pace = ""  # Its health path is then not asked regularly.
        await burst(cluster, ["a"])
        target.crash()
        if noticed:
            await cluster.send("a")
        await target.restart(target.instance)
        target.become_cold(COLD_S)
        crashes = target.crashes
        for _ in range(4):
            await burst(cluster, ["a", "s0"])
            await asyncio.sleep(BURST_INTERVAL_S)
        assert target.crashes == crashes
        assert 0 < target.max_arrivals_in_a_second() <= ALLOWED_IN_A_SECOND

    run()


@pytest.mark.parametrize("tells_warm", [True, False])
def test_an_upstream_that_comes_back_warm_gets_all_calls_at_once(tells_warm: bool) -> None:
    """A warm one may say in its health answers that it is not cold, or say nothing of it."""

    @with_cluster
    async def run(cluster: Cluster) -> None:
        await start(cluster, 1)
        target = cluster.targets["s0"]
        target.tells_warm = tells_warm
        target.pace = ""
        target.crash()
        await cluster.send("a")
        await target.restart(target.instance)
        async with asyncio.timeout(COLD["cold_period_s"]):
            while (await cluster.send("a")).status != 200:
                await asyncio.sleep(0.05)
            answers = [await cluster.send("a") for _ in range(3 * int(COLD_PER_S))]
        assert {answer.status for answer in answers} == {200}

    run()


@pytest.mark.parametrize("upstreams", [2, 5])
def test_all_calls_are_served_after_every_upstream_was_cold(upstreams: int) -> None:
    """All hosts send concurrent reads while every upstream is cold."""

    @with_cluster
    async def run(cluster: Cluster) -> None:
        await start(cluster, upstreams)
        for daemon in cluster.daemons.values():
            await daemon.stop()
        for name in cluster.targets:
            await cluster.start_daemon(name)
        cold_s = 2.0
        for name in shop_names(cluster):
            await become_cold(cluster, name, cold_s)
        await cluster.heartbeat("a")
        await cluster.settle(1)
        until_s = asyncio.get_running_loop().time() + cold_s
        while asyncio.get_running_loop().time() < until_s:
            await burst(cluster, ["a", *shop_names(cluster)])
            await asyncio.sleep(BURST_INTERVAL_S)
        assert [cluster.targets[name].crashes for name in shop_names(cluster)] == [0] * upstreams
        for name in ("a", *shop_names(cluster)):
            answers = [await cluster.send(name, "/a/popular") for _ in range(10)]
            assert [answer.status for answer in answers] == [200] * 10

    run()
