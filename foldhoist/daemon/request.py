"""Reads what a caller's request says to foldhoist: deadline, urgency, key, nesting, trace."""

from __future__ import annotations

import random
import re
from typing import TYPE_CHECKING, NamedTuple

from foldhoist.customers.keys import digest_in
from foldhoist.daemon.http import (
    BUDGET,
    CREDENTIALS,
    HOPS,
    ISSUED,
    KEY,
    RETRY,
    TRACEPARENT,
    URGENT,
)
from foldhoist.delivery.call import CallerRequest

if TYPE_CHECKING:
    from foldhoist.daemon.http import HeadReader

LONGEST_KEY = 200
"""Longest idempotency key, characters."""
LONGEST_NUMBER = 15
"""Longest number in a header, digits."""
_TRACEPARENT = re.compile(r"^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$")
_HEX_ID = re.compile(r"^[0-9a-f]{1,32}$")
_NUMBERS = (BUDGET, HOPS, ISSUED)


class BadRequest(NamedTuple):
    """A request that is refused before any decision about it."""

    status: int
    reason: str


def read_request(
    method: str, url: bytes, head: HeadReader, body: bytes
) -> CallerRequest | BadRequest:
    """Return the request, or why it is refused."""
    said = head.values
    if b"," in said.get(b"host", b""):
        return BadRequest(400, "several-host-headers")
    if not url.startswith(b"/"):
        return BadRequest(400, "target-is-no-path")
    numbers: dict[bytes, int] = {}
    for name in _NUMBERS:
        value = said.get(name)
        if value is None:
            continue
        if not value.isdigit() or len(value) > LONGEST_NUMBER:
            return BadRequest(400, f"bad-header-{name.decode()}")
        numbers[name] = int(value)
    key = said.get(KEY, b"").decode("latin-1")
    if len(key) > LONGEST_KEY or not key.isprintable():
        return BadRequest(400, "bad-header-idempotency-key")
    budget_ms = numbers.get(BUDGET)
    return CallerRequest(
        method,
        url.decode("latin-1"),
        head.forwarded_headers(),
        body,
        -1.0 if budget_ms == 0 else (budget_ms or 0) / 1000,
        said.get(URGENT) == b"1",
        key,
        numbers.get(ISSUED, 0),
        numbers.get(HOPS, 0),
        said.get(RETRY) == b"1",
        next_traceparent(said.get(TRACEPARENT, b"").decode("latin-1")),
        api_key=digest_in(said.get(CREDENTIALS, b""), b"bearer"),
        withheld=([CREDENTIALS, said[CREDENTIALS]],) if CREDENTIALS in said else (),
    )


def traceparent_of_id(name: str) -> str:
    """Return a traceparent made of a request's own id, so that one finds the other."""
    if _HEX_ID.match(name):
        return f"00-{name:0>32}-{name[-16:]:0>16}-00"
    return next_traceparent("")


def next_traceparent(traceparent: str) -> str:
    """Return the traceparent of this hop: the caller's trace, or a new one, and a new span."""
    span = f"{random.getrandbits(64):016x}"
    found = _TRACEPARENT.match(traceparent) if traceparent else None
    if found is None:
        return f"00-{random.getrandbits(128):032x}-{span}-00"
    return f"00-{found[1]}-{span}-{found[3]}"
