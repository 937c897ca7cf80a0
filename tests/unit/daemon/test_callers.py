"""Tests of caller connections: limits, invalid and smuggled requests, pipelining."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.stages import FakeTransport, default_settings
from foldhoist.daemon.caller_state import ServerState
from foldhoist.daemon.callers import CallerConnection
from foldhoist.delivery.verdict import Answered, MayHaveRun, NotRun, Response

if TYPE_CHECKING:
    from foldhoist.delivery.call import CallerRequest
    from foldhoist.delivery.verdict import Verdict


class Wire:
    """A caller connection without a socket that records requests; the test answers them."""

    def __init__(self, **limits: int) -> None:
        cfg = default_settings()["limits"]
        cfg.update(limits)  # type: ignore[typeddict-item]
        self.requests: list[CallerRequest] = []
        self.disconnected: list[int] = []
        self.callers = ServerState(cfg, self.record, self.disconnected.append)
        self.transport = FakeTransport()
        self.conn = CallerConnection(self.callers)
        self.conn.connection_made(self.transport)

    def record(self, conn: CallerConnection, req: CallerRequest) -> None:
        self.requests.append(req)
        conn.set_call_id(len(self.requests))

    def send(self, data: bytes) -> bytes:
        self.conn.data_received(data)
        return self.transport.take()


GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
OK = Answered(Response(200, [[b"X-A", b"1"]], b"yes"))


def test_answer_carries_verdict_and_trace() -> None:
    wire = Wire()
    wire.send(GET)
    wire.conn.answer(OK, "t")
    text = wire.transport.take()
    assert text.startswith(b"HTTP/1.1 200 OK\r\n")
    assert b"Foldhoist-Verdict: answered\r\n" in text
    assert text.endswith(b"\r\n\r\nyes")


def test_refusal_carries_retry_after() -> None:
    wire = Wire()
    wire.send(GET)
    wire.conn.answer(NotRun("queue-full", 0.3), "t")
    text = wire.transport.take()
    assert text.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: 1\r\n" in text
    assert b"Foldhoist-Retry-After-Ms: 300\r\n" in text
    assert b"Foldhoist-Reason: queue-full\r\n" in text


def test_may_have_run_is_a_502() -> None:
    wire = Wire()
    wire.send(GET)
    wire.conn.answer(MayHaveRun("owner-gone"), "t")
    assert wire.transport.take().startswith(b"HTTP/1.1 502 ")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", 400),
        (b"GET http://other/ HTTP/1.1\r\nHost: x\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", 400),
        (
            b"POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\nTransfer-Encoding: GZIP, Chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nFoldhoist-Budget-Ms: soon\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nIdempotency-Key: " + b"k" * 201 + b"\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nX: " + b"x" * 2000 + b"\r\n\r\n", 431),
        (b"GET /" + b"a" * 2000 + b" HTTP/1.1\r\n\r\n", 431),
        (b"POST /a HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + b"x" * 900, 413),
        (b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n400\r\n" + b"x" * 1024, 413),
        (b"GET /a HTTP/1.1\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n", 400),
    ],
)
def test_invalid_request_is_refused_and_not_passed_on(data: bytes, status: int) -> None:
    wire = Wire(header_bytes=1000, body_bytes=500)
    text = wire.send(data)
    assert text.startswith(b"HTTP/1.1 %d " % status), text
    assert b"Foldhoist-Verdict: not-run\r\n" in text
    assert wire.requests == []


def test_body_in_many_parts_is_joined() -> None:
    wire = Wire()
    data = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    for at in range(len(data)):
        wire.conn.data_received(data[at : at + 1])
    assert [req.body for req in wire.requests] == [b"abcde"]


def test_pipelined_requests_are_answered_one_at_a_time_in_order() -> None:
    wire = Wire()
    wire.send(GET + GET.replace(b"/a", b"/b"))
    assert [req.path for req in wire.requests] == ["/a"]
    wire.conn.answer(OK, "t")
    assert [req.path for req in wire.requests] == ["/a", "/b"]


def test_slow_request_is_refused() -> None:
    wire = Wire(request_ms=10)
    wire.send(b"GET /a HTT")
    assert wire.conn.expires_at < float("inf")
    wire.conn.on_timeout()
    assert wire.transport.take().startswith(b"HTTP/1.1 408 ")


def test_a_request_that_an_error_of_our_own_hits_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An error beside a request became a 400, without a line, and its call went on."""
    wire = Wire()

    def fail(conn: CallerConnection, req: CallerRequest) -> None:
        wire.record(conn, req)
        raise ValueError("of our own")

    monkeypatch.setattr(wire.callers, "on_request", fail)
    assert wire.send(GET).startswith(b"HTTP/1.1 500 ")
    assert wire.disconnected == [1]
    assert (wire.callers.count.faults, wire.callers.count.bad) == (1, 0)


