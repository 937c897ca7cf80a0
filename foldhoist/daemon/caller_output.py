"""The sending side of a caller's connection, until the caller has its last answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.daemon.lingering_close import LingeringClose
from foldhoist.daemon.paced_writer import PacedWriter

if TYPE_CHECKING:
    import asyncio

    from foldhoist.admission.body_memory import ProcessMemory

MIN_READ_BYTES = 16 * 1024
"""What a caller takes of an unread answer between two checks at least, or its end, bytes."""


class CallerOutput:
    """Writes answers at the caller's pace, and closes the connection behind the last one."""

    def __init__(self, transport: asyncio.Transport, memory: ProcessMemory) -> None:
        self._transport = transport
        self._writer = PacedWriter(transport, memory)
        self._lingering: LingeringClose | None = None
        self._unread_before = 0
        self._ending = False
        self._lingers = False
        self._discards = False

    @property
    def blocked(self) -> bool:
        """Return whether the caller has not taken everything that was written."""
        return self._writer.blocked

    @property
    def unread_bytes(self) -> int:
        """Return the bytes of answers that are written and not sent yet."""
        return self._writer.unsent_bytes

    @property
    def held_bytes(self) -> int:
        """Return the memory that unread answers take."""
        return self._writer.held_bytes

    def write(self, head: bytes, body: bytes = b"") -> None:
        """Write an answer, or as much of it as the caller takes now."""
        self._writer.write(head, body)
        self._unread_before = self.unread_bytes

    def pause(self) -> None:
        """Write nothing more until `resume`, as the caller does not read."""
        self._writer.pause()

    def resume(self) -> None:
        """Write on; close the connection if that was the last of it."""
        self._writer.resume()
        if self._ending and not self.blocked:
            self._close()

    def stands_still(self) -> bool:
        """Return whether the caller has taken next to nothing since the last check or answer."""
        before, self._unread_before = self._unread_before, self.unread_bytes
        return self.unread_bytes > before - MIN_READ_BYTES

    def end(self, *, lingers: bool, discards: bool = False) -> None:
        """Close the connection once everything is sent, by a `LingeringClose` if it lingers."""
        if self._ending:
            return
        self._ending = True
        self._lingers, self._discards = lingers, discards
        self._unread_before = self.unread_bytes
        if not self.blocked:
            self._close()

    def discard(self, size: int) -> None:
        """Count bytes that were read and are not used."""
        if self._lingering is not None:
            self._lingering.discard(size)

    def drop(self) -> None:
        """Forget what is not sent: the connection has ended."""
        self._writer.drop()
        if self._lingering is not None:
            self._lingering.cancel()

    def _close(self) -> None:
        if not self._lingers:
            self._transport.close()
            return
        self._lingering = LingeringClose(self._transport, self._discards)
        self._lingering.start()
