"""Tests of the codec: round trips, partial input, and invalid bytes."""

from __future__ import annotations

import tracemalloc
import zlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from foldhoist.delivery.codec import (
    DEFLATED,
    DEFLATED_HEADER,
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


def test_encoding_round_trip() -> None:
    assert decode_frame(encode("Hello", HELLO)) == ("Hello", HELLO)


@given(st.lists(st.integers(1, 40), max_size=30))
def test_messages_split_at_any_byte_decode_in_order(cuts: list[int]) -> None:
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
def test_deflated_messages_split_at_any_byte_decode_in_order_with_bodies(cuts: list[int]) -> None:
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


def test_repeated_fields_compress() -> None:
    encoder = StreamEncoder()
    req = dispatch_of("GET", [[b"User-Agent", b"sdk-client/1.9.3"], [b"Accept", b"*/*"]])
    first, later = (len(encoder.encode("Dispatch", {**req, "seq": seq})) for seq in (1, 2))
    assert later < first / 5


def test_compression_state_of_a_connection_is_bounded() -> None:
    """Guards against zlib settings that take too much memory with hundreds of connections."""
    deflater = 2 ** (-WINDOW_BITS + 2) + 2 ** (MEMORY_LEVEL + 9)
    inflater = 2**-WINDOW_BITS
    assert deflater + inflater <= 8192 + 1024


@pytest.mark.parametrize("fields", [b"", b"\0\0\0\x09ab", b"\0\0\0\2\xff\xff", b"\0\0\0\0"])
def test_invalid_deflated_fields_are_a_protocol_error(fields: bytes) -> None:
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
def test_invalid_frame_is_a_protocol_error(frame: bytes) -> None:
    with pytest.raises(ProtocolError):
        decode_frame(frame)


def test_message_above_the_limit_is_refused_by_its_header() -> None:
    with pytest.raises(ProtocolError):
        StreamDecoder(10).feed(HEADER.pack(11, 1))


@settings(max_examples=500, derandomize=True)
@given(st.binary(max_size=300))
def test_arbitrary_bytes_raise_only_protocol_errors(data: bytes) -> None:
    decoder = StreamDecoder(200)
    try:
        for kind, body in decoder.feed(data):
            assert isinstance(kind, str)
            assert isinstance(body, dict)
    except ProtocolError:
        return


def test_body_of_a_long_message_is_copied_once() -> None:
    """Guards against a message that takes several times its size while it is decoded."""
    size = 8 * 1024 * 1024
    frame = StreamEncoder().encode("Dispatch", dispatch_of("POST", body=bytes(size)))
    decoder = StreamDecoder(2 * size)
    parts = [frame[at : at + 262144] for at in range(0, len(frame), 262144)]
    del frame
    for part in parts[:-1]:
        assert decoder.feed(part) == []
    last = parts.pop()
    parts.clear()
    tracemalloc.start()
    found = decoder.feed(last)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(found[0][1]["body"]) == size
    assert peak < 2.5 * size


@pytest.mark.parametrize("kind", range(256))
def test_odd_fields_of_any_kind_raise_only_protocol_errors(kind: int) -> None:
    """Nested deeply, announced as long and without bytes, or with an unknown field that is odd."""
    deep = b"\x91" * 100_000
    for fields in (deep, b"\x81\xa3new" + deep, b"\xdd\xff\xff\xff\xff", b"\xc1", b"", b"\xa1\xff"):
        deflate = zlib.compressobj(1, zlib.DEFLATED, WINDOW_BITS)
        deflated = deflate.compress(fields) + deflate.flush(zlib.Z_SYNC_FLUSH)
        body = DEFLATED_HEADER.pack(len(deflated)) + deflated if kind & DEFLATED else fields
        with pytest.raises(ProtocolError):
            StreamDecoder(1 << 20).feed(HEADER.pack(len(body), kind) + body)
