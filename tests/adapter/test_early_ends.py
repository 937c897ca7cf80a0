"""An answer that ends early is never whole: each framing, cut at each byte, both kinds of ends.

Guards against a short answer that a caller gets as the whole one, and against a call that ran and
is told as not run.
"""

from __future__ import annotations

import pytest

from bench.stages import FakeTransport
from foldhoist.daemon.upstream_connection import UpstreamConnection
from foldhoist.delivery.dispatch import Complete, Incomplete, Replaced, Result, Shed, StartCall
from foldhoist_adapter.headers import PlatformDialect
from tests.adapter.answers import ANSWERS, CHUNKED, CHUNKS, LENGTH, End, Framed, head
from tests.unit.daemon.calls import dispatch_of

FIRST = head(LENGTH) + b"first"
"""A whole answer before the one that is cut, on a kept connection."""
WHOLE_AT_ONCE = 1 << 20
"""Bytes of one segment; any answer here fits."""


class Wire:
    """A connection to an upstream without a socket; `results` are those of the last call."""

    def __init__(self, kept: bool = False) -> None:
        self.results: list[Result] = []
        self.transport = FakeTransport()
        self.conn = UpstreamConnection(100, self._on_end, PlatformDialect("shop"))
        self.conn.connection_made(self.transport)
        if kept:
            self.call("GET")
            self.conn.data_received(FIRST)
            assert self.conn.usable
            self.results.clear()

    def _on_end(self, conn: UpstreamConnection, result: Result) -> None:
        self.results.append(result)

    def call(self, method: str) -> None:
        """Start a call."""
        req = dispatch_of(method, [[b"X-Attempt-Id", b"a1"]], repeatable=method != "POST")
        self.conn.call(StartCall(1, req, 1.0), b"request")

    def receive(self, data: bytes, size: int) -> None:
        """Receive bytes in segments of this size, until the call ends."""
        for at in range(0, len(data), size):
            if self.results:
                return
            self.conn.data_received(data[at : at + size])

    def end(self, exc: Exception | None) -> Result:
        """End the connection and return the result of the call."""
        self.conn.connection_lost(exc)
        (result,) = self.results
        return result


def whole_body(answer: Framed, cut: int, method: str, reset: bool) -> bytes | None:
    """Return the body of an answer that is whole when cut there, or None if it is not."""
    if answer.end is End.NEVER or cut < answer.head_end:
        return None
    if method == "HEAD":
        return None if answer.before.endswith(b"zz") else b""
    if answer.end is End.CONNECTION:
        return None if reset else answer.data[answer.head_end : cut]
    return answer.body if cut == len(answer.data) else None


@pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("size", [1, WHOLE_AT_ONCE], ids=["bytes", "segment"])
@pytest.mark.parametrize("kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize("answer", ANSWERS, ids=[each.name for each in ANSWERS])
def test_an_answer_is_whole_only_at_its_end(
    answer: Framed, method: str, reset: bool, size: int, kept: bool
) -> None:
    for cut in range(len(answer.data) + 1):
        wire = Wire(kept)
        wire.call(method)
        wire.receive(answer.data[:cut], size)
        result = wire.end(ConnectionResetError() if reset else None)
        body = whole_body(answer, cut, method, reset)
        seen = answer.data[:cut]
        if body is None:
            assert isinstance(result, Incomplete), seen
            assert result.sent, seen
            continue
        assert isinstance(result, Complete), seen
        assert result.body == body, seen


@pytest.mark.parametrize("size", [1, WHOLE_AT_ONCE], ids=["bytes", "segment"])
@pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize(
    ("start", "line", "kind"),
    [
        (b"HTTP/1.1 503 Full", b"X-Not-Executed: 1", Shed),
        (b"HTTP/1.1 421 Misdirected", b"X-Other: 1", Replaced),
    ],
)
def test_a_call_is_not_run_only_after_a_whole_head_that_says_so(
    start: bytes, line: bytes, kind: type, method: str, reset: bool, size: int
) -> None:
    data = head(line, LENGTH, start=start) + b"abcde"
    for cut in range(len(data) + 1):
        wire = Wire()
        wire.call(method)
        wire.receive(data[:cut], size)
        result = wire.end(ConnectionResetError() if reset else None)
        ends_at = len(data) - 5 if method == "HEAD" else len(data)
        if cut < ends_at:
            assert result == Incomplete(True, "upstream-connection-lost"), data[:cut]
            continue
        assert isinstance(result, kind), data[:cut]


TRAILERS = [
    b"X-Not-Executed: 1",
    b"X-Attempt-Id: b2",
    b"X-Response-Signature: forged",
    b"Transfer-Encoding: gzip",
    b"Connection: X-Kept",
    b"Content-Encoding: gzip",
    b"X-Sum: 1",
]


@pytest.mark.parametrize("trailer", TRAILERS)
def test_what_follows_a_body_is_no_part_of_the_head(trailer: bytes) -> None:
    """Guards against a trailer that makes a call that ran count as not run, or never end."""
    wire = Wire()
    wire.call("POST")
    wire.conn.data_received(head(CHUNKED, b"X-Kept: 1") + CHUNKS[:-2] + trailer + b"\r\n\r\n")
    (result,) = wire.results
    assert isinstance(result, Complete)
    names = [name for name, _ in result.headers]
    assert names == [b"X-Attempt-Id", b"X-Response-Signature", b"X-Kept"]
    assert result.headers[1][1] == b"s.1"


def test_a_signature_after_the_body_does_not_sign_an_answer() -> None:
    wire = Wire()
    wire.call("POST")
    unsigned = head(CHUNKED).replace(b"X-Response-Signature: s.1\r\n", b"")
    wire.conn.data_received(unsigned + CHUNKS[:-2] + b"X-Response-Signature: s.1\r\n\r\n")
    assert wire.results == [Incomplete(True, "answer-unsigned")]


def test_a_length_after_chunks_is_no_answer() -> None:
    wire = Wire()
    wire.call("POST")
    wire.conn.data_received(head(CHUNKED) + CHUNKS[:-2] + b"Content-Length: 3\r\n\r\n")
    assert wire.results == [Incomplete(True, "malformed-answer")]
