"""Heads of HTTP messages: what is passed on, what is added, how it is written."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

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
HEADER_PREFIX = b"foldhoist-"
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


CREDENTIALS = b"authorization"
"""Header by which a caller says whose call it is."""
CUSTOMER = b"Foldhoist-Customer"
"""Header by which an upstream is told whose call it is."""

SPOKEN = frozenset({KEY, TRACEPARENT, b"host", NOT_RUN, STATE})
"""Headers that foldhoist reads or writes anew at each hop."""


class HeadRules(NamedTuple):
    """Headers that are read: `taken` and those with `prefix` end here, `noted` go on."""

    consumed: frozenset[bytes]
    inspected: frozenset[bytes]
    consumed_prefix: bytes


DEFAULT_UPSTREAM_RULES = HeadRules(SPOKEN, frozenset({b"retry-after"}), HEADER_PREFIX)
"""How the product's own interface reads heads."""
DEFAULT_CALLER_RULES = HeadRules(SPOKEN | {CREDENTIALS}, frozenset(), HEADER_PREFIX)
"""How it reads heads of callers."""


class HeadReader:
    """Sorts the headers of one message as they come: to pass on, to read, or to drop."""

    __slots__ = ("_rules", "connection_options", "forwarded", "size", "values")

    def __init__(self, rules: HeadRules = DEFAULT_UPSTREAM_RULES) -> None:
        self._rules = rules
        self.forwarded: Headers = []
        self.values: dict[bytes, bytes] = {}
        self.connection_options: list[bytes] = []
        self.size = 0

    def add(self, name: bytes, value: bytes) -> None:
        """Take in a header; a header that is read and comes twice keeps both values."""
        lower = name.lower()
        self.size += len(name) + len(value)
        if lower in HOP_BY_HOP:
            if lower == b"connection":
                self.connection_options += [part.strip().lower() for part in value.split(b",")]
            elif lower in (b"expect", b"keep-alive"):
                self.values[lower] = value
            return
        rules = self._rules
        taken = lower in rules.consumed or (
            rules.consumed_prefix and lower.startswith(rules.consumed_prefix)
        )
        if taken or lower in rules.inspected:
            self.values[lower] = (
                self.values[lower] + b", " + value if lower in self.values else value
            )
        if taken:
            return
        self.forwarded.append([name, value])

    def forwarded_headers(self) -> Headers:
        """Return the headers that go on, without those that a Connection header names."""
        drop = [name for name in self.connection_options if name not in (b"keep-alive", b"close")]
        if not drop:
            return self.forwarded
        return [pair for pair in self.forwarded if pair[0].lower() not in drop]


def write_head(first: bytes, headers: Headers, length: int | None) -> bytes:
    """Return first line, headers and content length as bytes."""
    parts = [first]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    if length is not None:
        parts.append(b"Content-Length: %d\r\n" % length)
    parts.append(b"\r\n")
    return b"".join(parts)
