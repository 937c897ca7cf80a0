"""Tests of the codec: round trips, pieces, and bytes that are no message."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from foldhoist.delivery.codec import (
    DEFLATED,
    HEADER,
    MEMORY_LEVEL,
    WINDOW_BITS,
    StreamDecoder,
    StreamEncoder,
    decode_frame,
    encode,
)
from foldhoist.exceptions import ProtocolError
from tests.unit.daemon.calls import dispatch_of

HELLO = {"name": "a", "incarnation": "i", "epoch": 1, "schema": 1}


def test_a_message_comes_back() -> None:
    assert decode_frame(encode("Hello", HELLO)) == ("Hello", HELLO)


@given(st.lists(st.integers(1, 40), max_size=30))
def test_messages_in_any_pieces_come_whole_and_in_order(cuts: list[int]) -> None:
    sent = [{"seq": number} for number in range(6)]
    data = b"".join(encode("Withdraw", body) for body in sent)
    decoder = StreamDecoder(1000)
    got = []
    at = 0
    for cut in [*cuts, len(data)]:
        got += decoder.feed(data[at : at + cut])
        at += cut
    assert [body for _, body in got] == sent


@given(st.lists(st.integers(1, 40), max_size=30))
def test_packed_messages_come_whole_and_in_order_with_their_bodies(cuts: list[int]) -> None:
    sent = [dispatch_of("PUT", [[b"Host", b"x"]], body=b"b" * number) for number in range(6)]
    encoder = StreamEncoder()
    data = b"".join(encoder.encode("Dispatch", body) for body in sent)
    decoder = StreamDecoder(1000)
    got = []
    at = 0
    for cut in [*cuts, len(data)]:
        got += decoder.feed(data[at : at + cut])
        at += cut
    assert [body for _, body in got] == sent


def test_what_is_the_same_in_every_message_is_written_once() -> None:
    encoder = StreamEncoder()
    req = dispatch_of("GET", [[b"User-Agent", b"sdk-client/1.9.3"], [b"Accept", b"*/*"]])
    first, later = (len(encoder.encode("Dispatch", {**req, "seq": seq})) for seq in (1, 2))
    assert later < first / 5


def test_the_state_of_a_connection_is_small() -> None:
    """194 connections in both directions held 14.9 MB with 4 KiB windows and twice the memory."""
    deflater = 2 ** (-WINDOW_BITS + 2) + 2 ** (MEMORY_LEVEL + 9)
    inflater = 2**-WINDOW_BITS
    assert deflater + inflater <= 8192 + 1024


@pytest.mark.parametrize("fields", [b"", b"\0\0\0\x09ab", b"\0\0\0\2\xff\xff", b"\0\0\0\0"])
def test_packed_fields_that_are_none_are_a_protocol_error(fields: bytes) -> None:
    with pytest.raises(ProtocolError):
        StreamDecoder(1000).feed(HEADER.pack(len(fields), 2 | DEFLATED) + fields)


@pytest.mark.parametrize(
    "frame",
    [
        b"",
        HEADER.pack(0, 99),
        HEADER.pack(1, 1) + b"\xff",
        encode("Hello", HELLO)[:-1],
        encode("Hello", {**HELLO, "epoch": "one"}),
        encode("Hello", {"name": "a"}),
    ],
)
def test_what_is_no_message_is_a_protocol_error(frame: bytes) -> None:
    with pytest.raises(ProtocolError):
        decode_frame(frame)


def test_a_message_above_the_limit_is_refused_before_it_is_kept() -> None:
    with pytest.raises(ProtocolError):
        StreamDecoder(10).feed(HEADER.pack(11, 1))


@settings(max_examples=500, derandomize=True)
@given(st.binary(max_size=300))
def test_no_bytes_do_more_than_a_protocol_error(data: bytes) -> None:
    decoder = StreamDecoder(200)
    try:
        for kind, body in decoder.feed(data):
            assert isinstance(kind, str)
            assert isinstance(body, dict)
    except ProtocolError:
        return
