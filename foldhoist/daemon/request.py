"""Reads a caller's request: deadline, urgency, idempotency key, hops and trace."""

from __future__ import annotations

import random
import re
from typing import TYPE_CHECKING, NamedTuple

from foldhoist.customers.keys import digest_in
from foldhoist.daemon.http import (
    AUTHORIZATION,
    BUDGET,
    HOPS,
    IDEMPOTENCY_KEY,
    KEY_ISSUED,
    RETRY,
    TRACEPARENT,
    URGENT,
)
from foldhoist.delivery.call import CallerRequest

if TYPE_CHECKING:
    from foldhoist.daemon.http import HeadReader

MAX_KEY_CHARS = 200
"""Maximum length of an idempotency key, characters."""
MAX_NUMBER_DIGITS = 15
"""Maximum length of a number in a header, digits."""
_TRACEPARENT = re.compile(r"^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$")
_HEX_ID = re.compile(r"^[0-9a-f]{1,32}$")
_NUMERIC_HEADERS = (BUDGET, HOPS, KEY_ISSUED)


class BadRequest(NamedTuple):
    """The status and reason with which an invalid request or a connection is refused."""

    status: int
    reason: str


def read_request(
    method: str, url: bytes, head: HeadReader, body: bytes
) -> CallerRequest | BadRequest:
    """Return the request, or the refusal if it is invalid."""
    values = head.values
    if b"," in values.get(b"host", b""):
        return BadRequest(400, "several-host-headers")
    if not url.startswith(b"/"):
        return BadRequest(400, "target-is-no-path")
    numbers: dict[bytes, int] = {}
    for name in _NUMERIC_HEADERS:
        value = values.get(name)
        if value is None:
            continue
        if not value.isdigit() or len(value) > MAX_NUMBER_DIGITS:
            return BadRequest(400, f"bad-header-{name.decode()}")
        numbers[name] = int(value)
    key = values.get(IDEMPOTENCY_KEY, b"").decode("latin-1")
    if len(key) > MAX_KEY_CHARS or not key.isprintable():
        return BadRequest(400, "bad-header-idempotency-key")
    budget_ms = numbers.get(BUDGET)
    return CallerRequest(
        method,
        url.decode("latin-1"),
        head.forwarded_headers(),
        body,
        -1.0 if budget_ms == 0 else (budget_ms or 0) / 1000,
        values.get(URGENT) == b"1",
        key,
        numbers.get(KEY_ISSUED, 0),
        numbers.get(HOPS, 0),
        values.get(RETRY) == b"1",
        next_traceparent(values.get(TRACEPARENT, b"").decode("latin-1")),
        api_key=digest_in(values.get(AUTHORIZATION, b""), b"bearer"),
        withheld=([AUTHORIZATION, values[AUTHORIZATION]],) if AUTHORIZATION in values else (),
    )


def traceparent_of_id(name: str) -> str:
    """Return a traceparent with a request's id, up to 32 hex digits, as trace id, or a new one."""
    if _HEX_ID.match(name):
        return f"00-{name:0>32}-{name[-16:]:0>16}-00"
    return next_traceparent("")


def next_traceparent(traceparent: str) -> str:
    """Return the traceparent of this hop: the caller's trace id or a new one, and a new span id."""
    span = f"{random.getrandbits(64):016x}"
    found = _TRACEPARENT.match(traceparent) if traceparent else None
    if found is None:
        return f"00-{random.getrandbits(128):032x}-{span}-00"
    return f"00-{found[1]}-{span}-{found[3]}"
