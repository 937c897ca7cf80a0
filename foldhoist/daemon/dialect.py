"""Translates between HTTP headers and calls: the interface and the default dialect.

A deployment whose callers and upstreams use other headers provides its own dialect.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from foldhoist.daemon.http import (
    BUDGET,
    CUSTOMER,
    DEFAULT_CALLER_RULES,
    DEFAULT_UPSTREAM_RULES,
    HOPS,
    IDEMPOTENCY_KEY,
    NOT_RUN,
    REASON,
    RETRY,
    TRACE,
    TRACEPARENT,
    UPSTREAM_LIMIT,
    UPSTREAM_STATE,
    URGENT,
    VERDICT,
    HeadRules,
    parse_count,
    parse_decimal,
)
from foldhoist.daemon.request import BadRequest, read_request
from foldhoist.delivery.dispatch import Complete, Result, Sample, Shed, StartCall
from foldhoist.delivery.signal_state import AnswerSignals
from foldhoist.delivery.verdict import Answered, Headers, MayHaveRun, NotRun, Verdict, verdict_name

if TYPE_CHECKING:
    from foldhoist.daemon.http import HeadReader
    from foldhoist.delivery.call import CallerRequest

MAX_FAULT_CHARS = 40
"""Maximum length of an invalid limit in the log, characters."""
NO_VALUE = "(empty)"
"""Stands for an empty limit in the log."""
MAX_PACE = 1_000_000
"""Slowest pace of an upstream that is believed, percent of the usual time for a call."""
SHED_RETRY_S = 0.5
"""Retry delay after a shed call without a whole number in Retry-After, seconds."""


class Dialect(Protocol):
    """The meaning of a deployment's headers; no I/O and no state of calls."""

    caller_rules: HeadRules
    upstream_rules: HeadRules

    def read_request(
        self, method: str, url: bytes, head: HeadReader, body: bytes
    ) -> CallerRequest | BadRequest:
        """Return a caller's request, or the refusal if it is invalid."""

    def answer(self, verdict: Verdict, trace: str) -> tuple[int, Headers, bytes]:
        """Return status, headers and body of a final answer."""

    def request_headers(self, call: StartCall, address: bytes) -> Headers:
        """Return the headers of a request to the upstream at this address."""

    def result(self, status: int, head: HeadReader, body: bytes, call: StartCall) -> Result | None:
        """Return the result of a complete answer, or None if it belongs to another call."""

    def sample_headers(self, instance: str, address: bytes) -> Headers:
        """Return the headers of a request to the health path of this incarnation."""

    def sample(self, status: int, head: HeadReader) -> Sample:
        """Return the sample in an answer of the health path."""

    def signals(self, status: int, head: HeadReader, call: StartCall) -> AnswerSignals | None:
        """Return the signals in an answer, None if it is not an answer of this upstream."""


class DefaultDialect:
    """The headers of foldhoist itself."""

    caller_rules = DEFAULT_CALLER_RULES
    upstream_rules = DEFAULT_UPSTREAM_RULES

    def read_request(
        self, method: str, url: bytes, head: HeadReader, body: bytes
    ) -> CallerRequest | BadRequest:
        """Return a caller's request, or the refusal if it is invalid."""
        return read_request(method, url, head, body)

    def answer(self, verdict: Verdict, trace: str) -> tuple[int, Headers, bytes]:
        """Return status, headers and body of a final answer; a header names the verdict."""
        own: Headers = [[VERDICT, verdict_name(verdict).encode()]]
        if trace:
            own.append([TRACE, trace.encode()])
        match verdict:
            case Answered(response):
                return response.status, response.headers + own, response.body
            case NotRun(reason, retry_after_s, status):
                own.append([REASON, reason.encode()])
                if status in (429, 503):
                    own.append([b"Retry-After", b"%d" % max(1, round(retry_after_s + 0.499))])
                    own.append([b"Foldhoist-Retry-After-Ms", b"%d" % int(retry_after_s * 1000)])
                body = f"not run: {reason}\n".encode()
            case MayHaveRun(reason, status):
                own.append([REASON, reason.encode()])
                body = f"may have run: {reason}\n".encode()
        return status, [[b"Content-Type", b"text/plain"], *own], body

    def request_headers(self, call: StartCall, address: bytes) -> Headers:
        """Return the headers of a request to the upstream at this address."""
        req = call.request
        own: Headers = [
            [b"Host", address],
            [BUDGET, b"%d" % max(1, int(call.budget_s * 1000))],
            [TRACEPARENT, req["trace"].encode()],
        ]
        if req["urgent"]:
            own.append([URGENT, b"1"])
        if req["key"]:
            own.append([IDEMPOTENCY_KEY, req["key"].encode("latin-1")])
        if customer := req.get("customer"):
            own.append([CUSTOMER, customer.encode("latin-1")])
        own.append([HOPS, b"%d" % (req["hops"] + 1)])
        if req["retried"]:
            own.append([RETRY, b"1"])
        return own + req["headers"]

    def result(self, status: int, head: HeadReader, body: bytes, call: StartCall) -> Result | None:
        """Return the result of a complete answer, which always belongs to the call."""
        if status == 503 and NOT_RUN in head.values:
            return Shed(_retry_after(head.values))
        return Complete(status, head.forwarded_headers(), body)

    def sample_headers(self, instance: str, address: bytes) -> Headers:
        """Return the headers of a request to the health path."""
        return [[b"Host", address]]

    def sample(self, status: int, head: HeadReader) -> Sample:
        """Return an empty sample, as the default headers carry no pace."""
        return Sample(0)

    def signals(self, status: int, head: HeadReader, call: StartCall) -> AnswerSignals | None:
        """Return the signals in an answer."""
        leaving = head.values.get(UPSTREAM_STATE) == b"leaving"
        return limit_signals(head.values.get(UPSTREAM_LIMIT), leaving)


def limit_signals(limit: bytes | None, leaving: bool) -> AnswerSignals:
    """Return the signals of an answer; `limit` is the value of its limit header, None without one.

    A valid limit is a plain decimal number of calls per second.
    """
    if limit is None:
        return AnswerSignals(None, leaving)
    per_s = parse_decimal(limit)
    if per_s is None:
        value = limit.decode("latin-1")[:MAX_FAULT_CHARS].strip()
        return AnswerSignals(None, leaving, value or NO_VALUE)
    return AnswerSignals(per_s, leaving)


def parse_pace(value: bytes) -> int:
    """Return the pace in a header's value, percent; 0 if it is none, or above MAX_PACE."""
    pace = parse_decimal(value)
    if not pace or pace > MAX_PACE:
        return 0
    return max(1, int(pace))


def _retry_after(values: dict[bytes, bytes]) -> float:
    seconds = parse_count(values.get(b"retry-after", b""))
    return SHED_RETRY_S if seconds is None else float(seconds)
