"""Odd entries in the store: the next good one is followed, by running daemons and by new ones."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import pytest

from tests.adapter.cluster import Cluster, route, start_two, until, with_cluster
from tests.adapter.keyed_log import framed

if TYPE_CHECKING:
    from foldhoist.daemon.mesh import MeshDaemon

DEEP = b"[" * 100_000
"""Nested more deeply than a decoder follows."""
LONG_NUMBER = b"9" * 5000
"""More digits than Python converts."""
PLAIN = b'{"version":"00000004","services":[{"name":"shop"}],"virtual_hosts":[]'
ODD_CONFIGURATIONS = {
    "deep in an unknown field": PLAIN + b',"new":' + DEEP,
    "deep in a known field": PLAIN + b',"tenants":' + DEEP,
    "long number": PLAIN + b',"limits":{"max_body_bytes":' + LONG_NUMBER + b"}}",
    "beyond doubles": PLAIN + b',"limits":{"idle_timeout_s":1e400}}',
    "half of one": PLAIN,
    "no UTF-8": PLAIN + b',"limits":{"\xff":1}}\xff',
    "long version": PLAIN.replace(b"00000004", b"f" * 20) + b"}",
    "negative version": PLAIN.replace(b"00000004", b"-4") + b"}",
    "spaced version": PLAIN.replace(b"00000004", b" 4_0 ") + b"}",
}
ODD_FRAMES = {
    "empty": framed(b""),
    "key beyond the record": framed(b"\xf0config{}"),
    "key that is no UTF-8": framed(b"\x02\xff\xfe{}"),
    "half a record": framed(b"\x06config{}")[:-3],
    "half a length": b"\x00\x00",
    "length beyond the answer": b"\xff\xff\xff\xff\x06config{}",
}
ODD_REGISTRATIONS = {
    "deep": DEEP,
    "deep in a field": b'["z","l","127.0.0.1:9","one",' + DEEP,
    "deep in a further field": b'["z","l","127.0.0.1:9","one",[],"shop",[],' + DEEP,
    "long number": b'["z","l","127.0.0.1:9","one",[["i",' + LONG_NUMBER + b']],"shop"]',
    "number beyond 64 bits": b'["z","l","127.0.0.1:9","one",[["i",' + b"9" * 30 + b']],"shop"]',
    "time below 0": b'["z","l","127.0.0.1:9","one",[],"shop",[["k",["c/1"],-' + b"9" * 400 + b"]]]",
    "port out of range": b'["z","l","127.0.0.1:00000199999","one",[],"shop"]',
    "port 0": b'["z","l","127.0.0.1:0","one",[],"shop"]',
    "long label": b'["z","l","' + b"x" * 70 + b':9","one",[],"shop"]',
    "host with NUL": b'["z","l","127.0.0.1\\u0000:9","one",[],"shop"]',
    "half": b'["z","l","127.0.0.1:9"',
}


def odd_route(**fields: Any) -> dict[str, Any]:
    return route(**{"timeout_s": 5, **fields})


ODD_ROUTES = {
    "time beyond doubles in milliseconds": odd_route(timeout_s=1e308),
    "large rank": odd_route(priority=1e300),
    "large attempts": odd_route(attempts=1e300),
    "weight below 0": odd_route(weighted_clusters=[{"service": "shop", "weight": -1}]),
    "service with a colon": odd_route(weighted_clusters=[{"service": "shop:1", "weight": 1}]),
    "two services in one": odd_route(weighted_clusters=[{"service": "x:1,shop", "weight": 1}]),
}


async def follows_after(cluster: Cluster, version: int) -> None:
    """Wait until the next configuration, and one after a start, is in force on all daemons."""
    await cluster.configure(version, [route()])
    await cluster.settle(version)
    assert (await cluster.send("a")).status == 200


async def reads_go_on(cluster: Cluster) -> None:
    """Wait until the operator's topic was read twice more: what it holds was read."""
    before = reads(cluster)
    await until(lambda: reads(cluster) >= before + 2)


def reads(cluster: Cluster) -> int:
    return sum(daemon.versions.count.store_reads for daemon in cluster.daemons.values())


async def restart(cluster: Cluster) -> MeshDaemon:
    """Stop daemon a and start it again, beside the same target."""
    await cluster.daemons["a"].stop()
    daemon = await cluster.start_daemon("a")
    await cluster.heartbeat("a")
    return daemon


