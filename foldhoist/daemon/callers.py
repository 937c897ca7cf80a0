"""The HTTP server for callers: one protocol object per connection, one request at a time.

Requests are parsed by httptools and not by tornado's server to keep the added latency low; see
docs/design/transport.md.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import httptools
from loguru import logger

from foldhoist.admission.body_buffer import BodyBuffer
from foldhoist.daemon.caller_answers import FAULT_ANSWER, encode_answer
from foldhoist.daemon.http import CHUNKED, HeadReader, codings
from foldhoist.daemon.lingering_close import LingeringClose
from foldhoist.daemon.request import BadRequest
from foldhoist.daemon.socket_state import is_readable
from foldhoist.delivery.verdict import MayHaveRun, NotRun, Verdict

if TYPE_CHECKING:
    from foldhoist.daemon.caller_state import ServerState
    from foldhoist.delivery.call import CallerRequest

MAX_PIPELINED = 8
"""Complete requests that may wait on a connection; reading pauses above it."""
WRITE_BUFFER_HIGH_BYTES = 16 * 1024
"""Write buffer size above which a caller counts as a slow reader, bytes."""
OWN_FAULT = "internal-error"
"""Reason of a request that an error of this process has hit."""
HALF_CLOSED_S = 0.25
"""Time to answer a caller that has closed its sending side, seconds; then it counts as gone.

