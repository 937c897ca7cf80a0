"""Writes to a transport only what its buffer takes; the rest waits here and is not copied.

A transport copies what it can not send at once, so that a long message would be held twice.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import asyncio

    from foldhoist.admission.body_memory import ProcessMemory

PIECE_BYTES = 64 * 1024
"""Most bytes that are written at a time."""


class _Rest(NamedTuple):
    """What is left of a message, which is held whole, `size` bytes, until its end is written."""

    view: memoryview
    size: int


class PacedWriter:
    """The sending side of one connection; its protocol tells it to pause and to resume.

    With `high` it pauses by itself while the transport's buffer holds more, bytes. `memory` counts
    what is not sent yet.
    """

    __slots__ = (
        "_counted",
        "_high",
        "_memory",
        "_paused",
        "_transport",
        "_waiting",
        "waiting_bytes",
    )

    def __init__(
        self,
        transport: asyncio.WriteTransport,
        memory: ProcessMemory | None = None,
        high: int | None = None,
    ) -> None:
        self.waiting_bytes = 0
        self._transport = transport
        self._memory = memory
        self._high = high
        self._waiting: deque[_Rest] = deque()
        self._paused = False
        self._counted = 0

    @property
    def blocked(self) -> bool:
        """Return whether the transport takes no more, so that what is written has to wait."""
        return self._paused or bool(self._waiting)

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that wait here and in the transport's buffer."""
        return self.waiting_bytes + self._transport.get_write_buffer_size()

    @property
    def held_bytes(self) -> int:
        """Return the memory of what waits here and in the transport's buffer."""
        waiting = sum(rest.size for rest in self._waiting)
        return waiting + self._transport.get_write_buffer_size()

    def write(self, head: bytes, body: bytes = b"") -> None:
        """Write a message, or as much of it as the transport takes."""
        if not self.blocked and len(head) + len(body) <= PIECE_BYTES:
            self._transport.write(head + body if body else head)
            self._pause_above_high()
            return
        if len(body) <= PIECE_BYTES:
            self._add(memoryview(head + body))
        else:
            self._add(memoryview(head + body[:PIECE_BYTES]))
            self._add(memoryview(body)[PIECE_BYTES:], len(body))
        self._send_waiting()
        self._count()

    def pause(self) -> None:
        """Write nothing more until `resume`, as the transport's buffer is full."""
        self._paused = True
        self._count()

    def resume(self) -> None:
        """Write on."""
        self._paused = False
        self._send_waiting()
        self._count()

    def drop(self) -> None:
        """Forget what waits: the connection has ended."""
        self._waiting.clear()
        self.waiting_bytes = 0
        self._paused = False
        self._release()

    def _add(self, view: memoryview, size: int = 0) -> None:
        self._waiting.append(_Rest(view, size or len(view)))
        self.waiting_bytes += len(view)

    def _send_waiting(self) -> None:
        while self._waiting and not self._paused:
            if self._transport.is_closing():
                self.drop()
                return
            self._send_piece(self._waiting.popleft())

    def _send_piece(self, rest: _Rest) -> None:
        piece, left = rest.view[:PIECE_BYTES], rest.view[PIECE_BYTES:]
        if left:
            self._waiting.appendleft(rest._replace(view=left))
        self.waiting_bytes -= len(piece)
        self._transport.write(piece)
        self._pause_above_high()

    def _pause_above_high(self) -> None:
        if self._high is not None and self._transport.get_write_buffer_size() > self._high:
            self._paused = True

    def _count(self) -> None:
        if self._memory is None:
            return
        size = self.held_bytes if self.blocked else 0
        self._memory.reserve(size - self._counted)
        self._counted = size

    def _release(self) -> None:
        if self._memory is not None:
            self._memory.release(self._counted)
        self._counted = 0
