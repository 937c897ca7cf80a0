"""Splits large answers, so that other messages can be interleaved; no I/O.

An answer is delivered complete or not at all: one cut off by a lost connection is dropped.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple

from foldhoist.admission.body_buffer import BodyBuffer
from foldhoist.exceptions import ProtocolError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from foldhoist.schema.messages import Piece

PIECE_BYTES = 16 * 1024
"""Size of a piece, bytes; bounds how long other messages wait for one on a slow link.

It takes 11 ms on a link of 12 Mbit/s.
"""
LARGE_BODY_BYTES = 1024 * 1024
"""Answers with a larger body are split on every route, bytes."""


class _Remainder(NamedTuple):
    """The part of an answer's body that is still to be sent; `size` is that of the whole body."""

    number: int
    body: memoryview
    size: int


class Fragmenter:
    """Splits the answers sent over one connection; pieces of several answers alternate.

    `limit` is the largest total size of answers that are sent at the same time, bytes; others wait
    for them. The receiver must be able to hold as much. `held_bytes` is the size of the answers
    that are not sent whole, `pending_bytes` what is left to be sent of them.
    """

    def __init__(self, limit: int) -> None:
        self.pending_bytes = 0
        self.held_bytes = 0
        self._limit = limit
        self._next = 1
        self._started_bytes = 0
        self._remainders: deque[_Remainder] = deque()
        self._waiting: deque[Mapping[str, Any]] = deque()

    def first(self, body: Mapping[str, Any]) -> Mapping[str, Any] | None:
        """Return the message to send now, None if the answer has to wait for others.

        `next_answer` returns it then, and `next_piece` the rest of an answer that is split.
        """
        raw: bytes = body.get("body", b"")
        if len(raw) <= PIECE_BYTES:
            return body
        if len(raw) <= LARGE_BODY_BYTES and not body.get("bulk", False):
            return body
        self.pending_bytes += len(raw)
        self.held_bytes += len(raw)
        self._waiting.append(body)
        return self.next_answer()

    def next_answer(self) -> Mapping[str, Any] | None:
        """Return the first part of the next answer that waits, or None if it has to wait on."""
        if not self._waiting:
            return None
        size = len(self._waiting[0]["body"])
        if self._started_bytes and self._started_bytes + size > self._limit:
            return None
        body = self._waiting.popleft()
        number = self._next
        self._next += 1
        rest = memoryview(body["body"])[PIECE_BYTES:]
        self._remainders.append(_Remainder(number, rest, size))
        self._started_bytes += size
        self.pending_bytes -= PIECE_BYTES
        return {**body, "body": body["body"][:PIECE_BYTES], "rest": number}

    def next_piece(self) -> Piece | None:
        """Return the next piece, or None if nothing is left to send."""
        if not self._remainders:
            return None
        rest = self._remainders.popleft()
        sent, left = rest.body[:PIECE_BYTES], rest.body[PIECE_BYTES:]
        self.pending_bytes -= len(sent)
        if left:
            self._remainders.append(rest._replace(body=left))
        else:
            self._started_bytes -= rest.size
            self.held_bytes -= rest.size
        return {"number": rest.number, "last": not left, "body": bytes(sent)}


class _Partial(NamedTuple):
    """An answer whose pieces have not all arrived."""

    body: dict[str, Any]
    buffer: BodyBuffer


class Reassembler:
    """Reassembles the answers received over one connection.

    `limit` is the largest total size of incomplete answers, bytes.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._partials: dict[int, _Partial] = {}
        self.buffered_bytes = 0

    def on_answer(self, body: dict[str, Any]) -> dict[str, Any] | None:
        """Return the answer if it is complete, or None if pieces of it follow.

        Raises ProtocolError if the number is in use or the limit is exceeded.
        """
        number = body.pop("rest", None)
        if number is None:
            return body
        if number in self._partials:
            raise ProtocolError(f"two incomplete answers have number {number}")
        self._partials[number] = _Partial(body, BodyBuffer())
        self._add_buffered(body["body"])
        self._partials[number].buffer.add(body["body"])
        return None

    def on_piece(self, piece: Piece) -> dict[str, Any] | None:
        """Return the answer that this piece completes, or None.

        Raises ProtocolError if the number is unknown or the limit is exceeded.
        """
        partial = self._partials.get(piece["number"])
        if partial is None:
            raise ProtocolError(f"piece of unknown answer {piece['number']}")
        self._add_buffered(piece["body"])
        partial.buffer.add(piece["body"])
        if not piece["last"]:
            return None
        del self._partials[piece["number"]]
        joined = partial.buffer.take()
        self.buffered_bytes -= len(joined)
        return {**partial.body, "body": joined}

    def _add_buffered(self, part: bytes) -> None:
        self.buffered_bytes += len(part)
        if self.buffered_bytes > self._limit:
            raise ProtocolError(f"incomplete answers exceed {self._limit} bytes")
