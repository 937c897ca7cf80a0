"""Tests of connections to the upstream: complete answers and reuse of connections."""

from __future__ import annotations

import pytest

from bench.stages import FakeTransport
from foldhoist.daemon.upstream_connection import MAX_IDLE_S, UpstreamConnection
from foldhoist.delivery.dispatch import Complete, Incomplete, Result, Shed, StartCall
from tests.unit.daemon.calls import dispatch_of

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"


class Wire:
    """An upstream connection without a socket."""

    def __init__(self) -> None:
        self.results: list[Result] = []
        self.conn = UpstreamConnection(100, lambda conn, result: self.results.append(result))
        self.conn.connection_made(FakeTransport())

    def call(self, answer: bytes, head: bool = False) -> None:
        req = dispatch_of("HEAD" if head else "GET")
        self.conn.call(StartCall(1, req, 1.0), b"request")
        if answer:
            self.conn.data_received(answer)


def test_connection_is_usable_after_a_complete_answer() -> None:
    wire = Wire()
    wire.call(OK)
    assert wire.results == [Complete(200, [], b"abc")]
    assert wire.conn.usable
    wire.call(OK)
    assert len(wire.results) == 2


@pytest.mark.parametrize(
    "answer",
    [
        OK + OK,
        OK + b"HTTP/1.1 200",
        OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"),
        b"HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\nabc",
    ],
)
def test_connection_is_not_reused_after_extra_bytes_or_a_closing_answer(
    answer: bytes,
) -> None:
    wire = Wire()
    wire.call(answer)
    assert [type(each) for each in wire.results] == [Complete]
    assert not wire.conn.usable


@pytest.mark.parametrize("cut", range(1, len(OK)))
def test_truncated_answer_is_incomplete(cut: int) -> None:
    wire = Wire()
    wire.call(OK[:cut])
    wire.conn.connection_lost(None)
    assert wire.results == [Incomplete(True, "upstream-connection-lost")]


def test_unframed_answer_is_complete_only_if_the_connection_ends_without_error() -> None:
    for exc, kind in ((None, Complete), (OSError(), Incomplete)):
        wire = Wire()
        wire.call(b"HTTP/1.1 200 OK\r\n\r\nabc")
        wire.conn.connection_lost(exc)
        assert [type(each) for each in wire.results] == [kind]


def test_connection_is_not_reused_after_bytes_without_a_request() -> None:
    wire = Wire()
    wire.call(OK)
    wire.conn.data_received(OK)
    assert not wire.conn.usable
    assert len(wire.results) == 1


def test_aborted_call_ends_once_as_incomplete() -> None:
    wire = Wire()
    wire.call(b"")
    wire.conn.abort("cancelled")
    wire.conn.connection_lost(None)
    assert wire.results == [Incomplete(True, "cancelled")]
    assert not wire.conn.usable


