"""Invalid heartbeats, records and configurations, and targets restarted under their id."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from foldhoist.configlog.versions import Version
from foldhoist.membership.registration import registration_of, suspect_of
from foldhoist.membership.upstream import LEAVING_SILENT_S
from foldhoist.routing.routes import RouteTable
from foldhoist_adapter.configuration import translate, version_number
from foldhoist_adapter.endpoints import _HEARTBEATS, _announcement
from tests.adapter.cluster import Cluster, call, start_two, until, with_cluster

if TYPE_CHECKING:
    from collections.abc import Iterator

BEAT: dict[str, Any] = {
    "address": "127.0.0.1:80",
    "born": 1_800_000_000_000,
    "info": {"service": "shop", "version": "v1", "zone": "one", "slots": 4},
    "status": {"state": "ready", "sequence": 3, "cold_remaining_s": 0.5},
}
RECORD = ["a", "l1", "127.0.0.1:80", "one", [["i-1", 5]], "shop", [["x", ["l/1", "k/1"], 7]]]
CONFIGURATION: dict[str, Any] = {
    "version": "0000000c",
    "services": [{"name": "shop", "health_path": "/health"}],
    "limits": {"max_body_bytes": 1000, "idle_timeout_s": 15},
    "tenants": [
        {"name": "huka", "api_keys": ["k-1", "k-2"], "priority": 1, "rate_per_s": 5, "burst": 5}
    ],
    "virtual_hosts": [
        {
            "host": "shop.example",
            "route_paths": [
                {
                    "path_prefix": "/a/",
                    "route_type": "safe",
                    "timeout_s": 1.5,
                    "service": "shop",
                    "weighted_clusters": [{"service": "shop", "weight": 50}],
                    "slo_latency_s": 0.5,
                    "priority": 1,
                    "attempts": 2,
                }
            ],
        }
    ],
}
ODD = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from([-1, 2**63, 2**70, -0.5, 1e308, float("nan"), float("inf"), "", "x" * 5000]),
    st.text(max_size=5),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=3), st.integers(), max_size=2),
)
"""Invalid values for any field: other types, numbers out of range, very long texts."""
PLACE = "a place for bytes"
ODD_BYTES = st.sampled_from(
    [
        b"[" * 100_000,
        b'{"a":' * 100_000,
        b"[" * 100_000 + b"]" * 100_000,
        b"9" * 4301,
        b"-" + b"9" * 5000,
        b"9" * 400,
        b"-" + b"9" * 400,
        b"1e400",
        b"-1e400",
        b"NaN",
        b"Infinity",
        b"",
        b'"\xff"',
        b'"\\ud800"',
    ]
)
"""Invalid values that no JSON encoder writes: depth, numbers beyond doubles, half a document."""


def places(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Yield the path of each value in a document, the document itself first."""
    yield path
    match value:
        case dict():
            for key, each in value.items():
                yield from places(each, (*path, key))
        case list():
            for at, each in enumerate(value):
                yield from places(each, (*path, at))


def changed(value: Any, path: tuple[Any, ...], odd: Any, drop: bool) -> Any:
    """Return a copy of a document with the value at a path replaced, or removed if `drop`."""
    if not path:
        return odd
    copy = dict(value) if isinstance(value, dict) else list(value)
    if drop and len(path) == 1:
        del copy[path[0]]
        return copy
    copy[path[0]] = changed(value[path[0]], path[1:], odd, drop)
    return copy


def odd_ones(document: Any) -> st.SearchStrategy[bytes]:
    """Return a strategy of valid documents changed at one path, and of arbitrary bytes."""
    texts = st.builds(
        lambda path, odd, drop: json.dumps(changed(document, path, odd, drop)).encode(),
        st.sampled_from(list(places(document))),
        ODD,
        st.booleans(),
    )
    spelled = st.builds(
        lambda path, odd, field: written(document, path, odd, field),
        st.sampled_from(list(places(document))),
        ODD_BYTES,
        st.booleans(),
    )
    return st.one_of(texts, spelled, st.binary(max_size=40))


