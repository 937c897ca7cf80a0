"""Numbers in headers: an odd one is none, and a large one never overflows where it is used."""

from __future__ import annotations

import pytest

from foldhoist.daemon.http import MAX_COUNT, parse_count, parse_decimal


@pytest.mark.parametrize(
    ("value", "count"),
    [
        (b"0", 0),
        (b" 7 ", 7),
        (b"0" * 5000 + b"7", 7),
        (b"0" * 5000, 0),
        (b"%d" % MAX_COUNT, MAX_COUNT),
        (b"%d" % (MAX_COUNT + 1), MAX_COUNT),
        (b"9" * 20, MAX_COUNT),
        (b"9" * 5000, MAX_COUNT),
    ],
)
def test_a_whole_number_is_read_and_bounded(value: bytes, count: int) -> None:
    assert parse_count(value) == count


@pytest.mark.parametrize(
    "value", [b"", b"-1", b"+1", b"1.5", b"1e3", b"1e400", b"0x1", b"1_0", b"nan", b"\xb2", b"1 2"]
)
def test_what_is_no_whole_number_is_none(value: bytes) -> None:
    assert parse_count(value) is None


@pytest.mark.parametrize(
    "value", [b"", b"-1", b"1e400", b"nan", b"inf", b"9" * 400, b"9" * 5000, b"1_0", b"\xb2", b"."]
)
def test_what_is_no_bounded_decimal_is_none(value: bytes) -> None:
    assert parse_decimal(value) is None
