"""The store turns some hosts away and serves the others: versions still reach everybody."""

from __future__ import annotations

import asyncio

import pytest

from tests.adapter.cluster import Cluster, route

CENTRES = {"one": ("a", "b", "c"), "two": ("d", "e", "f")}
FAULTS = ("503", "429", "reset", "silent")


async def start(cluster: Cluster) -> None:
    """Start three daemons in each of two data centres."""
    for centre, names in CENTRES.items():
        for name in names:
            await cluster.add(name, data_centre=centre)
    await cluster.configure(1, [route()])
    await cluster.settle(1)


def turn_away(cluster: Cluster, fault: str, *names: str) -> None:
    """Let the store turn away just these hosts."""
    for host, door in cluster.log.doors.items():
        door.fault = fault if host in names else ""


@pytest.mark.parametrize("fault", FAULTS)
def test_a_data_centre_that_is_turned_away_gets_versions_from_the_other(fault: str) -> None:
    async def run() -> None:
        async with Cluster() as cluster:
            await start(cluster)
            turn_away(cluster, fault, *CENTRES["two"])
            await cluster.configure(4, [route("/b/")])
            await cluster.settle(4)
            turn_away(cluster, fault, *CENTRES["one"])
            await cluster.configure(9, [route("/c/")])
            await cluster.settle(9)
            for name in (*CENTRES["one"], *CENTRES["two"]):
                assert (await cluster.ask(name, "/c/1")).status == 200
                assert (await cluster.ask(name, "/b/1")).status == 404
            turn_away(cluster, "")

    asyncio.run(run())


@pytest.mark.parametrize("fault", FAULTS)
def test_with_one_host_left_at_the_store_all_get_its_versions(fault: str) -> None:
    """Whoever the store answers last steps in, whether it was a reader before or not."""

    async def run() -> None:
        async with Cluster() as cluster:
            await start(cluster)
            everybody = (*CENTRES["one"], *CENTRES["two"])
            for version, only in enumerate(everybody, 2):
                turn_away(cluster, fault, *(name for name in everybody if name != only))
                await cluster.configure(version, [route(f"/v{version}/")])
                await cluster.settle(version)
            turn_away(cluster, "")

    asyncio.run(run())


@pytest.mark.parametrize("fault", FAULTS)
def test_a_daemon_that_starts_turned_away_serves_by_what_peers_tell_it(fault: str) -> None:
    async def run() -> None:
        async with Cluster() as cluster:
            await start(cluster)
            await cluster.daemons["f"].stop()
            turn_away(cluster, fault, "f")
            await cluster.start_daemon("f")
            await cluster.beat("f")
            await cluster.settle(1)
            assert (await cluster.ask("f")).status == 200
            assert await cluster.ready("f") == 200
            turn_away(cluster, "")

    asyncio.run(run())