def written(document: Any, path: tuple[Any, ...], odd: bytes, field: bool) -> bytes:
    """Return a document with these bytes at a path, or in a further field if it has fields."""
    value: Any = document
    for step in path:
        value = value[step]
    new = {**value, "further": PLACE} if field and isinstance(value, dict) else PLACE
    text = json.dumps(changed(document, path, new, drop=False))
    return text.encode().replace(json.dumps(PLACE).encode(), odd)


def is_whole(value: Any) -> bool:
    return isinstance(value, int) and 0 <= value <= 2**53


@given(odd_ones(BEAT))
def test_a_heartbeat_is_taken_whole_or_refused(body: bytes) -> None:
    try:
        announced = _announcement("i-1", _HEARTBEATS.decode(body))
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError):
        return
    assert announced["state"] in ("ready", "leaving")
    assert 0 < len(announced["service"]) <= 200
    assert 0 < announced["slots"] <= 100_000
    for field in ("sequence", "born_ms", "cold_ms"):
        assert is_whole(announced[field])  # type: ignore[literal-required]


@given(odd_ones(RECORD))
def test_a_record_names_a_daemon_or_none(value: bytes) -> None:
    found = registration_of("a", value)
    if found is None:
        return
    assert found.name == "a"
    assert 0 < int(found.frames.rpartition(":")[2]) < 65536
    assert registration_of("a", found.as_bytes()) == found
    msgspec.msgpack.encode([*found.ended, *(suspect_of(each, 0) for each in found.held)])


@given(odd_ones(CONFIGURATION))
def test_a_configuration_is_taken_whole_or_refused(content: bytes) -> None:
    translated = translate(Version(1, content))
    if translated.is_error():
        return
    msgspec.msgpack.encode(translated.ok)
    assert 0 <= version_number(content) < 2**32
    RouteTable(translated.ok)
    assert all(each["health_path"].isascii() for each in translated.ok["services"].values())
    for name, customer in translated.ok["customers"].items():
        assert name.isascii()
        assert name.isprintable()
        assert 0 <= customer["rate_per_s"] <= 1_000_000
        assert 0 <= customer["burst"] <= 1_000_000


@pytest.mark.parametrize("name", ["i-1%0d%0aX-Evil:%201", "i%201", "i" * 201, "%ff"])
@pytest.mark.parametrize("method", ["PUT", "DELETE"])
def test_an_invalid_instance_name_is_refused(name: str, method: str) -> None:
    @with_cluster
    async def test(cluster: Cluster) -> None:
        await cluster.add("a")
        daemon = cluster.daemons["a"]
        path = f"/foldhoist/instances/{name}"
        body = json.dumps(BEAT).encode() if method == "PUT" else b""
        answer = await call(daemon.addresses["control"], method, path, body=body)
        assert answer.status == 400
        assert daemon.upstream.known.current is not None
        assert daemon.upstream.known.current["instance"] == "i-a"

    test()


@with_cluster
async def test_invalid_heartbeats_do_not_replace_the_upstream(cluster: Cluster) -> None:
    await start_two(cluster)
    daemon = cluster.daemons["a"]
    faults = (
        {"info": {"service": "shop", "slots": "many"}, "status": BEAT["status"]},
        {**BEAT, "born": "yesterday"},
        {**BEAT, "status": {**BEAT["status"], "state": "resting"}},
        {**BEAT, "info": {**BEAT["info"], "service": "bakery"}},
    )
    names = ("info.slots", "born", "status.state", "info.service")
    for fault, name in zip(faults, names, strict=True):
        body = json.dumps(fault).encode()
        address = daemon.addresses["control"]
        answer = await call(address, "PUT", "/foldhoist/instances/i-other", body=body)
        assert answer.status == 400
        assert name in answer.body.decode()
    assert daemon.upstream.count.passed_over == len(faults)
    assert (await cluster.send("a")).status == 200


