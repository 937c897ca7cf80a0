"""A connection that carries frames: splits bytes into messages and hands them to its user."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any

from foldhoist.delivery.codec import StreamDecoder, StreamEncoder
from foldhoist.delivery.pieces import PIECE_BYTES, Fragmenter, Reassembler
from foldhoist.exceptions import ProtocolError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

PEER_TIMEOUT_MS = 1500
"""A peer whose host acknowledges nothing for this long counts as gone, milliseconds."""
MAX_UNSENT_BYTES = 16 * 1024 * 1024
"""A peer that leaves this many bytes unread is cut off, bytes."""
PIECE_RETRY_S = 0.005
"""Time between two looks at whether the connection takes another piece, seconds."""


class FrameConnection(asyncio.Protocol):
    """One connection; `on_message(kind, body)` and `on_lost()` are called in the event loop."""

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
        self._fragmenter = Fragmenter()
        self._reassembler = Reassembler(limit)
        self._pieces: asyncio.TimerHandle | None = None
        self._on_message = on_message
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        enable_keepalive(transport)

    def data_received(self, data: bytes) -> None:
        """Hand on every whole message; a peer that breaks the schema is cut off."""
        try:
            messages = self._decoder.feed(data)
            whole = self._joined(messages)
        except ProtocolError:
            self.faults += 1
            self.close()
            return
        for kind, body in whole:
            self._on_message(self, kind, body)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the user."""
        self._transport = None
        if self._pieces is not None:
            self._pieces.cancel()
        self._on_lost(self)

    def pause_writing(self) -> None:
        """Cut off a peer that does not read."""
        self.close()

    def send(self, kind: str, body: Mapping[str, Any]) -> None:
        """Write a message; without a connection it is dropped."""
        if self._transport is None:
            return
        self._write(kind, self._fragmenter.first(body))
        if self._fragmenter.pending_bytes > MAX_UNSENT_BYTES:
            self.close()
        elif self._fragmenter.pending_bytes and self._pieces is None:
            self._send_pieces()

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def _write(self, kind: str, body: Mapping[str, Any]) -> None:
        if self._transport is None:
            return
        data = self._encoder.encode(kind, body)
        self.sent_bytes += len(data)
        self._transport.write(data)

    def _send_pieces(self) -> None:
        """Send pieces while the connection takes them; what else is sent goes in between."""
        self._pieces = None
        while self._transport is not None and self._fragmenter.pending_bytes:
            if self._transport.get_write_buffer_size() > PIECE_BYTES:
                loop = asyncio.get_running_loop()
                self._pieces = loop.call_later(PIECE_RETRY_S, self._send_pieces)
                return
            piece = self._fragmenter.next_piece()
            if piece is not None:
                self._write("Piece", piece)

    def _joined(self, messages: list[tuple[str, Any]]) -> list[tuple[str, Any]]:
        whole: list[tuple[str, Any]] = []
        for kind, body in messages:
            match kind:
                case "Answer":
                    answer = self._reassembler.on_answer(body)
                case "Piece":
                    kind, answer = "Answer", self._reassembler.on_piece(body)
                case _:
                    answer = body
            if answer is not None:
                whole.append((kind, answer))
        return whole


def enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Have the system end the connection when the peer's host falls silent."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, PEER_TIMEOUT_MS)
