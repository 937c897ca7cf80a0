"""Tests of the store client: configurations, registrations and failures of the store."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING
from unittest.mock import patch

from foldhoist.configlog.versions import Version
from foldhoist.daemon import waits
from foldhoist.membership.incarnations import UpstreamIncarnation
from foldhoist.membership.registration import Registration
from foldhoist_adapter.configuration import translate
from foldhoist_adapter.store import LogStore
from tests.adapter.cluster import route
from tests.adapter.keyed_log import KeyedLog

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

BODY = {"services": [{"name": "shop"}], "virtual_hosts": []}


def content(version: int) -> bytes:
    return json.dumps({**BODY, "version": f"{version:08x}"}).encode()


def stored(test: Callable[[KeyedLog, LogStore], Awaitable[None]]) -> Callable[[], None]:
    """Return a test that runs `test` with a new store and a client of it."""

    async def run() -> None:
        log = KeyedLog()
        client = LogStore(log.address, "daemons")
        try:
            await test(log, client)
        finally:
            client.close()
            log.close()

    def wrapped() -> None:
        asyncio.run(run())

    wrapped.__name__ = test.__name__
    return wrapped


@stored
async def test_newest_version_is_read_first_and_then_only_later_ones(
    log: KeyedLog, client: LogStore
) -> None:
    assert (await client.newest()).ok.version is None
    await log.put("keyed.op", "config", content(0x1F))
    assert (await client.poll(2000)).ok.version == Version(0x1F, content(0x1F))
    assert (await client.poll(10)).ok.version is None
    await log.put("keyed.op", "config", content(0x20))
    await log.put("keyed.op", "other", b"x")
    await log.put("keyed.op", "config", content(0x30))
    assert (await client.poll(2000)).ok.version == Version(0x30, content(0x30))


@stored
async def test_configuration_without_a_version_is_ignored(log: KeyedLog, client: LogStore) -> None:
    await client.newest()
    await log.put("keyed.op", "config", content(5))
    await log.put("keyed.op", "config", b"{}")
    await log.put("keyed.op", "config", b"\xff")
    assert (await client.poll(2000)).ok.version == Version(5, content(5))


@stored
async def test_newest_version_is_read_if_older_records_have_expired(
    log: KeyedLog, client: LogStore
) -> None:
    await client.newest()
    await log.put("keyed.op", "config", content(7))
    log.forget("keyed.op")
    assert (await client.poll(2000)).ok.version == Version(7, content(7))
    await log.put("keyed.op", "config", content(8))
    assert (await client.poll(2000)).ok.version == Version(8, content(8))


@stored
async def test_fault_says_whether_the_store_may_have_been_changed(
    log: KeyedLog, client: LogStore
) -> None:
    mine = Registration("a", "life", "a:1", "one", (UpstreamIncarnation("i-1", 5),))
    log.down = True
    refused = await client.register(mine)
    assert refused.is_error()
    assert not refused.error.sent
    log.down = False
    log.lose_answers = 1
    lost = await client.register(mine)
    assert lost.is_error()
    assert lost.error.sent
    assert (await client.registrations()).ok == [mine]


@stored
async def test_answer_that_arrives_while_the_process_is_paused_counts(
    log: KeyedLog, client: LogStore
) -> None:
    await log.put("keyed.op", "config", content(7))
    asyncio.get_running_loop().call_later(0.001, time.sleep, 0.5)
    with patch.object(waits, "GRACE_S", 60.0):
        assert (await client.newest(0.2)).ok.version == Version(7, content(7))


@stored
async def test_invalid_registrations_are_ignored(log: KeyedLog, client: LogStore) -> None:
    await log.put("keyed.daemons", "old", b'{"name":"old"}')
    await log.put("keyed.daemons", "junk", b"\x00")
    mine = Registration("a", "life", "a:1", "one")
    await client.register(mine)
    await client.register(mine._replace(frames="a:2"))
    assert (await client.registrations()).ok == [mine._replace(frames="a:2")]


def translation_error(**fields: object) -> str:
    body = {**BODY, "version": "1", **fields}
    found = translate(Version(1, json.dumps(body).encode()))
    return found.error if found.is_error() else ""


def test_invalid_route_rejects_the_whole_configuration() -> None:
    good = {"host": "x", "route_paths": [route()]}
    assert translation_error(virtual_hosts=[good]) == ""
    for bad in (
        {"host": "x"},
        {"host": "x", "route_paths": [{"path_prefix": "/a/"}]},
        {"host": "x", "route_paths": [route(service="")]},
        {"host": "x", "route_paths": [route(timeout_s="soon")]},
    ):
        assert "is no configuration" in translation_error(virtual_hosts=[good, bad])


def test_unknown_fields_are_ignored() -> None:
    found = translate(Version(1, content(1)[:-1] + b', "new": {"x": 1}}'))
    assert found.is_ok()
    assert list(found.ok["services"]) == ["shop"]
