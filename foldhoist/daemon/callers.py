"""The HTTP server for callers: one protocol object per connection, one request at a time.

Requests are parsed by httptools and not by tornado's server to keep the added latency low; see
docs/design/transport.md.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import TYPE_CHECKING

from loguru import logger

from foldhoist.admission.body_memory import TINY_RESERVE
from foldhoist.daemon.caller_answers import FAULT_ANSWER, encode_answer
from foldhoist.daemon.caller_input import CallerInput
from foldhoist.daemon.caller_output import CallerOutput
from foldhoist.daemon.caller_state import TOO_MANY
from foldhoist.daemon.request import BadRequest
from foldhoist.daemon.request_reader import BODIES_FULL, OWN_FAULT
from foldhoist.daemon.socket_state import is_readable
from foldhoist.delivery.verdict import MayHaveRun, NotRun, Verdict

if TYPE_CHECKING:
    from foldhoist.daemon.caller_state import ServerState
    from foldhoist.daemon.request_reader import Received, RequestReader
    from foldhoist.delivery.call import CallerRequest

MAX_PIPELINED = 8
"""Complete requests that may wait on a connection; nothing more of it is parsed above it."""
HALF_CLOSED_S = 0.25
"""Time to answer a caller that has closed its sending side, seconds; then it counts as gone.