def test_an_answer_that_can_not_be_encoded_is_replaced(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its caller got no answer, and the answers of others that came with it were lost."""
    wire = Wire()
    wire.send(GET)

    def fail(verdict: Verdict, trace: str) -> None:
        raise ValueError("of our own")

    monkeypatch.setattr(wire.callers.dialect, "answer", fail)
    wire.conn.answer(OK, "t")
    assert wire.transport.take().startswith(b"HTTP/1.1 500 ")
    assert wire.callers.count.faults == 1


def test_a_request_that_can_not_be_read_by_an_error_of_our_own_is_a_500(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Such an error counted as a fault of the caller."""
    wire = Wire()

    def fail(method: str, url: bytes, head: object, body: bytes) -> None:
        raise ValueError("of our own")

    monkeypatch.setattr(wire.callers.dialect, "read_request", fail)
    assert wire.send(GET).startswith(b"HTTP/1.1 500 ")
    assert (wire.callers.count.faults, wire.callers.count.bad) == (1, 0)


def test_connection_above_the_limit_is_refused_and_the_others_stay() -> None:
    wire = Wire(callers=1)
    second = CallerConnection(wire.callers)
    transport = FakeTransport()
    second.connection_made(transport)
    assert transport.take().startswith(b"HTTP/1.1 503 ")
    wire.send(GET)
    assert len(wire.requests) == 1


def test_disconnect_of_a_caller_is_reported() -> None:
    wire = Wire()
    wire.send(GET)
    wire.conn.connection_lost(None)
    assert wire.disconnected == [1]


def test_own_and_hop_by_hop_headers_are_not_forwarded() -> None:
    wire = Wire()
    head = b"Connection: keep-alive, X-Secret\r\nX-Secret: 1\r\nFoldhoist-Hops: 3\r\nX-B: 2\r\n"
    wire.send(b"GET /a HTTP/1.1\r\nHost: x\r\n" + head + b"\r\n")
    assert wire.requests[0].headers == [[b"X-B", b"2"]]
    assert wire.requests[0].hops == 3


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.lists(st.binary(max_size=60), max_size=6), st.booleans())
def test_no_bytes_crash_it(pieces: list[bytes], after_a_request: bool) -> None:
    wire = Wire(header_bytes=1000, body_bytes=500)
    if after_a_request:
        wire.send(b"POST /a HTTP/1.1\r\nContent-Length: 50\r\n\r\n")
    for piece in pieces:
        wire.conn.data_received(piece)
    assert len(wire.requests) <= 1 + len(pieces) * 60


def post(size: int, sent: int | None = None) -> bytes:
    """Return a request with a body of `size` bytes, of which the first `sent` are included."""
    head = f"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n\r\n"
    return head.encode() + b"x" * (size if sent is None else sent)


def test_body_memory_is_bounded_and_refusal_carries_retry_after() -> None:
    wire = Wire(held_bytes=100_000)
    first = CallerConnection(wire.callers)
    first.connection_made(FakeTransport())
    first.data_received(post(70_000, sent=60_000))
    text = wire.send(post(60_000, sent=50_000))
    assert text.startswith(b"HTTP/1.1 503 ")
    assert b"Foldhoist-Reason: bodies-full\r\n" in text
    assert b"Retry-After: 1\r\n" in text
    assert wire.callers.count.bodies_full == 1
    wire.conn.connection_lost(None)
    assert wire.callers.bodies.used == 60_000
    first.connection_lost(None)
    assert wire.callers.bodies.used == 0


