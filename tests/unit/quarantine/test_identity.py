"""Tests of by what a call is known when it comes again."""

from __future__ import annotations

from typing import Any

import pytest

from foldhoist.quarantine.identity import identity_of

HEADERS = [[b"Host", b"shop.example"], [b"X-Attempt", b"1"]]
PLAIN: dict[str, Any] = {
    "method": "GET",
    "path": "/a/1?page=2",
    "headers": HEADERS,
    "body": b"body",
    "caller": "desk",
}


def test_other_headers_and_their_order_change_nothing() -> None:
    again = [[b"X-Attempt", b"2"], [b"host", b"SHOP.example"]]
    assert identity_of(**PLAIN) == identity_of(**{**PLAIN, "headers": again})


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("method", "POST"),
        ("path", "/a/1?page=3"),
        ("headers", [[b"Host", b"other.example"]]),
        ("body", b"other"),
        ("caller", "till"),
    ],
)
def test_what_is_asked_and_by_whom_counts(field: str, value: Any) -> None:
    assert identity_of(**PLAIN) != identity_of(**{**PLAIN, field: value})