async def check_operator_topic(cluster: Cluster, put: Any) -> None:
    """Check that daemons that run and that start follow what comes after `put()`."""
    await start_two(cluster)
    await put()
    await reads_go_on(cluster)
    await follows_after(cluster, 9)
    await put()
    await cluster.add("c")
    await restart(cluster)
    await follows_after(cluster, 12)


@pytest.mark.parametrize("kind", ODD_CONFIGURATIONS)
def test_after_an_odd_configuration_the_next_is_followed(kind: str) -> None:
    @with_cluster
    async def test(cluster: Cluster) -> None:
        value = ODD_CONFIGURATIONS[kind]
        await check_operator_topic(cluster, lambda: cluster.log.put("keyed.op", "config", value))

    test()


@pytest.mark.parametrize("kind", ODD_ROUTES)
def test_after_a_configuration_with_an_odd_route_the_next_is_followed(kind: str) -> None:
    @with_cluster
    async def test(cluster: Cluster) -> None:
        version = iter((4, 10))

        async def put() -> None:
            await cluster.configure(next(version), [ODD_ROUTES[kind]])

        await check_operator_topic(cluster, put)

    test()


@pytest.mark.parametrize("path", ["/\u65e5", "/a b", "/a\r\nX: y", "health"])
def test_after_an_odd_health_path_the_next_configuration_is_followed(path: str) -> None:
    @with_cluster
    async def test(cluster: Cluster) -> None:
        version = iter((4, 10))

        async def put() -> None:
            await cluster.configure(next(version), [route()], health_path=path)

        await check_operator_topic(cluster, put)
        assert all(d.owner_task.sampler.path == "/health" for d in cluster.daemons.values())

    test()


@pytest.mark.parametrize("kind", ODD_FRAMES)
def test_after_an_odd_record_of_the_operator_the_next_is_followed(kind: str) -> None:
    @with_cluster
    async def test(cluster: Cluster) -> None:
        frame = ODD_FRAMES[kind]
        await check_operator_topic(cluster, lambda: cluster.log.put_frame("keyed.op", frame))

    test()


def test_an_odd_evacuation_costs_only_itself() -> None:
    """The good one beside it is applied, and the next configuration is followed."""

    @with_cluster
    async def test(cluster: Cluster) -> None:
        async def put() -> None:
            for value in (DEEP, b'{"a":' + DEEP, b'{"a":' + LONG_NUMBER + b"}", b'{"a"', b"\xff"):
                await cluster.evacuate("one", value)
            await cluster.evacuate("two")

        await check_operator_topic(cluster, put)
        for daemon in cluster.daemons.values():
            assert daemon.versions.evacuations.data_centres == {"two"}

    test()


@pytest.mark.parametrize("kind", ODD_REGISTRATIONS)
def test_after_an_odd_registration_daemons_start_and_find_each_other(kind: str) -> None:
    @with_cluster
    async def test(cluster: Cluster) -> None:
        await start_two(cluster)
        for name in ("z", "0"):
            value = ODD_REGISTRATIONS[kind].replace(b'"z"', json.dumps(name).encode())
            await cluster.log.put("keyed.daemons", name, value)
        await cluster.add("c")
        daemon = await restart(cluster)
        await cluster.settle(3)
        assert set(daemon.registry.peers) == {"b", "c"}
        assert daemon.counters()["store"]["passed_over"] >= 2
        await follows_after(cluster, 5)

    test()


@pytest.mark.parametrize("kind", ["deep", "half"])
def test_a_daemon_whose_own_record_is_odd_starts_and_writes_it_anew(kind: str) -> None:
    @with_cluster
    async def test(cluster: Cluster) -> None:
        await start_two(cluster)
        await cluster.daemons["a"].stop()
        await cluster.log.put("keyed.daemons", "a", ODD_REGISTRATIONS[kind])
        daemon = await cluster.start_daemon("a")
        await cluster.heartbeat("a")
        await cluster.settle(3)
        topic = cluster.log.topic("keyed.daemons")
        await until(lambda: daemon.incarnation.encode() in topic.newest["a"][0])

    test()


