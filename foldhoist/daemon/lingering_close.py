"""Closes a connection once its last answer has reached the peer.

A socket that is closed with unread bytes, or that gets bytes afterwards, resets its connection: the
kernel then drops what it has not sent yet.
"""

from __future__ import annotations

import asyncio

from loguru import logger

from foldhoist.daemon.socket_state import is_reset, unacknowledged_bytes

LINGER_S = 1.0
"""Longest wait for the peer once everything is written, seconds."""
MAX_DISCARDED_BYTES = 16 * 1024 * 1024
"""Most bytes that are read and discarded during the wait."""
MIN_CHECK_S = 0.005
"""Pause before the second check, seconds; doubles each time."""
MAX_CHECK_S = 0.1
"""Longest pause between two checks, seconds."""


class LingeringClose:
    """The close of one connection: ends the sending side at once, and the connection later.

    With `discards` it reads on until the peer has closed, for a peer that is still sending a body;
    without, nothing more is read, so that the peer may tell what was not.
    """

    def __init__(self, transport: asyncio.Transport, discards: bool) -> None:
        self._transport = transport
        self._discards = discards
        self._left = MAX_DISCARDED_BYTES
        self._pause_s = MIN_CHECK_S
        self._until = float("inf")
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to close; the transport is closed at once if nothing is on its way."""
        if self._transport.is_closing():
            return
        if self._transport.get_extra_info("socket") is None:
            self._transport.close()
            return
        if not self._discards:
            self._transport.pause_reading()
        try:
            self._transport.write_eof()
        except OSError as exc:
            logger.debug("a caller has reset its connection before its last answer: {}", exc)
            self._transport.abort()
            return
        self._check()

    def discard(self, size: int) -> None:
        """Count bytes that were read and are not used."""
        self._left -= size
        if self._left < 0:
            self._finish()

    def cancel(self) -> None:
        """Stop the checks: the connection is closed."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        loop = asyncio.get_running_loop()
        if self._transport.get_write_buffer_size() == 0:
            self._until = min(self._until, loop.time() + LINGER_S)
        has_arrived = self._until < float("inf") and not unacknowledged_bytes(self._transport)
        is_over = loop.time() >= self._until or is_reset(self._transport)
        if is_over or (has_arrived and not self._discards):
            self._finish()
            return
        self._timer = loop.call_later(self._pause_s, self._check)
        self._pause_s = min(MAX_CHECK_S, 2 * self._pause_s)

    def _finish(self) -> None:
        self.cancel()
        self._transport.close()
