"""A connection that carries frames: decodes and encodes messages, and interleaves pieces."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any

from foldhoist.daemon.socket_state import unacknowledged_bytes
from foldhoist.delivery.codec import StreamDecoder, StreamEncoder
from foldhoist.delivery.pieces import LARGE_BODY_BYTES, PIECE_BYTES, Fragmenter, Reassembler
from foldhoist.delivery.replies import answer_not_sent
from foldhoist.exceptions import ProtocolError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

PEER_TIMEOUT_MS = 1500
"""A connection is closed if the peer's host acknowledges nothing for this long, milliseconds."""
MAX_UNSENT_BYTES = 16 * 1024 * 1024
"""While more than this waits to be sent, no message with a large body is accepted, bytes.

The connection is closed if its other messages exceed it.
"""
PIECE_RETRY_S = 0.005
"""Pause before further pieces while the send buffer holds more than one piece, seconds."""


class FrameConnection(asyncio.Protocol):
    """One connection; `on_message(conn, kind, body)` and `on_lost(conn)` run in the event loop.

    `limit` bounds each message, and all incomplete answers together, bytes. The peer's is the same.
    """

    def __init__(
        self,
        limit: int,
        on_message: Callable[[FrameConnection, str, Any], None],
        on_lost: Callable[[FrameConnection], None],
    ) -> None:
        self.number = 0
        self.sent_bytes = 0
        self.faults = 0
        self._decoder = StreamDecoder(limit)
        self._encoder = StreamEncoder()
        self._limit = limit
        self._large_bytes = 0
        self._large_end = 0
        self._fragmenter = Fragmenter(limit)
        self._reassembler = Reassembler(limit)
        self._piece_timer: asyncio.TimerHandle | None = None
        self._on_message = on_message
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the limits of the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES + self._limit)
        enable_keepalive(transport)

    def data_received(self, data: bytes) -> None:
        """Pass on every complete message; an invalid one closes the connection."""
        try:
            messages = self._decoder.feed(data)
            complete = self._reassemble(messages)
        except ProtocolError:
            self.faults += 1
            self.close()
            return
        for kind, body in complete:
            self._on_message(self, kind, body)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss of the connection."""
        self._transport = None
        if self._piece_timer is not None:
            self._piece_timer.cancel()
        self._on_lost(self)

    def pause_writing(self) -> None:
        """Close the connection to a peer that does not read."""
        self.close()

    def send(self, kind: str, body: Mapping[str, Any]) -> bool:
        """Send a message; returns False if it is not sent.

        That is so without a connection, and for a large body while too much waits to be sent.
        """
        if self._transport is None:
            return False
        size = len(body.get("body", b""))
        if size > LARGE_BODY_BYTES and self._unsent_bytes >= MAX_UNSENT_BYTES:
            return False
        first = self._fragmenter.first(body) if kind == "Answer" else body
        if first is not None:
            self._write(kind, first)
        if first is body and size > LARGE_BODY_BYTES:
            self._large_bytes, self._large_end = size, self.sent_bytes
        if self._buffered_beside_large > MAX_UNSENT_BYTES:
            self.close()
        elif self._fragmenter.pending_bytes and self._piece_timer is None:
            self._send_pieces()
        return True

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes of messages the peer's host does not have yet."""
        if self._transport is None:
            return 0
        written = self._transport.get_write_buffer_size() + unacknowledged_bytes(self._transport)
        return self._fragmenter.pending_bytes + written

    def close(self) -> None:
        """Close the connection at once; data that waits to be sent is dropped."""
        if self._transport is not None:
            self._transport.abort()

    @property
    def _unsent_bytes(self) -> int:
        """Return the bytes in the send buffer and those of pieces."""
        buffered = self._transport.get_write_buffer_size() if self._transport is not None else 0
        return buffered + self._fragmenter.pending_bytes

    @property
    def _buffered_beside_large(self) -> int:
        """Return the bytes in the send buffer, but for a large body that is being sent."""
        buffered = self._transport.get_write_buffer_size() if self._transport is not None else 0
        is_sent = self.sent_bytes - buffered >= self._large_end
        return buffered if is_sent else buffered - self._large_bytes

    def _write(self, kind: str, body: Mapping[str, Any]) -> None:
        if self._transport is None:
            return
        data = self._encoder.encode(kind, body)
        self.sent_bytes += len(data)
        self._transport.write(data)

    def _send_pieces(self) -> None:
        """Send pieces until the send buffer exceeds one piece; other messages go in between."""
        self._piece_timer = None
        while self._transport is not None and self._fragmenter.pending_bytes:
            if self._transport.get_write_buffer_size() > PIECE_BYTES:
                loop = asyncio.get_running_loop()
                self._piece_timer = loop.call_later(PIECE_RETRY_S, self._send_pieces)
                return
            if (answer := self._fragmenter.next_answer()) is not None:
                self._write("Answer", answer)
            elif (piece := self._fragmenter.next_piece()) is not None:
                self._write("Piece", piece)

    def _reassemble(self, messages: list[tuple[str, Any]]) -> list[tuple[str, Any]]:
        complete: list[tuple[str, Any]] = []
        for kind, body in messages:
            match kind:
                case "Answer":
                    answer = self._reassembler.on_answer(body)
                case "Piece":
                    kind, answer = "Answer", self._reassembler.on_piece(body)
                case _:
                    answer = body
            if answer is not None:
                complete.append((kind, answer))
        return complete


def send_or_refuse(conn: FrameConnection, kind: str, body: Any) -> None:
    """Send a message of an owner; an answer that is not accepted is replaced by a refusal."""
    if not conn.send(kind, body) and kind == "Answer":
        conn.send(*answer_not_sent(body))


def enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Have the operating system close the connection if the peer's host stops responding."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, PEER_TIMEOUT_MS)