def test_body_memory_is_released_with_the_answer() -> None:
    wire = Wire()
    wire.send(post(5000) + post(300))
    assert wire.callers.bodies.used == 5300
    wire.conn.answer(OK, "t")
    assert wire.callers.bodies.used == 300
    wire.conn.answer(OK, "t")
    assert wire.callers.bodies.used == 0


def test_slowest_readers_are_aborted_first() -> None:
    wire = Wire(held_bytes=100_000)
    transports = {size: FakeTransport() for size in (30_000, 80_000, 40_000)}
    for size, transport in transports.items():
        conn = CallerConnection(wire.callers)
        conn.connection_made(transport)
        transport.write(b"x" * size)
        conn.pause_writing()
    wire.callers.abort_slow_readers()
    assert [size for size, transport in transports.items() if transport.aborted] == [80_000]
    assert wire.callers.count.unread == 1


def test_caller_that_has_caught_up_is_not_aborted() -> None:
    wire = Wire(held_bytes=100_000)
    wire.transport.write(b"x" * 200_000)
    wire.conn.pause_writing()
    wire.conn.resume_writing()
    wire.callers.abort_slow_readers()
    assert not wire.transport.aborted


def test_body_memory_is_released_after_a_connection_is_lost_during_calls() -> None:
    wire = Wire()
    wire.send(post(5000) + post(300))
    assert wire.callers.bodies.used == 5300
    wire.send(b"nonsense\r\n\r\n")
    assert wire.callers.bodies.used == 5000
    wire.conn.answer(OK, "t")
    assert b"Connection: close\r\n" in wire.transport.take()
    assert wire.callers.bodies.used == 0
    wire.conn.connection_lost(None)
    assert wire.callers.bodies.used == 0


def test_many_requests_that_wait_and_are_answered_at_once_are_all_answered() -> None:
    """Answers given while a request starts nested until the interpreter's limit, then none came."""
    wire = Wire()
    wire.transport.pause_reading = wire.transport.resume_reading = lambda: None  # type: ignore[method-assign]
    wire.send(GET * 1001)
    wire.callers.on_request = lambda conn, req: conn.answer(OK, "t")
    wire.conn.answer(OK, "t")
    assert wire.transport.take().count(b"HTTP/1.1 200 OK\r\n") == 1001
    assert wire.conn.idle


def test_an_error_after_an_answer_harms_no_later_request() -> None:
    """An error after a request was answered withdrew the next one."""
    wire = Wire()
    wire.send(GET * 4)

    def answer_first_and_fail(conn: CallerConnection, req: CallerRequest) -> None:
        wire.callers.on_request = wire.record
        conn.answer(OK, "t")
        raise ValueError("provoked")

    wire.callers.on_request = answer_first_and_fail
    wire.conn.answer(OK, "t")
    assert wire.transport.take().count(b"HTTP/1.1 ") == 2
    assert (len(wire.requests), wire.disconnected) == (2, [])


def test_an_error_at_an_overdue_connection_keeps_none_of_the_others_open() -> None:
    """An error while an overdue connection was closed left all others open, again and again."""
    wire = Wire()
    others = [CallerConnection(wire.callers) for _ in range(8)]
    for conn in others:
        conn.connection_made(FakeTransport())

    def fail() -> None:
        raise ValueError("provoked")

    for conn in [wire.conn, *others][::2]:
        conn.on_timeout = fail  # type: ignore[method-assign]
    ended: list[CallerConnection] = []
    for conn in others[::2]:
        conn.on_timeout = lambda conn=conn: ended.append(conn)  # type: ignore[misc, method-assign]
    wire.callers._end_overdue(float("inf"))
    assert set(ended) == set(others[::2])
    assert wire.callers.count.faults == 5
