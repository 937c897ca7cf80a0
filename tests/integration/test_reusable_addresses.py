"""A restarted daemon can bind its old address.

Guards against ports of the ephemeral range, which an outgoing connection may take meanwhile.
"""

from __future__ import annotations

from standins.ports import MIN_PORT, _first_ephemeral_port, reusable_address


def test_ports_lie_below_the_ephemeral_range() -> None:
    for _ in range(200):
        host, _, port = reusable_address().rpartition(":")
        assert host == "127.0.0.1"
        assert MIN_PORT <= int(port) < _first_ephemeral_port()
