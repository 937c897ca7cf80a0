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


class _Rest(NamedTuple):
    """What is left to send of an answer's body."""

    number: int
    body: memoryview


class Cutter:
    """Cuts the answers that one connection sends; pieces of several go by turns."""

    def __init__(self) -> None:
        self.pending = 0
        self._next = 1
        self._rests: deque[_Rest] = deque()

    def cut(self, body: Mapping[str, Any]) -> Mapping[str, Any]:
        """Return the message to send first; the rest of a large answer follows by `piece`."""
        raw: bytes = body.get("body", b"")
        if len(raw) <= PIECE_BYTES or not body.get("bulk", False):
            return body
        number = self._next
        self._next += 1
        self._rests.append(_Rest(number, memoryview(raw)[PIECE_BYTES:]))
        self.pending += len(raw) - PIECE_BYTES
        return {**body, "body": raw[:PIECE_BYTES], "rest": number}

    def piece(self) -> Piece | None:
        """Return the next piece, None if nothing is left to send."""
        if not self._rests:
            return None
        rest = self._rests.popleft()
        sent, left = rest.body[:PIECE_BYTES], rest.body[PIECE_BYTES:]
        self.pending -= len(sent)
        if left:
            self._rests.append(_Rest(rest.number, left))
        return {"number": rest.number, "last": not left, "body": bytes(sent)}


class _Open(NamedTuple):
    """An answer of which more is to come."""

    body: dict[str, Any]
    parts: list[bytes]


class Joiner:
    """Puts together what one connection brings; `limit` is the longest body, bytes."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._open: dict[int, _Open] = {}
        self._held = 0

    def answer(self, body: dict[str, Any]) -> dict[str, Any] | None:
        """Return an answer that is whole, or None if pieces of it are to come."""
        number = body.pop("rest", None)
        if number is None:
            return body
        if number in self._open:
            raise ProtocolError(f"the answer with rest {number} is there twice")
        self._open[number] = _Open(body, [])
        self._hold(body["body"])
        self._open[number].parts.append(body["body"])
        return None

    def piece(self, piece: Piece) -> dict[str, Any] | None:
        """Return the answer that this piece completes, or None."""
        opened = self._open.get(piece["number"])
        if opened is None:
            raise ProtocolError(f"a piece of {piece['number']}, of which no answer is there")
        self._hold(piece["body"])
        opened.parts.append(piece["body"])
        if not piece["last"]:
            return None
        del self._open[piece["number"]]
        whole = b"".join(opened.parts)
        self._held -= len(whole)
        return {**opened.body, "body": whole}

    def _hold(self, part: bytes) -> None:
        self._held += len(part)
        if self._held > self._limit:
            raise ProtocolError(f"more than {self._limit} bytes of answers without their ends")
