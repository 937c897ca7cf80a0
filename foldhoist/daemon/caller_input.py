"""The receiving side of a caller's connection: what has come and is not parsed yet."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Protocol

import httptools

from foldhoist.daemon.request_reader import Listener, RefusedError, RequestReader, refusal_of

if TYPE_CHECKING:
    import asyncio

    from foldhoist.daemon.caller_state import ServerState
    from foldhoist.daemon.request import BadRequest


class Receiver(Listener, Protocol):
    """The connection whose bytes are parsed."""

    @property
    def takes_requests(self) -> bool:
        """Return whether it takes another request now."""

    def on_refusal(self, bad: BadRequest) -> None:
        """Handle bytes that are refused, by their request's limits or as no request."""

    def parse_on(self) -> None:
        """Parse on, as it is this connection's turn."""


class CallerInput:
    """Parses in pieces, and reads nothing more while something is not parsed; `close` ends it."""

    def __init__(self, state: ServerState, receiver: Receiver) -> None:
        self.reader = RequestReader(state, receiver)
        self.transport: asyncio.Transport | None = None
        self._state = state
        self._receiver: Receiver | None = receiver
        self._unparsed = b""
        self._paused_bytes = 0
        self._parsing = False

    @property
    def in_request(self) -> bool:
        """Return whether a request has begun to arrive that is not whole yet."""
        return self.reader.in_request

    @property
    def is_empty(self) -> bool:
        """Return whether nothing of a further request has come."""
        return not self.reader.in_request and not self._unparsed

    def receive(self, data: bytes) -> None:
        """Add what has come; `parse_on` parses it."""
        if self.is_empty:
            self.reader.in_request = True
            self.reader.began_at = time.monotonic()
        self._unparsed = self._unparsed + data if self._unparsed else data

    def parse_on(self) -> None:
        """Parse as long as the connection takes requests and this turn has time for it."""
        if self._parsing:
            return
        self._parsing = True
        while self._unparsed and self._receiver is not None and self._may_parse(self._receiver):
            self._parse_piece()
        self._parsing = False
        self._pace_reading()

    def close(self) -> None:
        """Drop everything; nothing more is parsed."""
        self._receiver = None
        self._unparsed = b""
        self._pace_reading()
        self.reader.close()

    def _may_parse(self, receiver: Receiver) -> bool:
        if not receiver.takes_requests:
            return False
        return not self.reader.is_heavy or self._state.turns.may_parse(receiver)

    def _parse_piece(self) -> None:
        reader, receiver = self.reader, self._receiver
        size = reader.piece_bytes
        piece, self._unparsed = self._unparsed[:size], self._unparsed[size:]
        try:
            reader.feed(piece)
        except httptools.HttpParserUpgrade:
            return
        except (httptools.HttpParserError, RefusedError) as exc:
            if receiver is not None and not receiver.ended:
                receiver.on_refusal(refusal_of(exc))
            return
        if reader.is_heavy:
            self._state.turns.spend(reader.parts)

    def _pace_reading(self) -> None:
        """Pause or resume reading; what is not parsed is counted as held."""
        if not self._unparsed and not self._paused_bytes:
            return
        unparsed, was_paused = len(self._unparsed), self._paused_bytes > 0
        self._state.memory.reserve(unparsed - self._paused_bytes)
        self._paused_bytes = unparsed
        if self.transport is None or was_paused == (unparsed > 0):
            return
        if unparsed:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
