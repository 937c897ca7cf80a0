"""A connection to the upstream; only a complete answer allows another call on it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import httptools

from foldhoist.admission.body_buffer import BodyBuffer
from foldhoist.admission.body_memory import BodyMemory
from foldhoist.daemon.answer_size import AnswerSize, pieces
from foldhoist.daemon.dialect import DefaultDialect
from foldhoist.daemon.http import CHUNKED, HeadReader, codings, parse_count
from foldhoist.daemon.paced_writer import PIECE_BYTES, PacedWriter
from foldhoist.delivery.dispatch import Incomplete, Result, StartCall

if TYPE_CHECKING:
    from collections.abc import Callable

    from foldhoist.daemon.dialect import Dialect
    from foldhoist.delivery.signal_state import AnswerSignals

MAX_IDLE_S = 20.0
"""Maximum idle time after which a connection is still reused, seconds."""
IDLE_MARGIN_S = 1.5
"""Subtracted from the timeout in an upstream's Keep-Alive header, seconds."""
CONNECTION_LOST = "upstream-connection-lost"
"""Reason of a call whose connection was lost before its answer was complete."""
HEAD_TOO_LARGE = "answer-head-too-large"
"""Reason of a call whose answer has too many bytes outside of its body."""
BODY_TOO_LARGE = "answer-too-large"
"""Reason of a call whose answer has a body above the limit."""
MAX_BODIES = 2
"""Largest bodies that may arrive for one call: its own, and a surplus one of another call."""


class _TooLargeError(Exception):
    """The body of an answer exceeds a limit."""


class _UnsupportedCodingError(Exception):
    """The body of an answer has a transfer coding other than chunks."""


