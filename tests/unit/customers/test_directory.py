"""Tests of the identification of customers by the digests of their keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foldhoist.config.fleet import parse_fleet
from foldhoist.customers.directory import (
    NO_KEY,
    UNKNOWN_KEY,
    Customer,
    Directory,
    Identified,
    Unidentified,
)
from foldhoist.customers.keys import DIGEST_CHARS, digest_in, digest_of, parse_digests
from tests.unit.config.test_fleet import GOOD

if TYPE_CHECKING:
    from foldhoist.schema.fleet import Fleet

FIRST, SECOND = digest_of("first"), digest_of("second")


def fleet(more: str) -> Fleet:
    found, faults = parse_fleet(GOOD + more, "f.ini")
    assert faults == []
    return found


def one_customer() -> Directory:
    """Return a directory of one customer with a quota and two keys."""
    keys = f"{FIRST}, {SECOND}"
    return Directory(
        fleet(f"\n[customer huka]\nkeys = {keys}\nrate_per_s = 5\nburst = 2\nrank = 0\n")
    )


def test_only_its_own_keys_identify_a_customer() -> None:
    huka = Customer("huka", 0, 5.0, 2.0)
    for digest in (FIRST, SECOND):
        assert one_customer().identify(digest, is_open=False) == Identified(huka)
    assert one_customer().identify(digest_of("other"), is_open=False) == Unidentified(UNKNOWN_KEY)
    assert one_customer().identify("", is_open=False) == Unidentified(NO_KEY)


def test_an_open_route_accepts_calls_without_a_known_key() -> None:
    assert one_customer().identify("", is_open=True) == Identified(None)
    assert one_customer().identify(digest_of("other"), is_open=True) == Identified(None)
    found = one_customer().identify(FIRST, is_open=True)
    assert isinstance(found, Identified)
    assert found.customer is not None


def test_no_key_is_needed_without_customers() -> None:
    directory = Directory(fleet(""))
    assert not directory.has_customers
    assert directory.identify("", is_open=False) == Identified(None)


@pytest.mark.parametrize(
    ("header", "key"),
    [
        (b"Token abc", "abc"),
        (b"token  abc ", "abc"),
        (b" TOKEN abc", "abc"),
        (b"Bearer abc", ""),
        (b"Token", ""),
        (b"Token ", ""),
        (b"abc", ""),
        (b"", ""),
    ],
)
def test_a_key_is_parsed_only_after_its_scheme(header: bytes, key: str) -> None:
    assert digest_in(header, b"token") == (digest_of(key) if key else "")


@given(st.binary(max_size=40))
def test_any_header_gives_a_digest_or_nothing(header: bytes) -> None:
    assert len(digest_in(header, b"token")) in (0, DIGEST_CHARS)


def test_malformed_digests_are_rejected() -> None:
    for text in ("abc", FIRST[:-1], FIRST.upper(), f"{FIRST}, x"):
        with pytest.raises(ValueError, match="no digest"):
            parse_digests(text)
    assert parse_digests(f" {FIRST} ,{SECOND},") == (FIRST, SECOND)