@pytest.mark.parametrize("method", ["PUT", "DELETE"])
@pytest.mark.parametrize(
    "odd", [b"[" * 20_000, b"9" * 5000, b"1e400", b"-1", b"9" * 30, b"", b'"\xff'], ids=range(7)
)
def test_after_an_odd_heartbeat_the_next_one_is_followed(odd: bytes, method: str) -> None:
    """An odd one is refused as such: 400 and counted, not an error of the daemon."""

    @with_cluster
    async def test(cluster: Cluster) -> None:
        await cluster.add("a")
        daemon = cluster.daemons["a"]
        address = daemon.addresses["control"]
        body = json.dumps(BEAT).encode()[:-1] + b',"further":' + odd + b',"born":' + odd + b"}"
        answer = await call(address, method, "/foldhoist/instances/i-a", body=body)
        assert answer.status == 400
        assert daemon.upstream.count.passed_over == 1
        await cluster.heartbeat("a", slots=7)
        assert daemon.upstream.known.current is not None
        assert daemon.upstream.known.current["slots"] == 7

    test()


@with_cluster
async def test_invalid_records_are_ignored(cluster: Cluster) -> None:
    await start_two(cluster)
    for key, value in (
        ("z", b"\xff\xfe"),
        ("y", b'["x","l","x:1","one"]'),
        ("w", b'["w","l","?"]'),
    ):
        await cluster.log.put("keyed.daemons", key, value)
    await cluster.daemons["a"].stop()
    daemon = await cluster.start_daemon("a")
    await until(lambda: daemon.store.passed_over == 3)
    assert set(daemon.registry.peers) == {"b"}


@with_cluster
async def test_a_target_restarted_under_its_id_serves_again(cluster: Cluster) -> None:
    await start_two(cluster)
    for born, state in ((1000, "ready"), (1000, "draining")):
        await heartbeat(cluster, born, state, sequence=50 + (state == "draining"))
    await until(lambda: state_at_b(cluster) == "leaving")
    await heartbeat(cluster, 9000, "ready", sequence=1)
    await until(lambda: state_at_b(cluster) == "ready")
    cluster.targets["b"].full = True
    assert (await cluster.send("b")).status == 200
    assert cluster.targets["a"].ran


@with_cluster
async def test_a_leaving_is_not_acknowledged_unless_it_is_applied(cluster: Cluster) -> None:
    """Guards against a binding 200 for the leaving of a target whose clock was set back."""
    await start_two(cluster)
    await heartbeat(cluster, 9000, "ready", sequence=50)
    await heartbeat(cluster, 8000, "ready", sequence=1)
    assert await leave(cluster, 8000) == 409
    await heartbeat(cluster, 8000, "draining", sequence=2, status=400)
    assert state_at_b(cluster) == "ready"
    await asyncio.sleep(LEAVING_SILENT_S)
    assert await leave(cluster, 8000) == 200
    await until(lambda: state_at_b(cluster) == "gone")


async def leave(cluster: Cluster, born: int) -> int:
    """Say that target a leaves, and return the status of the answer."""
    address = cluster.daemons["a"].addresses["control"]
    content = json.dumps({"born": born}).encode()
    return (await call(address, "DELETE", "/foldhoist/instances/i-a", body=content)).status


def state_at_b(cluster: Cluster) -> str:
    """Return the state of the upstream of daemon a as daemon b knows it."""
    upstream = cluster.daemons["b"].registry.peers["a"].upstream
    return upstream["state"] if upstream is not None else ""


async def heartbeat(
    cluster: Cluster, born: int, state: str, sequence: int, status: int = 200
) -> None:
    """Send a heartbeat of target a with its start time in milliseconds; it gets this status."""
    current = {"state": state, "sequence": sequence, "cold_remaining_s": 0}
    body = {"info": {"service": "shop", "slots": 4}, "status": current, "born": born}
    address = cluster.daemons["a"].addresses["control"]
    content = json.dumps(body).encode()
    assert (await call(address, "PUT", "/foldhoist/instances/i-a", body=content)).status == status
