"""A daemon that is stopped listens again at its address, whatever connections are opened meanwhile.

Symptom: once in three runs of all tests a daemon could not listen at its old address half a second
after it had stopped (address in use). Cause, shown by holding the port: addresses were ones that
the system had chosen, and an outgoing connection of another test may get such a port.
"""

from __future__ import annotations

from standins.ports import LEAST_PORT, _least_outgoing, lasting_address


def test_an_address_is_none_that_an_outgoing_connection_gets() -> None:
    for _ in range(200):
        host, _, port = lasting_address().rpartition(":")
        assert host == "127.0.0.1"
        assert LEAST_PORT <= int(port) < _least_outgoing()
