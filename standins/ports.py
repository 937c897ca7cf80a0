"""Loopback addresses that a restarted process can bind again."""

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


def reusable_address() -> str:
    """Return a free loopback address that a process can bind again after a restart.

    The port lies below the ephemeral range: an outgoing connection could take an ephemeral port
    while the process is down. Raises RuntimeError if no free port is found.
    """
    rng = random.SystemRandom()
    for _ in range(MAX_TRIES):
        port = rng.randrange(MIN_PORT, _first_ephemeral_port())
        if _is_free(port):
            return f"127.0.0.1:{port}"
    raise RuntimeError(f"no free port found from {MIN_PORT} on in {MAX_TRIES} tries")


def _first_ephemeral_port() -> int:
    try:
        return int(PORT_RANGE_FILE.read_text().split()[0])
    except OSError:
        return DEFAULT_FIRST_EPHEMERAL


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
