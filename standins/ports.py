"""Addresses that a process can leave and take again."""

from __future__ import annotations

import random
import socket
from pathlib import Path

LEAST_PORT = 10_240
"""Ports below are left to others."""
OUTGOING = Path("/proc/sys/net/ipv4/ip_local_port_range")
"""Where the system says from which ports outgoing connections get theirs."""
LEAST_OUTGOING = 32_768
"""The least of these if it does not say."""
TRIES = 100
"""Ports that are tried before it is given up."""


def lasting_address() -> str:
    """Return a free address on this machine, for a process that ends and starts again there.

    Of the ports that the system chooses, any outgoing connection may get one meanwhile.
    """
    chance = random.SystemRandom()
    for _ in range(TRIES):
        port = chance.randrange(LEAST_PORT, _least_outgoing())
        if _is_free(port):
            return f"127.0.0.1:{port}"
    raise RuntimeError(f"no free port among {TRIES} tried from {LEAST_PORT} on")


def _least_outgoing() -> int:
    try:
        return int(OUTGOING.read_text().split()[0])
    except OSError:
        return LEAST_OUTGOING


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
