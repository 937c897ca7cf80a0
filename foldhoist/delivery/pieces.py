"""Large answers in pieces, so that other messages of the same connection go in between; no I/O.

A message is handed on whole or not at all: what the connection's end has cut off is dropped.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple

from foldhoist.exceptions import ProtocolError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from foldhoist.schema.messages import Piece

PIECE_BYTES = 16 * 1024
"""Size of a piece, bytes: 11 ms on a link of 12 Mbit/s, the most that others wait for it."""


class _Remainder(NamedTuple):
    """What is left to send of an answer's body."""

    number: int
    body: memoryview


class Fragmenter:
    """Cuts the answers that one connection sends; pieces of several go by turns."""

    def __init__(self) -> None:
        self.pending = 0
        self._next = 1
        self._remainders: deque[_Remainder] = deque()

    def first(self, body: Mapping[str, Any]) -> Mapping[str, Any]:
        """Return the message to send first; the rest of a large answer follows by `piece`."""
        raw: bytes = body.get("body", b"")
        if len(raw) <= PIECE_BYTES or not body.get("bulk", False):
            return body
        number = self._next
        self._next += 1
        self._remainders.append(_Remainder(number, memoryview(raw)[PIECE_BYTES:]))
        self.pending += len(raw) - PIECE_BYTES
        return {**body, "body": raw[:PIECE_BYTES], "rest": number}

    def next_piece(self) -> Piece | None:
        """Return the next piece, None if nothing is left to send."""
        if not self._remainders:
            return None
        rest = self._remainders.popleft()
        sent, left = rest.body[:PIECE_BYTES], rest.body[PIECE_BYTES:]
        self.pending -= len(sent)
        if left:
            self._remainders.append(_Remainder(rest.number, left))
        return {"number": rest.number, "last": not left, "body": bytes(sent)}


class _Partial(NamedTuple):
    """An answer of which more is to come."""

    body: dict[str, Any]
    parts: list[bytes]


class Reassembler:
    """Puts together what one connection brings; `limit` is the longest body, bytes."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._partials: dict[int, _Partial] = {}
        self._buffered_bytes = 0

    def on_answer(self, body: dict[str, Any]) -> dict[str, Any] | None:
        """Return an answer that is whole, or None if pieces of it are to come."""
        number = body.pop("rest", None)
        if number is None:
            return body
        if number in self._partials:
            raise ProtocolError(f"the answer with rest {number} is there twice")
        self._partials[number] = _Partial(body, [])
        self._add_buffered(body["body"])
        self._partials[number].parts.append(body["body"])
        return None

    def on_piece(self, piece: Piece) -> dict[str, Any] | None:
        """Return the answer that this piece completes, or None."""
        partial = self._partials.get(piece["number"])
        if partial is None:
            raise ProtocolError(f"a piece of {piece['number']}, of which no answer is there")
        self._add_buffered(piece["body"])
        partial.parts.append(piece["body"])
        if not piece["last"]:
            return None
        del self._partials[piece["number"]]
        whole = b"".join(partial.parts)
        self._buffered_bytes -= len(whole)
        return {**partial.body, "body": whole}

    def _add_buffered(self, part: bytes) -> None:
        self._buffered_bytes += len(part)
        if self._buffered_bytes > self._limit:
            raise ProtocolError(f"more than {self._limit} bytes of answers without their ends")
