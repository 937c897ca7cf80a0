"""A connection that carries frames: decodes and encodes messages, and interleaves pieces."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any

from foldhoist.admission.body_memory import BodyMemory
from foldhoist.daemon.paced_writer import PacedWriter
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
BUFFERED_BYTES = 1024 * 1024
"""Bytes in the transport's buffer above which the rest of a large body waits uncopied."""


class FrameConnection(asyncio.Protocol):
    """One connection; `on_message(conn, kind, body)` and `on_lost(conn)` run in the event loop.

    `limit` bounds each message, and all incomplete answers together, bytes. The peer's is the same.
    `bodies` counts the bodies of calls that arrive, and its process what is held of answers.
    """

    def __init__(
        self,
        limit: int,
        on_message: Callable[[FrameConnection, str, Any], None],
        on_lost: Callable[[FrameConnection], None],
        bodies: BodyMemory | None = None,
    ) -> None:
        self.number = 0
        self.sent_bytes = 0
        self.faults = 0
        self._decoder = StreamDecoder(limit, self._admit)
        self._encoder = StreamEncoder()
        self._limit = limit
        self._large_bytes = 0
        self._large_end = 0
        self._fragmenter = Fragmenter(limit)
        self._reassembler = Reassembler(limit)
        self._bodies = bodies if bodies is not None else BodyMemory(2 * limit)
        self._arriving_bytes = 0
        self._answer_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self._on_message = on_message
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None
        self._writer: PacedWriter | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the limits of the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES + self._limit)
        self._writer = PacedWriter(transport, high=BUFFERED_BYTES)
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
        self._count_answers()
        for kind, body in complete:
            if kind == "Dispatch":
                self._release_arriving(len(body["body"]))
            self._on_message(self, kind, body)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss of the connection."""
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()
        self._release_arriving(self._arriving_bytes)
        self._bodies.process.release(self._answer_bytes)
        self._answer_bytes = 0
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
        if size > LARGE_BODY_BYTES and not self._takes_large(kind, size):
            return False
        first = self._fragmenter.first(body) if kind == "Answer" else body
        if first is not None:
            self._write(kind, first)
        if first is body and size > LARGE_BODY_BYTES:
            self._large_bytes, self._large_end = size, self.sent_bytes
        if self._buffered_beside_large > MAX_UNSENT_BYTES:
            self.close()
        elif self._timer is None:
            self._send_more()
        return True

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes of messages the peer's host does not have yet."""
        if self._transport is None:
            return 0
        return self._unsent_bytes + unacknowledged_bytes(self._transport)

    def close(self) -> None:
        """Close the connection at once; data that waits to be sent is dropped."""
        if self._transport is not None:
            self._transport.abort()

    @property
    def _unsent_bytes(self) -> int:
        """Return the bytes that wait to be sent, those of pieces included."""
        return self._buffered_bytes + self._fragmenter.pending_bytes

    @property
    def _buffered_bytes(self) -> int:
        return self._writer.unsent_bytes if self._writer is not None else 0

    @property
    def _buffered_beside_large(self) -> int:
        """Return the bytes that wait to be sent, but for pieces and a large body."""
        buffered = self._buffered_bytes
        is_sent = self.sent_bytes - buffered >= self._large_end
        return buffered if is_sent else buffered - self._large_bytes

    def _takes_large(self, kind: str, size: int) -> bool:
        """Return whether a message with a large body may be sent now."""
        if self._unsent_bytes >= MAX_UNSENT_BYTES:
            return False
        return kind != "Answer" or self._bodies.process.has_made_room(size)

    def _write(self, kind: str, body: Mapping[str, Any]) -> None:
        if self._transport is None or self._writer is None:
            return
        head = self._encoder.encode_head(kind, body)
        raw: bytes = body.get("body", b"")
        self.sent_bytes += len(head) + len(raw)
        self._writer.write(head, raw)

    def _send_more(self) -> None:
        """Send what waits until the send buffer is full; other messages go between pieces."""
        self._timer = None
        if self._transport is None or self._writer is None:
            return
        if self._writer.blocked:
            self._writer.resume()
        while self._fragmenter.pending_bytes and self._buffered_bytes <= PIECE_BYTES:
            if (answer := self._fragmenter.next_answer()) is not None:
                self._write("Answer", answer)
            elif (piece := self._fragmenter.next_piece()) is not None:
                self._write("Piece", piece)
        self._count_answers()
        if self._writer.blocked or self._fragmenter.pending_bytes:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(PIECE_RETRY_S, self._send_more)

    def _admit(self, kind: str, size: int) -> bool:
        """Return whether to hold the body of a message that begins to arrive."""
        if kind != "Dispatch":
            return True
        if not self._bodies.has_made_room(size, size):
            return False
        self._bodies.reserve(size)
        self._arriving_bytes += size
        return True

    def _release_arriving(self, size: int) -> None:
        """Release the body of a call that has arrived; whoever gets the call holds it."""
        released = min(size, self._arriving_bytes)
        self._bodies.release(released)
        self._arriving_bytes -= released

    def _count_answers(self) -> None:
        """Count what is held of answers that are sent, or have arrived, in part."""
        held = self._fragmenter.held_bytes + self._reassembler.buffered_bytes
        if held != self._answer_bytes:
            self._bodies.process.reserve(held - self._answer_bytes)
            self._answer_bytes = held

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
