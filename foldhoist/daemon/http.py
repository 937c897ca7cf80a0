"""Heads of HTTP messages: what is passed on, what is added, how it is written."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from foldhoist.delivery.verdict import Headers

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that speak of one connection and are not passed on."""
OWN_PREFIX = b"foldhoist-"
"""Headers of this project; a caller's and an upstream's are not passed on."""

VERDICT = b"Foldhoist-Verdict"
REASON = b"Foldhoist-Reason"
TRACE = b"Foldhoist-Trace"
BUDGET = b"foldhoist-budget-ms"
URGENT = b"foldhoist-urgent"
HOPS = b"foldhoist-hops"
RETRY = b"foldhoist-retry"
ISSUED = b"foldhoist-key-issued-ms"
KEY = b"idempotency-key"
TRACEPARENT = b"traceparent"
NOT_RUN = b"not-run"
"""Header by which an upstream says that it did not run a call."""
STATE = b"upstream-state"
"""Header by which an upstream says that it is leaving."""

_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


def status_line(status: int) -> bytes:
    """Return the first line of an answer."""
    return b"HTTP/1.1 %d %s\r\n" % (status, _PHRASES.get(status, b"Status"))


def passed_on(headers: Headers) -> Headers:
    """Return the headers that go on to the next hop, without those a Connection header names."""
    named: frozenset[bytes] = frozenset()
    for name, value in headers:
        if name.lower() == b"connection":
            named = frozenset(part.strip().lower() for part in value.split(b","))
    kept: Headers = []
    for pair in headers:
        name = pair[0].lower()
        if name in HOP_BY_HOP or name in named or name.startswith(OWN_PREFIX):
            continue
        kept.append(pair)
    return kept


def find(headers: Headers, wanted: bytes) -> bytes:
    """Return the value of a header, or nothing; `wanted` is in small letters."""
    for name, value in headers:
        if name.lower() == wanted:
            return value
    return b""


def write_head(first: bytes, headers: Headers, length: int | None) -> bytes:
    """Return first line, headers and content length as bytes."""
    parts = [first]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    if length is not None:
        parts.append(b"Content-Length: %d\r\n" % length)
    parts.append(b"\r\n")
    return b"".join(parts)