class UpstreamConnection(asyncio.Protocol):
    """A connection that runs one call at a time; `on_end` is called once per call.

    `on_signals` is called with the signals in the head of an answer. `bodies` counts the memory of
    incomplete bodies on all connections.
    """

    def __init__(
        self,
        max_body_bytes: int,
        on_end: Callable[[UpstreamConnection, Result], None],
        dialect: Dialect | None = None,
        on_signals: Callable[[int, AnswerSignals], None] | None = None,
        bodies: BodyMemory | None = None,
    ) -> None:
        dialect = dialect or DefaultDialect()
        self.ticket = 0
        self.idle_since = 0.0
        self.idle_s = MAX_IDLE_S
        self._dialect = dialect
        self._call: StartCall | None = None
        self._max_body_bytes = max_body_bytes
        self._on_end = on_end
        self._on_signals = on_signals
        self._bodies = bodies if bodies is not None else BodyMemory(MAX_BODIES * max_body_bytes)
        self._body_bytes = 0
        self.size = AnswerSize()
        self._transport: asyncio.Transport | None = None
        self._writer: PacedWriter | None = None
        self._running = False
        self._sent = False
        self._is_head = False
        self._complete = False
        self._result: Result | None = None
        self.head = HeadReader(dialect.upstream_rules)
        self._reset(is_head=False)

    @property
    def connected(self) -> bool:
        """Return whether the connection is open; False once its end has been read."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def usable(self) -> bool:
        """Return whether the connection can take another call."""
        return self.connected and not self._running and self._reusable

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=PIECE_BYTES)
        self._writer = PacedWriter(transport)

    def pause_writing(self) -> None:
        """Let the rest of a request wait until the upstream has read more of it."""
        if self._writer is not None:
            self._writer.pause()

    def resume_writing(self) -> None:
        """Send more of a request."""
        if self._writer is not None:
            self._writer.resume()

    def call(self, call: StartCall, head: bytes, body: bytes = b"") -> None:
        """Send the request of a call, whose head is encoded."""
        self.ticket = call.ticket
        self._call = call
        self._reset(call.request["method"] == "HEAD")
        self._running = True
        self._sent = True
        assert self._writer is not None
        self._writer.write(head, body)

    def abort(self, reason: str) -> None:
        """Close the connection at once; a running call ends as incomplete."""
        self._reusable = False
        if self._transport is not None:
            self._transport.abort()
        if self._writer is not None:
            self._writer.drop()
        self._finish(Incomplete(self._sent, reason))

    def connection_lost(self, exc: Exception | None) -> None:
        """End the running call; only an answer that lasts until the connection ends is complete."""
        self._transport = None
        if self._writer is not None:
            self._writer.drop()
        self._reusable = False
        if self._running and self._until_close and exc is None:
            result = self._interpret()
            if result is not None:
                self._finish(result)
        self._finish(Incomplete(self._sent, CONNECTION_LOST))
        self._let_go()

    def data_received(self, data: bytes) -> None:
        """Parse an answer; bytes without a running call close the connection."""
        if not self._running:
            self.abort("bytes-without-request")
            return
        for piece in pieces(data):
            if self._result is not None:
                self._close_after = True
                break
            fault = self._parse(piece)
            if fault:
                self.abort(fault)
                return
        if self._result is not None:
            self._finish(self._result)

    def _parse(self, piece: bytes) -> str:
        """Parse a part of an answer; returns the reason to close the connection, or empty."""
        self.size.received += len(piece)
        if self._parser is None:
            return ""
        try:
            self._parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            if self._result is not None:
                self._close_after = True
                return ""
            too_large = isinstance(exc.__context__, _TooLargeError)
            return BODY_TOO_LARGE if too_large else "malformed-answer"
        if self._result is None and self.size.head_too_large:
            return HEAD_TOO_LARGE
        return ""

    def on_message_begin(self) -> None:
        """Rule out reuse of the connection if a second answer to one request begins."""
        if self._complete:
            self._reusable = False
            self._close_after = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header; those after the body are dropped, as they were not in the head."""
        if self._complete or self._head_done:
            return
        lower = name.lower()
        if lower == b"content-length":
            self._announced_bytes = parse_count(value) or 0
        if lower == b"transfer-encoding" and codings(value) != [CHUNKED]:
            raise _UnsupportedCodingError
        if lower in (b"content-length", b"transfer-encoding"):
            self._framed = True
            return
        self.head.add(name, value)

    def on_headers_complete(self) -> None:
        """Record the status and how the body ends; an answer to HEAD is complete here."""
        if self._complete or self._parser is None:
            return
        self._head_done = True
        self._status = self._parser.get_status_code()
        if self._status < 200:
            return
        self._keep_alive = self._parser.should_keep_alive()
        self._pass_signals()
        if not self._running:
            return
        if self._announced_bytes > self._max_body_bytes and not self._is_head:
            raise _TooLargeError
        self._until_close = (
            not self._framed and self._status not in (204, 304) and not self._is_head
        )
        if self._is_head:
            self._reusable = False
            self._close_after = True
            self._complete = True
            self._result = self._interpret()
            if self._result is None:
                self._result = Incomplete(True, "answer-to-another-call")

    def on_chunk_header(self) -> None:
        """Count a chunk."""
        self.size.chunks += 1

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        if self._complete:
            return
        size = len(body)
        self.size.bodies += size
        body_bytes = self._body_bytes + size
        if body_bytes > self._max_body_bytes or not self._bodies.has_made_room(size, body_bytes):
            raise _TooLargeError
        if self.size.bodies > MAX_BODIES * self._max_body_bytes:
            raise _TooLargeError
        self._bodies.reserve(size)
        self._body_bytes = body_bytes
        self._body.add(body)

    def on_message_complete(self) -> None:
        """Mark the answer as complete; skips interim answers and those to another call.

        The call ends once the received bytes are parsed.
        """
        if self._complete:
            return
        result = self._interpret() if self._status >= 200 else None
        if result is None:
            self._reset_answer()
            return
        self._complete = True
        self._result = result

    def _reset(self, is_head: bool) -> None:
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.size = AnswerSize()
        self._is_head = is_head
        self._result = None
        self._reset_answer()
        self._keep_alive = False
        self._complete = False
        self._close_after = False
        self._reusable = True

    def _reset_answer(self) -> None:
        self.head = HeadReader(self._dialect.upstream_rules)
        self._body = BodyBuffer()
        self._release_body()
        self._announced_bytes = 0
        self._status = 0
        self._framed = False
        self._head_done = False
        self._until_close = False

    def _release_body(self) -> None:
        """Count the memory of the body as free; whoever gets the result holds it from now on."""
        self._bodies.release(self._body_bytes)
        self._body_bytes = 0

    def _pass_signals(self) -> None:
        """Pass on the signals when the head is complete; the end of a large answer may be far."""
        if self._on_signals is None or self._call is None:
            return
        signals = self._dialect.signals(self._status, self.head, self._call)
        if signals is not None:
            self._on_signals(self.ticket, signals)

    def _interpret(self) -> Result | None:
        """Return the result of the answer, or None if it belongs to another call."""
        assert self._call is not None
        body = self._body.take()
        result = self._dialect.result(self._status, self.head, body, self._call)
        if isinstance(result, Incomplete):
            self._close_after = True
        return result

    def _finish(self, result: Result) -> None:
        if not self._running:
            return
        self._running = False
        if self._complete:
            sent = self._writer is None or not self._writer.blocked
            self._reusable = self._keep_alive and not self._close_after and sent
            self.idle_s = _idle_s(self.head)
        self._let_go()
        self._on_end(self, result)

    def _let_go(self) -> None:
        """Drop the call and what has been received; nothing more is parsed for this call.

        The parser refers to this connection, so that only a garbage collection would free both.
        """
        self._reset_answer()
        self._complete = True
        self._result = None
        self._call = None
        self._parser = None


def _idle_s(head: HeadReader) -> float:
    """Return how long the connection may be idle, limited by a Keep-Alive header, seconds."""
    for part in head.values.get(b"keep-alive", b"").split(b","):
        name, _, value = part.partition(b"=")
        seconds = parse_count(value)
        if name.strip().lower() == b"timeout" and seconds is not None:
            return min(MAX_IDLE_S, max(0.0, seconds - IDLE_MARGIN_S))
    return MAX_IDLE_S
