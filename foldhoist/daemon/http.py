"""Heads of HTTP messages: which headers are read or forwarded, and how heads are encoded."""

from __future__ import annotations

import re
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

from foldhoist.admission.body_memory import HEADER_COST_BYTES

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
"""Headers of a single connection or of message framing; never forwarded."""
HEADER_PREFIX = b"foldhoist-"
"""Prefix of the headers of foldhoist; received ones are not forwarded."""

VERDICT = b"Foldhoist-Verdict"
REASON = b"Foldhoist-Reason"
TRACE = b"Foldhoist-Trace"
BUDGET = b"foldhoist-budget-ms"
URGENT = b"foldhoist-urgent"
HOPS = b"foldhoist-hops"
RETRY = b"foldhoist-retry"
KEY_ISSUED = b"foldhoist-key-issued-ms"
IDEMPOTENCY_KEY = b"idempotency-key"
TRACEPARENT = b"traceparent"
NOT_RUN = b"not-run"
"""Response header of an upstream that did not run the call."""
UPSTREAM_STATE = b"upstream-state"
"""Response header with which an upstream says that it is leaving."""

UPSTREAM_LIMIT = b"upstream-limit"
"""Response header with the rate limit of an upstream, calls per second from all hosts."""

MIN_HEADER_FRAMING_BYTES = len(b":\r\n")
"""Bytes that a header takes at least in addition to its name and value."""
CHUNKED = b"chunked"
"""The only transfer coding that is undone here."""
_DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,9})?")
"""A number in a header: no sign, no exponent, bounded digits."""
MAX_COUNT = 10**15
"""Largest whole number read from a header; larger ones count as it."""
_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


def status_line(status: int) -> bytes:
    """Return the status line of a response."""
    return b"HTTP/1.1 %d %s\r\n" % (status, _PHRASES.get(status, b"Status"))


AUTHORIZATION = b"authorization"
"""Request header with the API key of a caller."""
CUSTOMER = b"Foldhoist-Customer"
"""Request header that names the customer to an upstream."""

CONSUMED = frozenset(
    {IDEMPOTENCY_KEY, TRACEPARENT, b"host", NOT_RUN, UPSTREAM_STATE, UPSTREAM_LIMIT}
)
"""Headers that foldhoist reads or sets again at each hop instead of forwarding them."""


class HeadRules(NamedTuple):
    """Lower-case names of the headers whose values are read.

    `consumed` headers and those with `consumed_prefix` are not forwarded, `inspected` ones are. An
    empty prefix matches no header.
    """

    consumed: frozenset[bytes]
    inspected: frozenset[bytes]
    consumed_prefix: bytes


DEFAULT_UPSTREAM_RULES = HeadRules(CONSUMED, frozenset({b"retry-after"}), HEADER_PREFIX)
"""The default rules for answers of upstreams."""
DEFAULT_CALLER_RULES = HeadRules(CONSUMED | {AUTHORIZATION}, frozenset(), HEADER_PREFIX)
"""The default rules for requests of callers."""


class HeadReader:
    """Sorts the headers of one message into those to forward, to read and to drop."""

    __slots__ = ("_rules", "connection_options", "count", "forwarded", "size", "values")

    def __init__(self, rules: HeadRules = DEFAULT_UPSTREAM_RULES) -> None:
        self._rules = rules
        self.forwarded: Headers = []
        self.values: dict[bytes, bytes] = {}
        self.connection_options: list[bytes] = []
        self.count = 0
        self.size = 0

    @property
    def cost_bytes(self) -> int:
        """Return the memory that the headers take, with the objects that hold them."""
        return self.size + HEADER_COST_BYTES * (self.count + len(self.connection_options))

    def add(self, name: bytes, value: bytes) -> None:
        """Add a header; repeated values of a header that is read are joined with commas."""
        lower = name.lower()
        self.count += 1
        self.size += len(name) + len(value) + MIN_HEADER_FRAMING_BYTES
        if lower in HOP_BY_HOP:
            if lower == b"connection":
                self.connection_options += [part.strip().lower() for part in value.split(b",")]
            elif lower in (b"expect", b"keep-alive"):
                self.values[lower] = value
            return
        rules = self._rules
        consumed = lower in rules.consumed or (
            rules.consumed_prefix and lower.startswith(rules.consumed_prefix)
        )
        if consumed or lower in rules.inspected:
            self.values[lower] = (
                self.values[lower] + b", " + value if lower in self.values else value
            )
        if consumed:
            return
        self.forwarded.append([name, value])

    def forwarded_headers(self) -> Headers:
        """Return the headers to forward, without those that a Connection header names."""
        drop = {name for name in self.connection_options if name not in (b"keep-alive", b"close")}
        if not drop:
            return self.forwarded
        return [pair for pair in self.forwarded if pair[0].lower() not in drop]


def codings(value: bytes) -> list[bytes]:
    """Return the transfer codings in a header's value, in lower case: their names have no case."""
    return [part.strip().lower() for part in value.split(b",") if part.strip()]


def parse_decimal(value: bytes) -> float | None:
    """Return the number in a header's value, or None if it is not a plain decimal number."""
    text = value.strip()
    return float(text) if _DECIMAL.fullmatch(text) else None


def parse_count(value: bytes) -> int | None:
    """Return the whole number in a header's value, None if it is none; at most MAX_COUNT."""
    text = value.strip()
    if not text.isdigit():
        return None
    digits = text.lstrip(b"0")
    return MAX_COUNT if len(digits) > len(str(MAX_COUNT)) else min(MAX_COUNT, int(digits or b"0"))


def write_head(start_line: bytes, headers: Headers, length: int | None) -> bytes:
    """Return the encoded start line, headers and, unless `length` is None, content length."""
    parts = [start_line]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    if length is not None:
        parts.append(b"Content-Length: %d\r\n" % length)
    parts.append(b"\r\n")
    return b"".join(parts)
