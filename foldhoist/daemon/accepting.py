"""A listening socket that does not spin when the process has no descriptor left."""

from __future__ import annotations

import errno
import socket
from typing import Any

from foldhoist.daemon.background import COUNT

NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE)


class SparingSocket(socket.socket):
    """Listens; without a free descriptor, connections are closed rather than left waiting.

    One that waits would wake up the event loop again and again. A spare descriptor is given up for
    the time in which such a connection is accepted and closed.
    """

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(fileno=sock.detach())
        self.setblocking(False)
        self._spare = _open_spare()

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection; raises BlockingIOError if there is no descriptor for it."""
        try:
            return super().accept()
        except OSError as exc:
            if exc.errno not in NO_DESCRIPTOR:
                raise
            self._close_next()
            raise BlockingIOError(exc.errno, "no descriptor left") from exc

    def close(self) -> None:
        """Stop listening."""
        self._close_spare()
        super().close()

    def _close_next(self) -> None:
        COUNT.rejected_connections += 1
        self._close_spare()
        try:
            super().accept()[0].close()
        finally:
            self._spare = _open_spare()

    def _close_spare(self) -> None:
        if self._spare is not None:
            self._spare.close()
            self._spare = None


def _open_spare() -> socket.socket | None:
    """Return an unused socket; sockets may have a limit of their own beside that of files."""
    try:
        return socket.socket()
    except OSError:
        return None
