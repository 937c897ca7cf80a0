"""Versions reach all daemons while the store serves only some of them."""

from __future__ import annotations

import asyncio

import pytest

from tests.adapter.cluster import Cluster, route

DATA_CENTRES = {"one": ("a", "b", "c"), "two": ("d", "e", "f")}
FAULTS = ("503", "429", "reset", "silent")


async def start(cluster: Cluster) -> None:
    """Start three daemons in each of two data centres."""
    for data_centre, names in DATA_CENTRES.items():
        for name in names:
            await cluster.add(name, data_centre=data_centre)
    await cluster.configure(1, [route()])
    await cluster.settle(1)


def set_fault(cluster: Cluster, fault: str, *names: str) -> None:
    """Set a fault of the store for exactly these hosts."""
    for host, endpoint in cluster.log.endpoints.items():
        endpoint.fault = fault if host in names else ""


@pytest.mark.parametrize("fault", FAULTS)
def test_a_data_centre_without_the_store_gets_versions_from_the_other(fault: str) -> None:
    async def run() -> None:
        async with Cluster() as cluster:
            await start(cluster)
            set_fault(cluster, fault, *DATA_CENTRES["two"])
            await cluster.configure(4, [route("/b/")])
            await cluster.settle(4)
            set_fault(cluster, fault, *DATA_CENTRES["one"])
            await cluster.configure(9, [route("/c/")])
            await cluster.settle(9)
            for name in (*DATA_CENTRES["one"], *DATA_CENTRES["two"]):
                assert (await cluster.send(name, "/c/1")).status == 200
                assert (await cluster.send(name, "/b/1")).status == 404
            set_fault(cluster, "")

    asyncio.run(run())


@pytest.mark.parametrize("fault", FAULTS)
def test_all_get_versions_while_one_host_reaches_the_store(fault: str) -> None:
    """The only host that reaches the store becomes a reader."""

    async def run() -> None:
        async with Cluster() as cluster:
            await start(cluster)
            all_names = (*DATA_CENTRES["one"], *DATA_CENTRES["two"])
            for version, only in enumerate(all_names, 2):
                set_fault(cluster, fault, *(name for name in all_names if name != only))
                await cluster.configure(version, [route(f"/v{version}/")])
                await cluster.settle(version)
            set_fault(cluster, "")

    asyncio.run(run())


@pytest.mark.parametrize("fault", FAULTS)
def test_a_daemon_that_starts_without_the_store_serves_from_its_peers(fault: str) -> None:
    async def run() -> None:
        async with Cluster() as cluster:
            await start(cluster)
            await cluster.daemons["f"].stop()
            set_fault(cluster, fault, "f")
            await cluster.start_daemon("f")
            await cluster.heartbeat("f")
            await cluster.settle(1)
            assert (await cluster.send("f")).status == 200
            assert await cluster.ready("f") == 200
            set_fault(cluster, "")

    asyncio.run(run())
