"""Odd records and answers of the log: each costs itself, and no exception leaves the client."""

from __future__ import annotations

import asyncio
import base64
from typing import Any

import msgspec
import pytest

from foldhoist.configlog.fold import PublishRecord, SnapshotRecord
from foldhoist.logservice.client import PlatformClient, StoredRecord, unpack
from foldhoist.logservice.state import read_retained
from tests.unit.daemon.odd_server import ODD_ANSWERS, OddServer, whole

DEEP = b"[" * 100_000
LARGE = b"9" * 30
PUBLISH = {"publish_id": "p", "base": 0, "base_digest": "", "digest": "d", "content": "c"}
SNAPSHOT: dict[str, Any] = {
    "generation": 3,
    "digest": "d",
    "content": "c",
    "folded": 2,
    "exact": True,
    "outcomes": [],
}


def stored(data: bytes) -> StoredRecord:
    return {"offset": 1, "data": data}


def with_field(body: dict[str, Any], name: str, value: bytes) -> bytes:
    rest = msgspec.json.encode({key: each for key, each in body.items() if key != name})
    return rest[:-1] + b',"%b":%b}' % (name.encode(), value)


@pytest.mark.parametrize("value", [DEEP, b"9" * 5000, b"1e400", b"-1", b"9" * 30, b"[", b'"\xff"'])
@pytest.mark.parametrize("name", ["generation", "folded"])
def test_an_odd_snapshot_is_none(name: str, value: bytes) -> None:
    """A number that no message can carry would end the task that tells peers of it."""
    assert unpack(stored(b"keep " + with_field(SNAPSHOT, name, value))) is None


@pytest.mark.parametrize("kind", [b"publish ", b"keep "])
@pytest.mark.parametrize("rest", [DEEP, b'{"new":' + DEEP, b"", b"{", b"\xff", b"9" * 5000])
def test_an_odd_record_is_none(kind: bytes, rest: bytes) -> None:
    assert unpack(stored(kind + rest)) is None


def test_deep_values_in_further_fields_are_none_and_good_ones_are_read() -> None:
    assert unpack(stored(b"publish " + with_field(PUBLISH, "new", DEEP))) is None
    assert isinstance(unpack(stored(b"publish " + msgspec.json.encode(PUBLISH))), PublishRecord)
    assert isinstance(unpack(stored(b"keep " + msgspec.json.encode(SNAPSHOT))), SnapshotRecord)


BODIES = {
    "deep": whole(DEEP),
    "deep in a further field": whole(b'{"new":' + DEEP),
    "empty": whole(b""),
    "other fields": whole(b"{}"),
    "null": whole(b"null"),
    "offset of no number": whole(b'{"offset":"x","oldest":"x"}'),
    "large offset": whole(
        b'{"offset":%b,"oldest":0,"next":%b,"records":[]}' % (b"9" * 30, b"9" * 30)
    ),
}


@pytest.mark.parametrize("answer", (ODD_ANSWERS | BODIES).values(), ids=ODD_ANSWERS | BODIES)
def test_an_odd_answer_is_an_error(answer: bytes) -> None:
    async def run() -> None:
        async with OddServer(answer) as server:
            client = PlatformClient(server.address, "s", server.address)
            assert (await client.append(b"x")).is_error()
            assert (await client.read(0)).is_error()
            assert (await client.host_state("a")).is_error()
            client.close()

    asyncio.run(run())


def test_good_records_beside_an_odd_one_are_read() -> None:
    data = [b"keep " + DEEP, b"publish " + msgspec.json.encode(PUBLISH), b"odd"]
    records = [
        {"offset": at, "data": base64.b64encode(each).decode()} for at, each in enumerate(data)
    ]
    page = whole(msgspec.json.encode({"oldest": 0, "next": 3, "records": records}))
    end = whole(msgspec.json.encode({"oldest": 0, "next": 3, "records": []}))

    async def run() -> None:
        async with OddServer(page) as server:
            client = PlatformClient(server.address, "s")
            first = (await client.read(0)).ok
            assert [unpack(each) is not None for each in first["records"]] == [False, True, False]
            server.answer = end
            assert (await read_retained(client)).ok.end == 0
            client.close()

    asyncio.run(run())
