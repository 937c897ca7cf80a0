"""Tests of the identity of calls."""

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


def test_headers_other_than_the_host_do_not_change_the_identity() -> None:
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
def test_the_request_and_its_caller_change_the_identity(field: str, value: Any) -> None:
    assert identity_of(**PLAIN) != identity_of(**{**PLAIN, field: value})
