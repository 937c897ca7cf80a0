"""Asks the kernel what it holds for a connection: bytes not read yet, bytes not acknowledged."""

from __future__ import annotations

import fcntl
import select
import struct
import termios
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

_INT = struct.Struct("i")


def is_readable(transport: asyncio.BaseTransport) -> bool:
    """Return whether bytes, or the peer's end, wait to be read; False without a socket."""
    fd = _fd(transport)
    if fd < 0:
        return False
    poll = select.poll()
    poll.register(fd, select.POLLIN)
    return bool(poll.poll(0))


def is_reset(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has reset the connection; False without a socket."""
    fd = _fd(transport)
    if fd < 0:
        return False
    poll = select.poll()
    poll.register(fd, 0)
    return any(events & select.POLLERR for _, events in poll.poll(0))


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many written bytes the peer's host has not acknowledged; 0 if not known."""
    fd = _fd(transport)
    if fd < 0:
        return 0
    try:
        found = fcntl.ioctl(fd, termios.TIOCOUTQ, _INT.pack(0))
    except OSError:
        return 0
    return int(_INT.unpack(found)[0])


def _fd(transport: asyncio.BaseTransport) -> int:
    """Return the descriptor of a transport's socket, -1 if it has none or is closed."""
    sock = transport.get_extra_info("socket")
    return -1 if sock is None else int(sock.fileno())