A caller that has closed altogether looks the same until something is written to it.
"""


class CallerConnection(asyncio.BufferedProtocol):
    """A caller's connection: parses requests, writes answers and enforces the limits.

    It `is_blocked` while the caller has not taken everything that was written.
    """

    def __init__(self, state: ServerState) -> None:
        self._state = state
        self._transport: asyncio.Transport | None = None
        self._output: CallerOutput | None = None
        self._input = CallerInput(state, self)
        self.expires_at = float("inf")
        self.waits_since = float("inf")
        self.has_been_answered = False
        self._waiting: deque[CallerRequest | BadRequest] = deque()
        self._unanswered: deque[Received] = deque()
        self._call_id: int | None = None
        self._busy = False
        self._starting = False
        self._half_closed_until = float("inf")
        self.is_blocked = False
        self.blocked_since = 0.0
        self._method = ""
        self._ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection; refuse it if there are too many, or none is taken any more."""
        assert isinstance(transport, asyncio.Transport)
        if self._state.refusing or not self._state.may_open:
            transport.abort()
            return
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        self._output = CallerOutput(transport, self._state.memory)
        self._input.transport = transport
        state = self._state
        state.count.connections += 1
        state.add(self)
        if state.is_full:
            state.close_for_another()
        if state.is_full:
            state.count.refused_connections += 1
            self._fail(BadRequest(503, TOO_MANY), discards=False)
            return
        self._set_timer(state.limits["idle_ms"])

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the running call as disconnected and release the memory of all bodies."""
        self._state.remove(self)
        self._transport = None
        if self._output is not None:
            self._output.drop()
        self._ended = True
        call_id, self._call_id = self._call_id, None
        self._let_go()
        if call_id is not None:
            self._state.on_disconnect(call_id)

    def pause_writing(self) -> None:
        """Record that the caller is a slow reader."""
        self.is_blocked = True
        if self._output is not None:
            self._output.pause()
        self.blocked_since = time.monotonic()
        self._state.slow_readers.add(self)

    def resume_writing(self) -> None:
        """Write on; once the caller has caught up with reading, go on with its requests."""
        self.is_blocked = False
        if self._output is not None:
            self._output.resume()
        if self.is_blocked:
            return
        self._state.slow_readers.discard(self)
        if self._half_closed_until < float("inf"):
            self._half_closed_until = time.monotonic() + HALF_CLOSED_S
        if self._ended:
            self._leave_place()
        else:
            self._go_on()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to receive into, which all connections share."""
        return self._state.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle what was received into the buffer."""
        self.data_received(bytes(self._state.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse requests; an invalid one ends the connection, once the running one is answered."""
        if self._ended:
            if self._output is not None:
                self._output.discard(len(data))
            return
        if self._input.is_empty and not self._busy:
            self._set_timer(self._state.limits["request_ms"])
        self._input.receive(data)
        self._input.parse_on()

    def parse_on(self) -> None:
        """Parse on, as it is this connection's turn."""
        self._input.parse_on()

    def eof_received(self) -> bool:
        """Close the connection, unless a complete request of the caller is still to be answered."""
        if self.is_blocked and not self._waiting:
            self._end(lingers=False)
            return True
        if not self._busy and not self._waiting:
            return False
        if self._half_closed_until == float("inf"):
            self._half_closed_until = time.monotonic() + HALF_CLOSED_S
            if self._busy:
                self.expires_at = self._half_closed_until
            self._input.reader.in_request = False
        return True

    def on_head(self, expects_continue: bool) -> None:
        """Restart the request timer, and send 100 Continue if the caller expects it."""
        if not self._busy:
            self._set_timer(self._state.limits["request_ms"])
        if expects_continue:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_request(self, received: Received) -> None:
        """Start a request, or queue it until the previous one is answered."""
        self._unanswered.append(received)
        self._waiting.append(received.request)
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
        self.has_been_answered = True
        answered = self._unanswered.popleft()
        ends = self._state.closing or self._half_closed_until < float("inf")
        begun = bool(self._waiting) or not self._input.is_empty
        keep_alive = answered.keep_alive and (begun or not ends)
        self._release(answered)
        try:
            data = encode_answer(self._state.dialect, verdict, trace, self._method, keep_alive)
        except Exception:
            self._count_fault()
            data, keep_alive = FAULT_ANSWER, False
        self._write(data.head, data.body)
        if self.is_blocked:
            self._state.memory.has_made_room(0, 1.0 - TINY_RESERVE)
        if not keep_alive:
            self._end(lingers=True, discards=self._input.in_request)
            return
        self._go_on()

    @property
    def ended(self) -> bool:
        """Return whether no further request is taken, as the last answer is being sent."""
        return self._ended

    @property
    def idle(self) -> bool:
        """Return whether no request is being received or served, and no answer is being sent."""
        return self.waits_for_request and self._input.is_empty

    @property
    def unread_bytes(self) -> int:
        """Return the bytes of answers that are written and not sent yet."""
        if self._transport is None or self._output is None:
            return 0
        return self._output.unread_bytes

    @property
    def answer_bytes(self) -> int:
        """Return the memory that unread answers take."""
        return self._output.held_bytes if self._output is not None else 0

    @property
    def waits_for_request(self) -> bool:
        """Return whether no whole request of the caller has been read that is not answered yet."""
        return not self._busy and not self._ended and not self.is_blocked and not self._waiting

    @property
    def arriving(self) -> RequestReader | None:
        """Return the reader of a request that is arriving, None if none is."""
        return self._input.reader if self._input.in_request and not self._ended else None

    def give_way(self, reason: str) -> None:
        """End the connection for other callers' sake; a request that is arriving is refused."""
        self._state.count.gave_way += 1
        if self.is_blocked:
            self._state.count.unread += 1
            self.abort()
        elif self._input.in_request:
            self._reject(BadRequest(503, reason))
        else:
            self.close()

    def close(self) -> None:
        """Close the connection after what is written is sent, unless a request waits unread."""
        unread = self._transport is not None and is_readable(self._transport)
        if not self._ended and not unread:
            self._end(lingers=False)

    def abort(self) -> None:
        """Close the connection at once and discard what is written."""
        self._ended = True
        self._leave_place()
        self.is_blocked = False
        if self._output is not None:
            self._output.drop()
        if self._transport is not None:
            self._transport.abort()

    @property
    def takes_requests(self) -> bool:
        """Return whether another request is parsed now."""
        return not self._ended and len(self._waiting) <= MAX_PIPELINED and not self.is_blocked

    def on_refusal(self, bad: BadRequest) -> None:
        """End the connection, once the request that runs is answered."""
        if bad.reason == OWN_FAULT:
            self._count_fault()
        self._reject(bad)

    def _go_on(self) -> None:
        """Go on with what has been received, once an answer is written and sent."""
        if self.is_blocked:
            self._watch_reading()
            return
        limits = self._state.limits
        self._set_timer(limits["request_ms"] if self._input.in_request else limits["idle_ms"])
        self._start_next()
        self.parse_on()

    def _start_next(self) -> None:
        """Start the requests that wait until one runs; each may be answered before it returns."""
        if self._starting:
            return
        self._starting = True
        while self._waiting and not self._busy and not self._ended and not self.is_blocked:
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

    def _reject(self, bad: BadRequest) -> None:
        if self._busy:
            self._ended = True
            self._unanswered[0] = self._unanswered[0]._replace(keep_alive=False)
            self._let_go()
            return
        self._fail(bad)

    def _fail(self, bad: BadRequest, discards: bool = True) -> None:
        if bad.reason == BODIES_FULL:
            self._state.count.bodies_full += 1
        elif bad.status in (413, 431):
            self._state.count.too_large += 1
        elif bad.reason != OWN_FAULT:
            self._state.count.bad += 1
        verdict = NotRun(bad.reason, 1.0 if bad.status == 503 else 0.0, bad.status)
        data = encode_answer(self._state.dialect, verdict, "", "", keep_alive=False)
        self._write(data.head, data.body)
        self._end(lingers=True, discards=discards)

    def on_timeout(self) -> None:
        """Close the overdue connection; a request that is being received is answered with 408."""
        if self._busy:
            self.abort()
            return
        if self.is_blocked:
            self._check_reading()
            return
        if self._input.in_request:
            self._state.count.slow += 1
            self._fail(BadRequest(408, "request-too-slow"))
            return
        self.close()

    def _check_reading(self) -> None:
        """Abort the connection of a caller that has taken next to nothing of its answer."""
        if self._output is not None and self._output.stands_still():
            self._state.count.unread += 1
            self.abort()
            return
        self._watch_reading()

    def _end(self, *, lingers: bool, discards: bool = False) -> None:
        """Close the connection after its last answer; see `CallerOutput.end`."""
        self._ended = True
        self._let_go()
        if self._output is not None and self._transport is not None:
            self._output.end(lingers=lingers, discards=discards)
        if self.is_blocked:
            self._watch_reading()
        else:
            self._leave_place()

    def _leave_place(self) -> None:
        """Count no longer against the limit, as the last answer is sent or dropped."""
        self.expires_at = float("inf")
        if self._transport is not None:
            self._state.placeless.add(self)

    def _watch_reading(self) -> None:
        """Have `on_timeout` check how much the caller takes of its answer."""
        self.expires_at = time.monotonic() + self._state.limits["idle_ms"] / 1000

    def _let_go(self) -> None:
        """Drop what has been received, apart from the request that runs; nothing more is parsed."""
        running = 1 if self._call_id is not None else 0
        while len(self._unanswered) > running:
            self._release(self._unanswered.pop())
        self._waiting.clear()
        self._input.close()

    def _release(self, received: Received) -> None:
        self._state.bodies.release(received.body_bytes)
        self._state.memory.release(received.cost_bytes)

    def _write(self, head: bytes, body: bytes = b"") -> None:
        if self._output is not None and self._transport is not None:
            self._output.write(head, body)

    def _set_timer(self, ms: int) -> None:
        self.waits_since = time.monotonic()
        self.expires_at = min(self.waits_since + ms / 1000, self._half_closed_until)
