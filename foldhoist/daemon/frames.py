"""A connection that carries frames: splits bytes into messages and hands them to its user."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any

from foldhoist.delivery.codec import Packer, Splitter
from foldhoist.exceptions import ProtocolError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

SILENT_MS = 1500
"""A peer whose host acknowledges nothing for this long counts as gone, milliseconds."""
MOST_UNSENT = 16 * 1024 * 1024
"""A peer that leaves this many bytes unread is cut off, bytes."""


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
        self._splitter = Splitter(limit)
        self._packer = Packer()
        self._on_message = on_message
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=MOST_UNSENT)
        notice_silence(transport)

    def data_received(self, data: bytes) -> None:
        """Hand on every whole message; a peer that breaks the schema is cut off."""
        try:
            messages = self._splitter.feed(data)
        except ProtocolError:
            self.faults += 1
            self.close()
            return
        for kind, body in messages:
            self._on_message(self, kind, body)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the user."""
        self._transport = None
        self._on_lost(self)

    def pause_writing(self) -> None:
        """Cut off a peer that does not read."""
        self.close()

    def send(self, kind: str, body: Mapping[str, Any]) -> None:
        """Write a message; without a connection it is dropped."""
        if self._transport is None:
            return
        data = self._packer.pack(kind, body)
        self.sent_bytes += len(data)
        self._transport.write(data)

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()


def notice_silence(transport: asyncio.BaseTransport) -> None:
    """Have the system end the connection when the peer's host falls silent."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_MS)
