"""Stops listening for callers without a reset of connections that the system has accepted."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from foldhoist.daemon.callers import CallerConnection

if TYPE_CHECKING:
    import socket

    from foldhoist.daemon.caller_state import ServerState


def stop_listening(server: asyncio.Server, listener: socket.socket, state: ServerState) -> None:
    """Accept every connection that waits at the listener of a server, and close the server.

    A socket that is closed resets the connections in its queue, whose requests may have waited
    there for as long as the event loop was late.
    """
    loop = asyncio.get_running_loop()
    waiting = _accept_all(listener)
    server.close()
    for sock in waiting:
        coro = loop.connect_accepted_socket(lambda: CallerConnection(state), sock)
        task = loop.create_task(coro)
        state.arriving.add(task)
        task.add_done_callback(state.arriving.discard)


def _accept_all(listener: socket.socket) -> list[socket.socket]:
    found: list[socket.socket] = []
    while True:
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return found
        except ConnectionAbortedError:
            continue
        except OSError as exc:
            logger.warning("connections of callers are not accepted before a stop: {}", exc)
            return found
        sock.setblocking(False)
        found.append(sock)
