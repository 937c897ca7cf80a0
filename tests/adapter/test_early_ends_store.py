"""An answer of the store that ends early is a fault, or fewer records, never others.

Guards against a page of which a part is taken for all of it, records that are skipped, and a call
that waits for the rest of a body after its connection was reset.
"""

from __future__ import annotations

import asyncio
import base64
import json
import socket
import struct

import pytest

from foldhoist.configlog.keyed_records import HEADER, pack_record
from foldhoist_adapter.store import LogStore, NewestPage

CONFIG = b'{"version": "00000007"}'
PAGE = json.dumps(
    {
        "items": [
            {"key": "config", "value": base64.b64encode(CONFIG).decode()},
            {"key": "evacuate/one", "value": base64.b64encode(b"{}").decode()},
        ],
        "more": False,
        "end": 5,
    }
).encode()
EVACUATIONS = ("one", "two")
READ_FROM = 5
"""Offset of the first record of the read."""
NEWEST = -1
"""Offset of a client that reads the newest record of each key next, so that it skips none."""
READ = HEADER.pack(READ_FROM + len(EVACUATIONS), 0) + b"".join(
    pack_record(f"evacuate/{name}", b"{}") for name in EVACUATIONS
)


def framed(body: bytes, framing: str) -> bytes:
    """Return an answer with this body."""
    begin = b"HTTP/1.1 200 OK\r\n"
    match framing:
        case "length":
            return begin + b"Content-Length: %d\r\n\r\n" % len(body) + body
        case "chunks":
            chunk = b"%x\r\n" % len(body) + body + b"\r\n0\r\n\r\n"
            return begin + b"Transfer-Encoding: chunked\r\n\r\n" + chunk
    return begin + b"\r\n" + body


class CutStore:
    """Answers each request with the same bytes and ends the connection."""

    def __init__(self, reset: bool) -> None:
        self.data = b""
        self._reset = reset

    async def start(self) -> str:
        """Listen, and return the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.data)
        if self._reset:
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        writer.close()


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("framing", ["length", "chunks", "until closed"])
def test_a_part_of_a_page_is_a_fault(framing: str, reset: bool) -> None:
    async def run() -> None:
        cut_store = CutStore(reset)
        store = LogStore(await cut_store.start(), "daemons")
        data = framed(PAGE, framing)
        for cut in range(len(data) + 1):
            cut_store.data = data[:cut]
            answer = await store.newest()
            if cut < len(data):
                assert answer.is_error(), data[:cut]
                assert "no result within" not in answer.error.what, data[:cut]
                continue
            assert reset or answer.is_ok()
        store.close()
        cut_store.server.close()

    asyncio.run(run())


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("framing", ["length", "chunks", "until closed"])
def test_a_part_of_a_read_skips_no_record(framing: str, reset: bool) -> None:
    async def run() -> None:
        cut_store = CutStore(reset)
        store = LogStore(await cut_store.start(), "daemons")
        data = framed(READ, framing)
        for cut in range(len(data) + 1):
            cut_store.data = data[:cut]
            store._offset = READ_FROM
            answer = await store.poll(10)
            if answer.is_error():
                assert store._offset in (READ_FROM, NEWEST), data[:cut]
                assert "no result within" not in answer.error.what, data[:cut]
                assert reset or cut < len(data)
                continue
            names = tuple(each.data_centre for each in answer.ok.evacuations.records)
            assert names == EVACUATIONS[: len(names)], data[:cut]
            assert store._offset == READ_FROM + len(names), data[:cut]
        store.close()
        cut_store.server.close()

    asyncio.run(run())


def test_the_page_of_these_tests_is_valid() -> None:
    page: NewestPage = json.loads(PAGE)
    assert len(page["items"]) == 2
