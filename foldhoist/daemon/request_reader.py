"""Parses the requests of one caller's connection, within the limits of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

import httptools

from foldhoist.admission.body_buffer import BodyBuffer
from foldhoist.daemon.http import CHUNKED, HeadReader, codings
from foldhoist.daemon.request import BadRequest

if TYPE_CHECKING:
    from foldhoist.daemon.caller_state import ServerState
    from foldhoist.delivery.call import CallerRequest

OWN_FAULT = "internal-error"
"""Reason of a request that an error of this process has hit."""
BODIES_FULL = "bodies-full"
"""Reason of a request for which there is no room."""
MIN_PIECE_BYTES = 1024
"""Bytes that are parsed before their cost is looked at; doubles while they cost little."""
MAX_PIECE_BYTES = 16 * 1024
"""Most bytes that are parsed at a time."""
MIN_PART_BYTES = 16
"""Mean size of the parts of a piece below which it costs much, bytes."""
REQUEST_PARTS = 8
"""Parts for which a whole request counts, beside its headers and chunks."""
REQUEST_COST_BYTES = 2048
"""Memory of a request and its call in addition to its headers and body, bytes."""


class Received(NamedTuple):
    """A whole request; `body_bytes` and `cost_bytes` are counted as held until its answer."""

    request: CallerRequest | BadRequest
    keep_alive: bool
    body_bytes: int
    cost_bytes: int


class Listener(Protocol):
    """What is told of the requests of a connection."""

    @property
    def ended(self) -> bool:
        """Return whether no further request is taken."""

    def on_head(self, expects_continue: bool) -> None:
        """Handle the end of a head."""

    def on_request(self, received: Received) -> None:
        """Handle a whole request."""


class RefusedError(Exception):
    """A part of a request exceeds its limit, or is not supported."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.bad = BadRequest(status, reason)


class EndedError(Exception):
    """A request begins on a connection that has ended."""


class RequestReader:
    """Feeds a parser and collects the request that it reports; `close` must be called.

    `feed` takes `piece_bytes` at most. `parts` counts what the last piece consisted of, which
    `is_heavy` if these were very small.
    """

    def __init__(self, state: ServerState, listener: Listener) -> None:
        self._state = state
        self._listener: Listener | None = listener
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.parts = 0
        self.in_request = False
        self.body_bytes = 0
        self.cost_bytes = 0
        self.began_at = 0.0
        self.is_heavy = False
        self.piece_bytes = MIN_PIECE_BYTES
        self._reset()

    @property
    def held_bytes(self) -> int:
        """Return the memory that the request which is arriving takes so far."""
        return self.body_bytes + self.cost_bytes

    def byte_seconds(self, now: float) -> float:
        """Return the memory that the request takes times how long it has been arriving."""
        return self.held_bytes * max(0.0, now - self.began_at)

    def feed(self, piece: bytes) -> None:
        """Parse the next piece; raises what `refusal_of` translates if it is refused."""
        if self._parser is None:
            return
        self.parts = 0
        if not self._head_done:
            self._head_bytes += len(piece)
        self._parser.feed_data(piece)
        self._weigh(len(piece))
        if self._listener is None or self._listener.ended:
            return
        if not self._head_done and self._head_bytes > self._state.limits["header_bytes"]:
            raise RefusedError(431, "headers-too-large")
        self._count_cost()

    def _weigh(self, size: int) -> None:
        self.is_heavy = self.parts * MIN_PART_BYTES > max(size, MIN_PIECE_BYTES)
        if self.is_heavy or not self._head_done:
            self.piece_bytes = MIN_PIECE_BYTES
        else:
            self.piece_bytes = min(MAX_PIECE_BYTES, 2 * self.piece_bytes)

    def drop(self) -> None:
        """Drop the request that is arriving, and release its memory."""
        self._state.bodies.release(self.body_bytes)
        self._state.memory.release(self.cost_bytes)
        in_request = self.in_request
        self._reset()
        self.in_request = in_request

    def close(self) -> None:
        """Drop everything; nothing more is parsed.

        The parser refers to this reader, so that only a garbage collection would free both.
        """
        self.drop()
        self._parser = None
        self._listener = None

    def on_message_begin(self) -> None:
        """Reset the state for a new request; none is read once the connection has ended."""
        if self._listener is None or self._listener.ended:
            raise EndedError
        if self.held_bytes:
            self.drop()
        self._head_bytes = 0
        self.in_request = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url
        if len(self._url) > self._state.limits["header_bytes"]:
            raise RefusedError(431, "headers-too-large")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header; those behind a body count towards the same limit."""
        self.parts += 1
        head = self._head
        head.add(name, value)
        if name.lower() == b"transfer-encoding" and codings(value) != [CHUNKED]:
            raise RefusedError(400, "unsupported-transfer-coding")
        if head.size + len(self._url) > self._state.limits["header_bytes"]:
            raise RefusedError(431, "headers-too-large")

    def on_headers_complete(self) -> None:
        """Tell of the end of the head."""
        self._head_done = True
        if self._listener is not None:
            expects = self._head.values.get(b"expect", b"").lower() == b"100-continue"
            self._listener.on_head(expects)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body and reserve memory for it."""
        self.parts += 1
        size = self.body_bytes + len(body)
        if size > self._state.limits["body_bytes"]:
            raise RefusedError(413, "body-too-large")
        if not self._state.has_room(self, len(body), size):
            raise RefusedError(503, BODIES_FULL)
        self._state.bodies.reserve(len(body))
        self.body_bytes = size
        self._body.add(body)

    def on_message_complete(self) -> None:
        """Hand on the request with its memory."""
        assert self._parser is not None
        self.parts += REQUEST_PARTS
        self._head_done = True
        method = self._parser.get_method().decode()
        upgrade = self._parser.should_upgrade()
        keep_alive = self._parser.should_keep_alive() and not upgrade
        self._count_cost()
        body = self._body.take()
        request: CallerRequest | BadRequest
        if upgrade:
            request = BadRequest(400, "upgrade-not-supported")
        else:
            request = self._state.dialect.read_request(method, self._url, self._head, body)
        received = Received(request, keep_alive, self.body_bytes, self.cost_bytes)
        self._reset()
        if self._listener is not None:
            self._listener.on_request(received)

    def _count_cost(self) -> None:
        """Reserve memory for what has come of the request beside its body."""
        if not self.in_request:
            return
        cost = REQUEST_COST_BYTES + self._head.cost_bytes + len(self._url)
        added = cost - self.cost_bytes
        memory = self._state.memory
        if added and memory.is_short(added) and not self._state.has_room(self, added, 0):
            raise RefusedError(503, BODIES_FULL)
        memory.reserve(added)
        self.cost_bytes = cost

    def _reset(self) -> None:
        self._url = b""
        self._head = HeadReader(self._state.dialect.caller_rules)
        self._body = BodyBuffer()
        self.body_bytes = 0
        self.cost_bytes = 0
        self._head_bytes = 0
        self._head_done = False
        self.in_request = False


def refusal_of(exc: BaseException) -> BadRequest:
    """Return with what a request is refused whose parsing has raised this."""
    cause = exc.__context__ if not isinstance(exc, RefusedError) else exc
    if isinstance(cause, RefusedError):
        return cause.bad
    if isinstance(exc, httptools.HttpParserCallbackError):
        return BadRequest(500, OWN_FAULT)
    return BadRequest(400, "malformed-request")
