"""Daemons that connect to only some peers know all others and make few calls to the store.

Guards against restarts that reread or rewrite in the store what is unchanged or known to peers.
"""

from __future__ import annotations

import asyncio

import pytest

from foldhoist.configlog.versions import READERS
from foldhoist.membership import neighbours
from foldhoist.routing.rendezvous import ranked
from tests.adapter.cluster import Cluster, route, until, with_cluster

DATA_CENTRES = ("one", "two", "three")


def all_know_all(cluster: Cluster) -> bool:
    names = set(cluster.daemons)
    return all(
        {*daemon.registry.peers, name} == names
        and daemon.versions.fleet is not None
        and daemon.upstream.announcement()["instance"] != ""
        for name, daemon in cluster.daemons.items()
    )


async def start(cluster: Cluster, each: int) -> None:
    """Start `each` daemons in every data centre."""
    for data_centre in DATA_CENTRES:
        for number in range(each):
            await cluster.add(f"{data_centre}{number}", data_centre=data_centre)
    await cluster.configure(3, [route()])
    await until(lambda: all_know_all(cluster))


@pytest.fixture
def few_links(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(neighbours, "MIN_REMOTE", 1)
    monkeypatch.setattr(neighbours, "MIN_TRACKED", 1)
    monkeypatch.setattr(neighbours, "RELAYS_PER_DATA_CENTRE", 1)


def test_a_new_daemon_is_known_to_all_but_connected_to_some(few_links: None) -> None:
    async def run() -> None:
        async with Cluster() as cluster:
            await start(cluster, 3)
            await cluster.add("two9", data_centre="two")
            await until(lambda: all_know_all(cluster))
            links = [len(daemon.links.connected()) for daemon in cluster.daemons.values()]
            assert max(links) < len(cluster.daemons) - 1
            for name in cluster.daemons:
                assert (await cluster.send(name)).status == 200

    asyncio.run(run())


def test_a_daemon_restarted_without_the_store_learns_from_peers(
    few_links: None,
) -> None:
    async def run() -> None:
        async with Cluster() as cluster:
            await start(cluster, 3)
            await cluster.daemons["one1"].stop()
            cluster.log.endpoint("one1").fault = "silent"
            await cluster.start_daemon("one1")
            await until(lambda: set(cluster.daemons["one1"].registry.peers) >= {"two0", "three2"})
            await until(lambda: cluster.daemons["one1"].versions.version.number == 3)

    asyncio.run(run())


def test_a_restart_makes_one_call_to_the_store() -> None:
    async def run() -> None:
        async with Cluster() as cluster:
            await start(cluster, 4)
            names = [name for name in cluster.daemons if name.startswith("one")]
            name = ranked(names, "readers")[READERS]
            await cluster.daemons[name].stop()
            before = dict(cluster.log.endpoint(name).calls)
            await cluster.start_daemon(name)
            await cluster.heartbeat(name)
            await until(lambda: all_know_all(cluster))
            assert (await cluster.send(name)).status == 200
            after = cluster.log.endpoint(name).calls
            calls = {kind: after[kind] - before.get(kind, 0) for kind in after}
            assert {kind: count for kind, count in calls.items() if count} == {"log-newest": 1}

    asyncio.run(run())


def test_an_outdated_record_is_rewritten() -> None:
    async def run() -> None:
        async with Cluster() as cluster:
            await start(cluster, 2)
            await cluster.daemons["one0"].stop()
            cluster.data_centres["one0"] = "two"
            await cluster.start_daemon("one0")
            await cluster.heartbeat("one0")
            records = cluster.log.topic("keyed.daemons").newest
            await until(lambda: b'"two"' in records["one0"][0])

    asyncio.run(run())


def test_an_unwanted_idle_link_is_closed(monkeypatch: pytest.MonkeyPatch, few_links: None) -> None:
    monkeypatch.setattr("foldhoist.daemon.links.UNWANTED_CLOSE_S", 0.0)

    async def run() -> None:
        async with Cluster() as cluster:
            await start(cluster, 2)
            daemon = cluster.daemons["one0"]
            extra = next(n for n in daemon.registry.peers if n not in daemon.registry.wanted(0.0))
            daemon.links.connect([extra])
            await until(lambda: daemon.links.is_up(extra))
            await until(lambda: not daemon.links.is_up(extra))
            assert extra in daemon.registry.peers

    asyncio.run(run())


def test_a_configuration_reaches_a_data_centre_without_the_store(few_links: None) -> None:
    """It also reaches a daemon that restarts there."""

    async def run() -> None:
        async with Cluster() as cluster:
            await start(cluster, 3)
            unreachable = [name for name in cluster.daemons if name.startswith("one")]
            for name in unreachable:
                cluster.log.endpoint(name).fault = "503"
            await cluster.configure(4, [route()])
            await wait_version(cluster, 4)
            await cluster.daemons[unreachable[0]].stop()
            await cluster.start_daemon(unreachable[0])
            await wait_version(cluster, 4)

    asyncio.run(run())


def test_a_leaving_is_reported_to_ingresses_of_other_data_centres(few_links: None) -> None:
    async def run() -> None:
        async with Cluster() as cluster:
            await start(cluster, 3)
            daemons = cluster.daemons
            name, ingress = next(
                (name, other)
                for other, daemon in daemons.items()
                for name in daemon.registry.wanted(0.0)
                if cluster.data_centres[name] != cluster.data_centres[other]
            )
            await until(lambda: daemons[ingress].links.is_up(name))
            await cluster.leave(name)
            peer = daemons[ingress].registry.peers[name]
            await until(lambda: peer.upstream is not None and peer.upstream["state"] == "gone")

    asyncio.run(run())


async def wait_version(cluster: Cluster, version: int) -> None:
    daemons = cluster.daemons.values()
    await until(lambda: all(daemon.versions.version.number == version for daemon in daemons))


@with_cluster
async def test_a_report_that_is_lost_with_its_connection_is_sent_again(cluster: Cluster) -> None:
    """A daemon did not learn of an upstream whose report was lost when a connection ended."""
    await cluster.add("a", service="web", data_centre="one")
    await cluster.add("b", data_centre="two")
    await cluster.add("c", service="web", data_centre="two")
    await cluster.configure(1, [route()])
    await cluster.settle(1)
    owner_task = cluster.daemons["b"].owner_task
    (link,) = [number for number, name in owner_task.ingresses() if name == "a"]
    conn = owner_task._conns[link]
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(conn, "send", lambda kind, body: True)
        await cluster.heartbeat("b", slots=7)
        conn.close()
        peer = cluster.daemons["a"].registry.peers["b"]
        await until(lambda: peer.upstream is not None and peer.upstream["slots"] == 7)