def test_answer_above_the_limit_is_incomplete() -> None:
    wire = Wire()
    wire.call(b"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + b"x" * 101)
    assert wire.results == [Incomplete(True, "answer-too-large")]


def test_503_with_not_run_header_is_shed() -> None:
    wire = Wire()
    head = b"HTTP/1.1 503 Busy\r\nNot-Run: shed\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n"
    wire.call(head)
    assert wire.results == [Shed(2.0)]


def test_503_without_not_run_header_is_an_answer() -> None:
    wire = Wire()
    wire.call(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    assert wire.results == [Complete(503, [], b"")]


def test_interim_answer_is_skipped() -> None:
    wire = Wire()
    wire.call(b"HTTP/1.1 100 Continue\r\n\r\n" + OK)
    assert wire.results == [Complete(200, [], b"abc")]


def test_answer_to_head_has_no_body() -> None:
    wire = Wire()
    wire.call(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n", head=True)
    assert wire.results == [Complete(200, [], b"")]


CHUNKS = b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"


def chunked(*lines: bytes) -> bytes:
    """Return an answer in chunks with these header lines."""
    return b"\r\n".join([b"HTTP/1.1 200 OK", *lines, b"", CHUNKS])


@pytest.mark.parametrize(
    "line",
    [
        b"Transfer-Encoding: chunked",
        b"Transfer-Encoding: Chunked",
        b"transfer-encoding: CHUNKED",
        b"TRANSFER-ENCODING:  chunked ",
        b"Transfer-Encoding: , chunked",
    ],
)
def test_an_answer_in_chunks_is_whole_only_with_its_last_chunk(line: bytes) -> None:
    """Guards against a short answer passed on as whole, as its coding is spelled otherwise."""
    answer = chunked(line)
    begin = len(answer) - len(CHUNKS)
    for cut in range(begin, len(answer)):
        wire = Wire()
        wire.call(answer[:cut])
        wire.conn.connection_lost(None)
        assert [type(each) for each in wire.results] == [Incomplete], answer[:cut]
    wire = Wire()
    wire.call(answer)
    assert wire.results in ([Complete(200, [], b"abcde")], [Incomplete(True, "malformed-answer")])


@pytest.mark.parametrize(
    "lines",
    [
        [b"Transfer-Encoding: gzip"],
        [b"Transfer-Encoding: gzip, chunked"],
        [b"Transfer-Encoding: chunked, gzip"],
        [b"Transfer-Encoding: gzip", b"Transfer-Encoding: chunked"],
        [b"Transfer-Encoding: xchunked"],
        [b"Transfer-Encoding: chunkedx"],
        [b"Content-Length: 3", b"Transfer-Encoding: chunked"],
        [b"Transfer-Encoding: Chunked", b"Content-Length: 3"],
    ],
)
def test_an_answer_with_a_coding_that_is_not_undone_is_no_answer(lines: list[bytes]) -> None:
    """Guards against an encoded body, or one of two lengths, passed on as the upstream's."""
    wire = Wire()
    wire.call(chunked(*lines))
    if not wire.results:
        wire.conn.connection_lost(None)
    assert [type(each) for each in wire.results] == [Incomplete]
    assert not wire.conn.usable


@pytest.mark.parametrize("value", [b"timeout=5", b"Timeout=5, max=9", b"max=9 , timeout = 5"])
def test_the_idle_time_that_an_upstream_names_is_kept_in_each_spelling(value: bytes) -> None:
    wire = Wire()
    wire.call(OK.replace(b"\r\n\r\n", b"\r\nKeep-Alive: " + value + b"\r\n\r\n"))
    assert wire.conn.idle_s == 3.5


@pytest.mark.parametrize("value", [b"close", b"Close", b"keep-alive, Close", b"x, CLOSE"])
def test_a_connection_that_its_upstream_closes_is_not_used_again(value: bytes) -> None:
    wire = Wire()
    wire.call(OK.replace(b"\r\n\r\n", b"\r\nConnection: " + value + b"\r\n\r\n"))
    assert [type(each) for each in wire.results] == [Complete]
    assert not wire.conn.usable


@pytest.mark.parametrize(
    "value", [b"9" * 5000, b"9" * 20, b"0" * 5000 + b"7", b"1e400", b"-1", b"nan", b"\xb2", b""]
)
def test_an_odd_keep_alive_leaves_the_answer_and_the_connection(value: bytes) -> None:
    wire = Wire()
    wire.call(OK.replace(b"\r\n\r\n", b"\r\nKeep-Alive: timeout=" + value + b"\r\n\r\n"))
    assert wire.results == [Complete(200, [], b"abc")]
    assert wire.conn.usable
    assert 0 <= wire.conn.idle_s <= MAX_IDLE_S


@pytest.mark.parametrize(
    "value", [b"9" * 5000, b"9" * 400, b"9" * 20, b"1e400", b"-1", b"nan", b"x"]
)
def test_an_odd_retry_after_leaves_the_call_shed(value: bytes) -> None:
    """The time is told to the caller as a whole number of milliseconds, so it is finite."""
    wire = Wire()
    head = b"HTTP/1.1 503 No\r\nNot-Run: 1\r\nRetry-After: " + value
    wire.call(head + b"\r\nContent-Length: 0\r\n\r\n")
    assert [type(each) for each in wire.results] == [Shed]
    shed = wire.results[0]
    assert isinstance(shed, Shed)
    assert 0 <= int(shed.retry_after_s * 1000) < 2**63


@pytest.mark.parametrize("value", [b"9" * 5000, b"9" * 20, b"-1", b"x", b"1e3", b"\xb2"])
def test_an_odd_length_ends_the_call_as_incomplete(value: bytes) -> None:
    wire = Wire()
    wire.call(OK.replace(b"Content-Length: 3", b"Content-Length: " + value))
    assert [type(each) for each in wire.results] == [Incomplete]
    assert not wire.conn.usable
