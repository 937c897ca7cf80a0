"""An odd record of a log costs itself: those beside it are read, and reading goes on after it."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foldhoist.configlog.keyed_records import (
    HEADER,
    LENGTH,
    KeyedRecord,
    pack_record,
    unpack_read,
)

GOOD = pack_record("a", b"1")


def answer(end: int, *frames: bytes) -> bytes:
    return HEADER.pack(end, 0) + b"".join(frames)


def framed(record: bytes) -> bytes:
    return LENGTH.pack(len(record)) + record


@pytest.mark.parametrize("odd", [b"", b"\x02a", b"\xffconfig", b"\x01\xff1"])
def test_an_odd_record_between_good_ones_is_passed_over(odd: bytes) -> None:
    read = unpack_read(answer(10, GOOD, framed(odd), pack_record("b", b"2")), 7)
    assert read is not None
    assert read.records == [KeyedRecord("a", b"1"), KeyedRecord("b", b"2")]
    assert read.invalid == 1
    assert read.next_offset == 10


def test_a_record_that_is_cut_off_is_read_from_its_start_next() -> None:
    read = unpack_read(answer(9, GOOD, GOOD[:-1]), 7)
    assert read is not None
    assert read.records == [KeyedRecord("a", b"1")]
    assert read.next_offset == 8


def test_a_read_without_news_goes_on_at_its_place() -> None:
    read = unpack_read(answer(7), 7)
    assert read is not None
    assert (read.records, read.invalid, read.next_offset) == ([], 0, 7)


@pytest.mark.parametrize(
    "data",
    [b"", HEADER.pack(8, 0)[:-1], answer(8), answer(8, GOOD[:-1]), answer(7, GOOD[:3]), answer(6)],
)
def test_a_read_after_which_reading_cannot_go_on_is_told(data: bytes) -> None:
    """Else the same place would be read for ever, without a pause."""
    assert unpack_read(data, 7) is None


@given(st.binary(max_size=60), st.integers(0, 2**62))
def test_any_answer_leads_on_or_is_told(data: bytes, offset: int) -> None:
    read = unpack_read(data, offset)
    if read is None:
        return
    end = HEADER.unpack_from(data)[0]
    assert offset <= read.next_offset <= end
    assert read.next_offset > offset or end == offset
