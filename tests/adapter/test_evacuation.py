"""An operator has a data centre evacuated: its upstreams get nothing until that is taken back.

On a day with evacuations 1,383 calls reached upstreams of the evacuated data centre later than 5 s
after the store had taken the order: nobody read its record. When it was taken back, upstreams that
had turned cold meanwhile got 24 calls in a second, where 20 are allowed.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.adapter.cluster import WAIT_S, Cluster, played, route, two, until
from tests.adapter.test_cold import ALLOWED_IN_A_SECOND, COLD, COLD_S, burst

if TYPE_CHECKING:
    from tests.adapter.cluster import Answer

IN_ROW = 8
"""Calls at each host by which it is seen where calls go."""
ROUNDS = 5
"""Times in a row that nothing comes to an upstream before it is taken for evacuated."""


async def two_data_centres(cluster: Cluster) -> None:
    """Start a slow upstream in one and a fast one in the other, which calls would go to."""
    await two(cluster)
    cluster.targets["a"].work_s = 0.02


async def asked(cluster: Cluster) -> list[Answer]:
    """Call some times at each running host."""
    answers: list[Answer] = []
    for name, daemon in cluster.daemons.items():
        if daemon.stopped.is_set():
            continue
        answers += [await cluster.ask(name) for _ in range(IN_ROW)]
    return answers


async def served_by(cluster: Cluster) -> set[str]:
    """Return whose upstreams run calls now; each of them must be answered."""
    before = {name: len(target.ran) for name, target in cluster.targets.items()}
    answers = await asked(cluster)
    assert {answer.status for answer in answers} == {200}
    return {name for name, target in cluster.targets.items() if len(target.ran) > before[name]}


async def until_served_by(cluster: Cluster, *names: str) -> None:
    """Wait until calls run at these upstreams and no others, and go on to do so."""
    rounds = 0
    async with asyncio.timeout(WAIT_S):
        while rounds < ROUNDS:
            rounds = rounds + 1 if await served_by(cluster) == set(names) else 0


async def until_served(cluster: Cluster, name: str) -> None:
    """Wait until calls run at this upstream."""
    async with asyncio.timeout(WAIT_S):
        while name not in await served_by(cluster):
            await asyncio.sleep(0.01)


@played
async def test_an_evacuated_data_centre_gets_nothing_until_that_is_taken_back(
    cluster: Cluster,
) -> None:
    """Hosts there serve their callers through the other data centre."""
    await two_data_centres(cluster)
    await cluster.evacuate("two")
    await until_served_by(cluster, "a")
    assert await served_by(cluster) == {"a"}
    await cluster.evacuate("two", b"")
    await until_served(cluster, "b")


@played
async def test_it_outlasts_a_restart_while_the_store_is_away(cluster: Cluster) -> None:
    await two_data_centres(cluster)
    await cluster.evacuate("two")
    await until_served_by(cluster, "a")
    cluster.log.down = True
    await cluster.daemons["b"].stop()
    await cluster.start_daemon("b")
    await cluster.beat("b")
    await cluster.settle(3)
    assert await served_by(cluster) == {"a"}


@played
async def test_one_that_was_ordered_or_ended_in_a_gap_of_the_history_is_seen(
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


@played
async def test_where_every_data_centre_is_evacuated_calls_are_refused_at_once(
    cluster: Cluster,
) -> None:
    await two_data_centres(cluster)
    await cluster.evacuate("one")
    await cluster.evacuate("two")

    async def statuses() -> set[int]:
        return {answer.status for answer in await asked(cluster)}

    async with asyncio.timeout(WAIT_S):
        while await statuses() != {503}:
            await asyncio.sleep(0.01)
    ran = sum(len(target.ran) for target in cluster.targets.values())
    answers = await asked(cluster)
    assert all("retry-after" in answer.headers for answer in answers)
    assert sum(len(target.ran) for target in cluster.targets.values()) == ran


@played
async def test_a_part_of_a_split_route_that_is_evacuated_is_refused_and_not_moved(
    cluster: Cluster,
) -> None:
    """The share of a part holds also while it has no room: the other part gets no more calls."""
    await cluster.add("a")
    await cluster.add("b", service="parcels", data_centre="two")
    parts = [{"service": "shop", "weight": 50}, {"service": "parcels", "weight": 50}]
    await cluster.configure(3, [route(weighted_clusters=parts)])
    await cluster.settle(3)
    await cluster.evacuate("two")
    answers: list[Answer] = []
    async with asyncio.timeout(WAIT_S):
        while not any(answer.status == 503 for answer in answers):
            answers = await asked(cluster)
    ran = len(cluster.targets["b"].ran)
    answers = [answer for _ in range(ROUNDS) for answer in await asked(cluster)]
    served = sum(answer.status == 200 for answer in answers)
    assert {answer.status for answer in answers} == {200, 503}
    assert abs(served / len(answers) - 0.5) <= 0.2
    assert len(cluster.targets["b"].ran) == ran


@played
async def test_upstreams_that_are_back_are_cold_until_they_say_otherwise(cluster: Cluster) -> None:
    """No announcement comes between the end of the evacuation and the first calls."""
    await cluster.add("a", service="web")
    await cluster.add("b", data_centre="two")
    await cluster.configure(3, [route()], **COLD)
    await cluster.settle(3)
    await cluster.evacuate("two")

    async def statuses() -> set[int]:
        return {(await cluster.ask("a")).status for _ in range(IN_ROW)}

    async with asyncio.timeout(WAIT_S):
        while await statuses() != {503}:
            await asyncio.sleep(0.01)
    target = cluster.targets["b"]
    target.bears_in_a_second = ALLOWED_IN_A_SECOND
    target.turn_cold(COLD_S)
    await cluster.evacuate("two", b"")
    async with asyncio.timeout(WAIT_S):
        while not target.arrivals:
            await burst(cluster, ["a", "b"])
    for _ in range(3):
        await burst(cluster, ["a", "b"])
    assert target.lives_ended == 0
    assert target.most_in_a_second() <= ALLOWED_IN_A_SECOND


@played
async def test_what_names_no_data_centre_or_cannot_be_read_changes_nothing(
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