@pytest.mark.parametrize("key", ["a&part=7", "a b", "a#b", "%41", "\u00e9"])
def test_a_page_that_ends_with_an_odd_key_is_followed_by_the_next(key: str) -> None:
    @with_cluster
    async def test(cluster: Cluster) -> None:
        cluster.log.page_items = 1
        await cluster.log.put("keyed.daemons", key, b'"odd"')
        await cluster.log.put("keyed.daemons", "\u00ff", b'"odd"')
        await start_two(cluster)
        daemon = cluster.daemons["b"]
        await until(lambda: daemon.store.passed_over >= 2)
        assert set(daemon.registry.peers) == {"a"}

    test()


ODD_ADDRESSES = [
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:99999999999",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:x",
    "127.0.0.1",
    "",
    "x" * 70 + ":9",
    "127.0.0.1\x00:9",
    "256.1.1.1:9",
]


@pytest.mark.parametrize("spread", [True, False])
def test_an_odd_address_in_a_roster_costs_only_its_row(spread: bool) -> None:
    """The row beside it is followed; no link is opened to it, and no peer hears of it."""

    @with_cluster
    async def test(cluster: Cluster) -> None:
        await start_two(cluster)
        rows: list[dict[str, str]] = [
            row_of(f"z{number}", frames) for number, frames in enumerate(ODD_ADDRESSES)
        ]
        rows.append(row_of("good", "127.0.0.1:1"))
        sent = {"rows": rows, "spread": spread, "wanted": False}
        assert cluster.daemons["b"].links.send("a", "Roster", sent)
        daemon = cluster.daemons["a"]
        await until(lambda: "good" in daemon.registry.peers)
        assert set(daemon.registry.peers) == {"b", "good"}
        assert daemon.counters()["peers"]["passed_over"] == len(ODD_ADDRESSES)
        await cluster.add("c")
        await cluster.settle(3)
        assert set(cluster.daemons["c"].registry.peers) <= {"a", "b", "good"}
        await follows_after(cluster, 5)

    test()


@pytest.mark.parametrize("frames", ODD_ADDRESSES)
def test_an_odd_address_in_a_report_leaves_the_link_to_the_peer(frames: str) -> None:
    @with_cluster
    async def test(cluster: Cluster) -> None:
        await start_two(cluster)
        a, b = cluster.daemons["a"], cluster.daemons["b"]
        assert b.links.send("a", "Member", {**b.describe(), "frames": frames})
        assert b.links.send("a", "Roster", {"rows": [row_of("good", "127.0.0.1:1")], **QUIET})
        await until(lambda: "good" in a.registry.peers)
        assert a.registry.peers["b"].frames == b.addresses["frames"]
        assert a.counters()["peers"]["passed_over"] == 1
        cluster.targets["a"].full = True
        assert (await cluster.send("a")).status == 200
        assert cluster.targets["b"].ran

    test()


QUIET = {"spread": False, "wanted": False}


def row_of(name: str, frames: str) -> dict[str, str]:
    return {
        "name": name,
        "incarnation": "l1",
        "frames": frames,
        "data_centre": "one",
        "service": "shop",
    }


@pytest.mark.parametrize("pace", ["999999999999", "9" * 5000, "-5", "nan", "1e400", "x", ""])
def test_an_upstream_with_an_odd_pace_goes_on_getting_calls(pace: str) -> None:
    @with_cluster
    async def test(cluster: Cluster) -> None:
        await cluster.add("a")
        await cluster.configure(3, [route()])
        await cluster.settle(3)
        target = cluster.targets["a"]
        target.pace = f"{pace}\r\nX-Cold-Ms: 999999999999"
        for _ in range(6):
            answer = await cluster.send("a", headers={"X-Deadline-Ms": "5000"})
            assert answer.status == 200
            await asyncio.sleep(0.1)

    test()


@pytest.mark.parametrize("digits", [20, 4300, 5000])
def test_a_long_number_in_keep_alive_leaves_the_call_its_answer(digits: int) -> None:
    @with_cluster
    async def test(cluster: Cluster) -> None:
        await cluster.add("a")
        await cluster.configure(3, [route()])
        await cluster.settle(3)
        cluster.targets["a"].pace = f"100\r\nKeep-Alive: timeout={'9' * digits}"
        answer = await cluster.send("a", headers={"X-Deadline-Ms": "5000"})
        assert (answer.status, len(cluster.targets["a"].ran)) == (200, 1)

    test()