A caller that has closed altogether looks the same until something is written to it.
"""


class _Unanswered(NamedTuple):
    """A complete request that has no answer yet."""

    keep_alive: bool
    body_bytes: int


class CallerConnection(asyncio.Protocol):
    """A caller's connection: parses requests, writes answers and enforces the limits."""

    def __init__(self, state: ServerState) -> None:
        self._state = state
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.expires_at = float("inf")
        self._waiting: deque[CallerRequest | BadRequest] = deque()
        self._unanswered: deque[_Unanswered] = deque()
        self._call_id: int | None = None
        self._busy = False
        self._starting = False
        self._half_closed_until = float("inf")
        self._lingering: LingeringClose | None = None
        self._method = ""
        self._ended = False
        self._in_request = False
        self._body_bytes = 0
        self._reset()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection; refuse it if there are too many, or none is taken any more."""
        assert isinstance(transport, asyncio.Transport)
        if self._state.refusing:
            transport.abort()
            return
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_HIGH_BYTES)
        state = self._state
        state.count.connections += 1
        state.open.add(self)
        if state.is_full:
            state.count.refused_connections += 1
            self._fail(BadRequest(503, "too-many-connections"), discards=False)
            return
        self._set_timer(state.limits["idle_ms"])

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the running call as disconnected and release the memory of all bodies."""
        self._state.open.discard(self)
        self._state.slow_readers.discard(self)
        self._transport = None
        if self._lingering is not None:
            self._lingering.cancel()
        self._ended = True
        call_id, self._call_id = self._call_id, None
        self._let_go()
        if call_id is not None:
            self._state.on_disconnect(call_id)

    def pause_writing(self) -> None:
        """Record that the caller is a slow reader."""
        self._state.slow_readers.add(self)

    def resume_writing(self) -> None:
        """Record that the caller has caught up with reading."""
        self._state.slow_readers.discard(self)

    def data_received(self, data: bytes) -> None:
        """Parse requests; an invalid one ends the connection, once the running one is answered."""
        if self._lingering is not None:
            self._lingering.discard(len(data))
        if self._ended or self._parser is None:
            return
        if not self._in_request and not self._busy:
            self._set_timer(self._state.limits["request_ms"])
        self._in_request = True
        if not self._head_done:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return
        except (httptools.HttpParserError, _RefusedError) as exc:
            if self._ended:
                return
            bad = _fault_of(exc)
            if bad.reason == OWN_FAULT:
                self._count_fault()
            self._reject(bad)
            return
        if not self._head_done and self._head_bytes > self._state.limits["header_bytes"]:
            self._reject(BadRequest(431, "headers-too-large"))

    def eof_received(self) -> bool:
        """Close the connection, unless a complete request of the caller is still to be answered."""
        if not self._busy:
            return False
        if self._half_closed_until == float("inf"):
            self._half_closed_until = time.monotonic() + HALF_CLOSED_S
            self.expires_at = self._half_closed_until
            self._in_request = False
        return True

    def on_message_begin(self) -> None:
        """Reset the state for a new request; none is read once the connection has ended."""
        if self._ended:
            raise _EndedError
        self._reset()
        self._in_request = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url
        if len(self._url) > self._state.limits["header_bytes"]:
            raise _RefusedError(431, "headers-too-large")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header."""
        head = self._head
        head.add(name, value)
        if name.lower() == b"transfer-encoding" and codings(value) != [CHUNKED]:
            raise _RefusedError(400, "unsupported-transfer-coding")
        if head.size + len(self._url) > self._state.limits["header_bytes"]:
            raise _RefusedError(431, "headers-too-large")

    def on_headers_complete(self) -> None:
        """Restart the request timer, and send 100 Continue if the caller expects it."""
        self._head_done = True
        if not self._busy:
            self._set_timer(self._state.limits["request_ms"])
        if self._head.values.get(b"expect", b"").lower() == b"100-continue":
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body and reserve memory for it."""
        size = self._body_bytes + len(body)
        if size > self._state.limits["body_bytes"]:
            raise _RefusedError(413, "body-too-large")
        if not self._state.bodies.has_room(len(body), size):
            raise _RefusedError(503, "bodies-full")
        self._state.bodies.reserve(len(body))
        self._body_bytes = size
        self._body.add(body)

    def on_message_complete(self) -> None:
        """Start the request, or queue it until the previous one is answered."""
        assert self._parser is not None
        self._head_done = True
        self._in_request = False
        method = self._parser.get_method().decode()
        body = self._body.take()
        upgrade = self._parser.should_upgrade()
        keep_alive = self._parser.should_keep_alive() and not upgrade
        self._unanswered.append(_Unanswered(keep_alive, self._body_bytes))
        if upgrade:
            self._waiting.append(BadRequest(400, "upgrade-not-supported"))
        else:
            dialect = self._state.dialect
            self._waiting.append(dialect.read_request(method, self._url, self._head, body))
        self._reset()
        if len(self._waiting) > MAX_PIPELINED and self._transport is not None:
            self._transport.pause_reading()
        self._start_next()

    def set_call_id(self, call_id: int) -> None:
        """Set the id of the call that serves the current request."""
        self._call_id = call_id

    def answer(self, verdict: Verdict, trace: str) -> None:
        """Write the answer to the current request; start the next one or close the connection.

        A connection that is to be closed is closed after the requests that have begun to arrive.
        """
        self._call_id = None
        self._busy = False
        answered = self._unanswered.popleft()
        ends = self._state.closing or self._half_closed_until < float("inf")
        begun = bool(self._waiting) or self._in_request
        keep_alive = answered.keep_alive and (begun or not ends)
        self._state.bodies.release(answered.body_bytes)
        try:
            data = encode_answer(self._state.dialect, verdict, trace, self._method, keep_alive)
        except Exception:
            self._count_fault()
            data, keep_alive = FAULT_ANSWER, False
        self._write(data)
        if not keep_alive:
            self._linger(discards=self._in_request)
            return
        limits = self._state.limits
        self._set_timer(limits["request_ms"] if self._in_request else limits["idle_ms"])
        if self._transport is not None and len(self._waiting) <= MAX_PIPELINED:
            self._transport.resume_reading()
        self._start_next()

    @property
    def ended(self) -> bool:
        """Return whether no further request is taken, as the last answer is being sent."""
        return self._ended

    @property
    def idle(self) -> bool:
        """Return whether no request is being received or served, and no last answer is sent."""
        return not self._busy and not self._in_request and not self._ended

    @property
    def unread_bytes(self) -> int:
        """Return the bytes of answers in the write buffer."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def close(self) -> None:
        """Close the connection after the write buffer is sent, unless a request waits unread."""
        if not self._ended and not self._has_unread():
            self._end()

    def abort(self) -> None:
        """Close the connection at once and discard the write buffer."""
        if self._transport is not None:
            self._transport.abort()

    def _start_next(self) -> None:
        """Start the requests that wait until one runs; each may be answered before it returns."""
        if self._starting:
            return
        self._starting = True
        while self._waiting and not self._busy and not self._ended:
            self._start(self._waiting.popleft())
        self._starting = False

    def _start(self, req: CallerRequest | BadRequest) -> None:
        if isinstance(req, BadRequest):
            self._fail(req)
            return
        self._busy = True
        self.expires_at = self._half_closed_until
        self._method = req.method
        try:
            self._state.on_request(self, req)
        except Exception:
            self._on_fault()

    def _on_fault(self) -> None:
        """Withdraw and answer the current request, which an error of this process has hit."""
        self._count_fault()
        if not self._busy:
            return
        call_id, self._call_id = self._call_id, None
        if call_id is not None:
            self._state.on_disconnect(call_id)
        self._unanswered[0] = self._unanswered[0]._replace(keep_alive=False)
        self.answer(MayHaveRun(OWN_FAULT, 500), "")

    def _count_fault(self) -> None:
        """Count and log the error that is being handled."""
        self._state.count.faults += 1
        logger.opt(exception=True).error("a request of a caller failed by an error of this daemon")

    def _reset(self) -> None:
        self._url = b""
        self._head = HeadReader(self._state.dialect.caller_rules)
        self._body = BodyBuffer()
        self._body_bytes = 0
        self._head_bytes = 0
        self._head_done = False
        self._in_request = False

    def _reject(self, bad: BadRequest) -> None:
        if self._busy:
            self._ended = True
            self._unanswered[0] = self._unanswered[0]._replace(keep_alive=False)
            self._let_go()
            return
        self._fail(bad)

    def _fail(self, bad: BadRequest, discards: bool = True) -> None:
        if bad.reason == "bodies-full":
            self._state.count.bodies_full += 1
        elif bad.status in (413, 431):
            self._state.count.too_large += 1
        elif bad.reason != OWN_FAULT:
            self._state.count.bad += 1
        verdict = NotRun(bad.reason, 1.0 if bad.status == 503 else 0.0, bad.status)
        self._write(encode_answer(self._state.dialect, verdict, "", "", keep_alive=False))
        self._linger(discards)

    def on_timeout(self) -> None:
        """Close the overdue connection; a request that is being received is answered with 408."""
        if self._busy:
            self.abort()
            return
        if self._in_request:
            self._state.count.slow += 1
            self._fail(BadRequest(408, "request-too-slow"))
            return
        self.close()

    def _has_unread(self) -> bool:
        """Return whether the system holds bytes of the caller, as it does if the loop was late."""
        return self._transport is not None and is_readable(self._transport)

    def _end(self) -> None:
        self._ended = True
        self.expires_at = float("inf")
        self._let_go()
        if self._transport is not None:
            self._transport.close()

    def _linger(self, discards: bool) -> None:
        """Close the connection after its last answer; bytes that still come may be discarded."""
        self._ended = True
        self.expires_at = float("inf")
        self._let_go()
        if self._transport is not None:
            self._lingering = LingeringClose(self._transport, discards)
            self._lingering.start()

    def _let_go(self) -> None:
        """Drop what has been received, apart from the request that runs; nothing more is parsed.

        The parser refers to this connection, so that only a garbage collection would free both.
        """
        running = 1 if self._call_id is not None else 0
        while len(self._unanswered) > running:
            self._state.bodies.release(self._unanswered.pop().body_bytes)
        self._waiting.clear()
        self._state.bodies.release(self._body_bytes)
        in_request = self._in_request
        self._reset()
        self._in_request = in_request
        self._parser = None

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def _set_timer(self, ms: int) -> None:
        self.expires_at = min(time.monotonic() + ms / 1000, self._half_closed_until)


class _EndedError(Exception):
    """A request begins on a connection that has ended."""


class _RefusedError(Exception):
    """A part of a request exceeds its limit, or is not supported."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.bad = BadRequest(status, reason)


def _fault_of(exc: BaseException) -> BadRequest:
    cause = exc.__context__ if not isinstance(exc, _RefusedError) else exc
    if isinstance(cause, _RefusedError):
        return cause.bad
    if isinstance(exc, httptools.HttpParserCallbackError):
        return BadRequest(500, OWN_FAULT)
    return BadRequest(400, "malformed-request")
