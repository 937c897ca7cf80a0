"""Calls and message heads for tests of the daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.daemon.http import HeadReader

if TYPE_CHECKING:
    from foldhoist.daemon.http import HeadRules
    from foldhoist.delivery.verdict import Headers
    from foldhoist.schema.messages import Dispatch


def dispatch_of(
    method: str = "GET",
    headers: Headers | None = None,
    *,
    repeatable: bool = True,
    body: bytes = b"",
) -> Dispatch:
    """Return a call as an ingress sends it to an owner."""
    return {
        "seq": 1,
        "acked": 1,
        "service": "depo",
        "method": method,
        "path": "/depo/x",
        "headers": headers or [],
        "body": body,
        "budget_ms": 1000,
        "urgent": False,
        "repeatable": repeatable,
        "key": "",
        "key_issued_ms": 0,
        "generation": 1,
        "hops": 0,
        "retried": False,
        "trace": "",
    }


def head_of(rules: HeadRules, fields: dict[bytes, bytes]) -> HeadReader:
    """Return a head with these fields, read by `rules`."""
    reader = HeadReader(rules)
    for name, value in fields.items():
        reader.add(name, value)
    return reader
