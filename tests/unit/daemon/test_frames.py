"""Tests of frame connections: invalid data, another schema version, a peer that does not read."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from bench.stages import FakeTransport, default_settings
from foldhoist.admission.slots import QueueLimits
from foldhoist.daemon.frames import FrameConnection
from foldhoist.daemon.owner_task import OwnerTask
from foldhoist.delivery.codec import SCHEMA_VERSION, StreamDecoder, encode
from foldhoist.delivery.owner import Owner

HELLO = {"name": "in", "incarnation": "i", "epoch": 1, "schema": SCHEMA_VERSION}


class Transport(FakeTransport):
    """Records whether the connection was aborted."""

    aborted = False

    def abort(self) -> None:
        self.aborted = True


class Accepted:
    """A connection that an owner has accepted."""

    def __init__(self) -> None:
        own: Any = {**HELLO, "name": "depo-1"}
        owner = Owner("depo-1", "depo", QueueLimits(2, 2, 0, 1), 600.0)
        task = OwnerTask(owner, default_settings(), own, lambda *args: None, lambda hop: None)
        self.owner = owner
        self.transport = Transport()
        self.conn = task.connection()
        self.conn.connection_made(self.transport)

    def send(self, kind: str, body: object) -> list[tuple[str, Any]]:
        self.conn.data_received(encode(kind, body))
        return StreamDecoder(1 << 20).feed(self.transport.take())


def on_loop(run: Any) -> None:
    async def inside() -> None:
        run(Accepted())

    asyncio.run(inside())


def test_a_hello_is_answered_with_a_hello_and_a_load_report() -> None:
    def run(accepted: Accepted) -> None:
        assert [kind for kind, _ in accepted.send("Hello", HELLO)] == ["Hello", "Report"]
        assert not accepted.transport.aborted

    on_loop(run)


def test_a_peer_of_another_schema_version_gets_a_hello_and_is_disconnected() -> None:
    def run(accepted: Accepted) -> None:
        other = {**HELLO, "schema": SCHEMA_VERSION + 1}
        ((kind, body),) = accepted.send("Hello", other)
        assert (kind, body["schema"]) == ("Hello", SCHEMA_VERSION)
        assert accepted.transport.aborted

    on_loop(run)


def test_a_peer_that_sends_no_hello_is_disconnected() -> None:
    def run(accepted: Accepted) -> None:
        assert accepted.send("Withdraw", {"seq": 1}) == []
        assert accepted.transport.aborted

    on_loop(run)


@pytest.mark.parametrize("data", [b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 40, b"\0" * 10])
def test_invalid_data_closes_the_connection(data: bytes) -> None:
    def run(accepted: Accepted) -> None:
        accepted.conn.data_received(data)
        assert accepted.transport.aborted
        assert accepted.conn.faults == 1

    on_loop(run)


def test_a_peer_that_does_not_read_is_disconnected() -> None:
    conn = FrameConnection(100, lambda *args: None, lambda conn: None)
    transport = Transport()
    conn.connection_made(transport)
    conn.pause_writing()
    assert transport.aborted
