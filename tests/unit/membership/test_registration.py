"""Records of daemons: an odd one is none, and what is taken can be used and written again."""

from __future__ import annotations

import msgspec
import pytest

from foldhoist.addresses import parse_address
from foldhoist.membership.registration import (
    QuarantinedCall,
    Registration,
    quarantined_call,
    registration_of,
    suspect_of,
)

DEEP = b"[" * 100_000
ODD_FIELDS = {
    "deep value in a further field": b'"one",[],"shop",[],%b' % DEEP,
    "deep list of ended ones": b'"one",%b' % DEEP,
    "start of 5000 digits": b'"one",[["i",%b]]' % (b"9" * 5000),
    "start beyond 64 bits": b'"one",[["i",%b]]' % (b"9" * 30),
    "start below 0": b'"one",[["i",-1]]',
    "time below 0": b'"one",[],"shop",[["k",["c/1"],-1]]',
    "time beyond 64 bits": b'"one",[],"shop",[["k",["c/1"],%b]]' % (b"9" * 30),
    "cut off": b'"one",[["i"',
    "no UTF-8": b'"\xff"',
}


@pytest.mark.parametrize("fields", ODD_FIELDS.values(), ids=ODD_FIELDS)
def test_an_odd_record_is_none(fields: bytes) -> None:
    assert registration_of("a", b'["a","l","127.0.0.1:9",%b]' % fields) is None


@pytest.mark.parametrize(
    "frames", ["", "9", ":9", "a:0", "a:65536", "a:00000199999", "a:x", "a b:9", "a\x00:9"]
)
def test_a_record_with_an_odd_address_is_none(frames: str) -> None:
    record = Registration("a", "l", frames, "one")
    assert registration_of("a", record.as_bytes()) is None


def test_a_record_is_read_as_it_was_written() -> None:
    held = QuarantinedCall("k", ("c/1",), 1_800_000_000_000)
    record = Registration("a", "l", "::1:9", "one", (), "shop", (held,))
    assert registration_of("a", record.as_bytes()) == record
    assert registration_of("b", record.as_bytes()) is None
    assert parse_address(record.frames).host == "::1"


def test_the_age_of_a_suspect_never_makes_a_record_that_cannot_be_written() -> None:
    suspect = suspect_of(QuarantinedCall("k", ("c/1",), 0), 5)
    suspect["age_ms"] = 2**64 - 1
    assert msgspec.json.encode(quarantined_call(suspect, 5)) == b'["k",["c/1"],0]'
