"""The upstreams of an evacuated data centre get no calls until the evacuation ends.

Guards against evacuations that daemons miss, and too many calls at cold upstreams afterwards.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.adapter.cluster import TIMEOUT_S, Cluster, route, start_two, until, with_cluster
from tests.adapter.test_cold import ALLOWED_IN_A_SECOND, COLD, COLD_S, burst

if TYPE_CHECKING:
    from tests.adapter.cluster import Answer

CALLS_PER_HOST = 8
"""Calls at each host in one round."""
ROUNDS = 5
"""Consecutive rounds with the same upstreams after which they count as the only ones in use."""


async def two_data_centres(cluster: Cluster) -> None:
    """Start a slow upstream in data centre one and a fast one, which calls prefer, in two."""
    await start_two(cluster)
    cluster.targets["a"].work_s = 0.02


async def send_to_all(cluster: Cluster) -> list[Answer]:
    """Send `CALLS_PER_HOST` calls at each running host."""
    answers: list[Answer] = []
    for name, daemon in cluster.daemons.items():
        if daemon.stopped.is_set():
            continue
        answers += [await cluster.send(name) for _ in range(CALLS_PER_HOST)]
    return answers


async def served_by(cluster: Cluster) -> set[str]:
    """Return the names of upstreams that run calls now; every call must be answered."""
    before = {name: len(target.ran) for name, target in cluster.targets.items()}
    answers = await send_to_all(cluster)
    assert {answer.status for answer in answers} == {200}
    return {name for name, target in cluster.targets.items() if len(target.ran) > before[name]}


async def until_served_by(cluster: Cluster, *names: str) -> None:
    """Wait until calls run at exactly these upstreams for `ROUNDS` rounds."""
    rounds = 0
    async with asyncio.timeout(TIMEOUT_S):
        while rounds < ROUNDS:
            rounds = rounds + 1 if await served_by(cluster) == set(names) else 0


async def until_served(cluster: Cluster, name: str) -> None:
    """Wait until calls run at this upstream, among others."""
    async with asyncio.timeout(TIMEOUT_S):
        while name not in await served_by(cluster):
            await asyncio.sleep(0.01)


@with_cluster
async def test_an_evacuated_data_centre_gets_no_calls_until_the_evacuation_ends(
    cluster: Cluster,
) -> None:
    """Hosts there serve their callers through the other data centre."""
    await two_data_centres(cluster)
    await cluster.evacuate("two")
    await until_served_by(cluster, "a")
    assert await served_by(cluster) == {"a"}
    await cluster.evacuate("two", b"")
    await until_served(cluster, "b")


@with_cluster
async def test_an_evacuation_outlasts_a_restart_while_the_store_is_down(cluster: Cluster) -> None:
    await two_data_centres(cluster)
    await cluster.evacuate("two")
    await until_served_by(cluster, "a")
    cluster.log.down = True
    await cluster.daemons["b"].stop()
    await cluster.start_daemon("b")
    await cluster.heartbeat("b")
    await cluster.settle(3)
    assert await served_by(cluster) == {"a"}


@with_cluster
async def test_changes_of_an_evacuation_in_dropped_history_are_applied(
    cluster: Cluster,
) -> None:
    await two_data_centres(cluster)
    cluster.log.down = True
    await cluster.evacuate("two")
    cluster.log.forget("keyed.op")
    cluster.log.down = False
    await until_served_by(cluster, "a")
    cluster.log.down = True
    await cluster.evacuate("two", b"")
    cluster.log.forget("keyed.op")
    cluster.log.down = False
    await until_served(cluster, "b")


@with_cluster
async def test_with_every_data_centre_evacuated_calls_are_refused(
    cluster: Cluster,
) -> None:
    await two_data_centres(cluster)
    await cluster.evacuate("one")
    await cluster.evacuate("two")

    async def statuses() -> set[int]:
        return {answer.status for answer in await send_to_all(cluster)}

    async with asyncio.timeout(TIMEOUT_S):
        while await statuses() != {503}:
            await asyncio.sleep(0.01)
    ran = sum(len(target.ran) for target in cluster.targets.values())
    answers = await send_to_all(cluster)
    assert all("retry-after" in answer.headers for answer in answers)
    assert sum(len(target.ran) for target in cluster.targets.values()) == ran


@with_cluster
async def test_the_evacuated_share_of_a_split_route_is_refused_not_moved(
    cluster: Cluster,
) -> None:
    """Calls of the evacuated service are refused; the other service gets only its own share."""
    await cluster.add("a")
    await cluster.add("b", service="parcels", data_centre="two")
    parts = [{"service": "shop", "weight": 50}, {"service": "parcels", "weight": 50}]
    await cluster.configure(3, [route(weighted_clusters=parts)])
    await cluster.settle(3)
    await cluster.evacuate("two")
    answers: list[Answer] = []
    async with asyncio.timeout(TIMEOUT_S):
        while not any(answer.status == 503 for answer in answers):
            answers = await send_to_all(cluster)
    ran = len(cluster.targets["b"].ran)
    answers = [answer for _ in range(ROUNDS) for answer in await send_to_all(cluster)]
    served = sum(answer.status == 200 for answer in answers)
    assert {answer.status for answer in answers} == {200, 503}
    assert abs(served / len(answers) - 0.5) <= 0.2
    assert len(cluster.targets["b"].ran) == ran


@with_cluster
async def test_upstreams_are_cold_after_an_evacuation_until_they_announce(cluster: Cluster) -> None:
    """No announcement arrives between the end of the evacuation and the first calls."""
    await cluster.add("a", service="web")
    await cluster.add("b", data_centre="two")
    await cluster.configure(3, [route()], **COLD)
    await cluster.settle(3)
    await cluster.evacuate("two")

    async def statuses() -> set[int]:
        return {(await cluster.send("a")).status for _ in range(CALLS_PER_HOST)}

    async with asyncio.timeout(TIMEOUT_S):
        while await statuses() != {503}:
            await asyncio.sleep(0.01)
    target = cluster.targets["b"]
    target.max_calls_per_s = ALLOWED_IN_A_SECOND
    target.become_cold(COLD_S)
    await cluster.evacuate("two", b"")
    async with asyncio.timeout(TIMEOUT_S):
        while not target.arrivals:
            await burst(cluster, ["a", "b"])
    for _ in range(3):
        await burst(cluster, ["a", "b"])
    assert target.crashes == 0
    assert target.max_arrivals_in_a_second() <= ALLOWED_IN_A_SECOND


@with_cluster
async def test_invalid_evacuations_are_ignored(
    cluster: Cluster,
) -> None:
    await two_data_centres(cluster)
    await cluster.evacuate("two")
    await until_served_by(cluster, "a")
    passed_over = cluster.daemons["a"].counters()["store"]["passed_over"]
    await cluster.evacuate("elsewhere")
    await cluster.evacuate("one", b"\xff\x00")
    await cluster.evacuate("", b"{}")
    await until(
        lambda: any(
            daemon.counters()["store"]["passed_over"] > passed_over
            for daemon in cluster.daemons.values()
        )
    )
    assert await served_by(cluster) == {"a"}
