"""Loopback addresses that are held for a process, also while it is not running."""

from __future__ import annotations

import random
import socket
from pathlib import Path

MIN_PORT = 10_240
"""Lowest port that is handed out."""
PORT_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
"""Range of the ephemeral ports, which Linux gives to outgoing connections."""
DEFAULT_FIRST_EPHEMERAL = 32_768
"""First ephemeral port where that file cannot be read."""
MAX_TRIES = 100
"""Ports tried before an error is raised."""


class AddressPool:
    """Holds the loopback addresses that it hands out, until it is closed.

    A held address has a bound socket that does not listen. Nothing else can draw the address or
    bind it, but for a server that sets SO_REUSEADDR, as asyncio's and pynng's do.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng if rng is not None else random.SystemRandom()
        self._held: list[socket.socket] = []

    def take(self) -> str:
        """Return a free address that one process can bind, again after each restart.

        The port lies below the ephemeral range: an outgoing connection could take an ephemeral port
        while the process is down. Raises RuntimeError if no free port is found.
        """
        for _ in range(MAX_TRIES):
            port = self._rng.randrange(MIN_PORT, _first_ephemeral_port())
            sock = _hold(port)
            if sock is None:
                continue
            self._held.append(sock)
            return f"127.0.0.1:{port}"
        raise RuntimeError(f"no free port found from {MIN_PORT} on in {MAX_TRIES} tries")

    def close(self) -> None:
        """Release every address."""
        for sock in self._held:
            sock.close()
        self._held.clear()


def _first_ephemeral_port() -> int:
    try:
        return int(PORT_RANGE_FILE.read_text().split()[0])
    except OSError:
        return DEFAULT_FIRST_EPHEMERAL


def _hold(port: int) -> socket.socket | None:
    """Return a socket that holds the port, or None if it is in use."""
    sock = socket.socket()
    try:
        sock.bind(("127.0.0.1", port))
    except OSError:
        sock.close()
        return None
    # Set only now: the bind itself must fail if another holder has the port.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return sock
