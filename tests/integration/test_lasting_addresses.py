"""Listening addresses are below the ephemeral port range.

Otherwise an outgoing connection may take the port of a stopped daemon before it listens again.
"""

from __future__ import annotations

from standins.ports import LEAST_PORT, _least_outgoing, lasting_address


def test_addresses_are_outside_the_ephemeral_port_range() -> None:
    for _ in range(200):
        host, _, port = lasting_address().rpartition(":")
        assert host == "127.0.0.1"
        assert LEAST_PORT <= int(port) < _least_outgoing()
