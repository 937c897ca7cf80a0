"""Tests of long messages: decoded as they come, and skipped where there is no room for them.

Guards against a process that holds the bodies of all hosts that send to it at one moment.
"""

from __future__ import annotations

from typing import Any

import pytest

from foldhoist.admission.body_memory import BodyMemory
from foldhoist.daemon.frames import FrameConnection
from foldhoist.delivery.codec import LONG_MESSAGE_BYTES, StreamDecoder, StreamEncoder
from foldhoist.delivery.long_message import NOT_HELD
from foldhoist.exceptions import ProtocolError
from tests.unit.daemon.calls import dispatch_of

MIB = 1024 * 1024


def call(seq: int, size: int) -> Any:
    return {**dispatch_of("POST", repeatable=False, body=b"%d" % (seq % 10) * size), "seq": seq}


def stream(sizes: list[int]) -> bytes:
    encoder = StreamEncoder()
    calls = enumerate(sizes, start=1)
    return b"".join(encoder.encode("Dispatch", call(seq, size)) for seq, size in calls)


SIZES = [10, LONG_MESSAGE_BYTES, 0, LONG_MESSAGE_BYTES + 1, 3 * MIB, 100, 2 * MIB]


@pytest.mark.parametrize("step", [7919, 65536, 262144, 100 * MIB])
def test_messages_of_all_sizes_arrive_whole_and_in_order(step: int) -> None:
    decoder = StreamDecoder(64 * MIB)
    data = stream(SIZES)
    got = [each for at in range(0, len(data), step) for each in decoder.feed(data[at : at + step])]
    assert [(kind, body["seq"], body["body"]) for kind, body in got] == [
        ("Dispatch", seq, call(seq, size)["body"]) for seq, size in enumerate(SIZES, start=1)
    ]


@pytest.mark.parametrize("step", [7919, 65536])
def test_a_message_without_room_is_skipped_and_the_others_arrive(step: int) -> None:
    decoder = StreamDecoder(64 * MIB, admit=lambda kind, size: size < 2 * MIB)
    data = stream(SIZES)
    got = [each for at in range(0, len(data), step) for each in decoder.feed(data[at : at + step])]
    kinds = [NOT_HELD if size >= 2 * MIB else "Dispatch" for size in SIZES]
    assert [kind for kind, _ in got] == kinds
    assert [body["seq"] for _, body in got] == list(range(1, len(SIZES) + 1))
    assert [len(body["body"]) for kind, body in got if kind == NOT_HELD] == [0, 0]


def test_fields_beyond_their_long_message_are_an_error() -> None:
    decoder = StreamDecoder(64 * MIB)
    data = bytearray(stream([MIB]))
    data[5:9] = (2 * MIB).to_bytes(4, "big")
    decoder.feed(bytes(data[:65536]))
    with pytest.raises(ProtocolError):
        decoder.feed(bytes(data[65536:]))


def test_bodies_that_arrive_are_counted_and_released() -> None:
    bodies = BodyMemory(4 * MIB)
    got: list[str] = []
    conns = [
        FrameConnection(
            64 * MIB, lambda conn, kind, body: got.append(kind), lambda conn: None, bodies
        )
        for _ in range(3)
    ]
    data = stream([2 * MIB])
    for conn in conns:
        conn.data_received(data[:65536])
    assert bodies.used == 2 * MIB
    for conn in conns:
        for at in range(65536, len(data), 65536):
            conn.data_received(data[at : at + 65536])
    assert got == ["Dispatch", NOT_HELD, NOT_HELD]
    assert bodies.used == 0


def test_a_lost_connection_releases_what_was_arriving() -> None:
    bodies = BodyMemory(4 * MIB)
    conn = FrameConnection(64 * MIB, lambda *args: None, lambda conn: None, bodies)
    conn.data_received(stream([2 * MIB])[:65536])
    conn.connection_lost(None)
    assert bodies.used == 0
