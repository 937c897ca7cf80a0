"""A restarted daemon can bind its old address.

Guards against ports of the ephemeral range, which an outgoing connection may take meanwhile, and
against one address drawn for two processes.
"""

from __future__ import annotations

import asyncio
import socket
from random import Random

import pynng
import pytest

from standins.ports import MIN_PORT, AddressPool, _first_ephemeral_port


def test_ports_lie_below_the_ephemeral_range() -> None:
    pool = AddressPool()
    for _ in range(200):
        host, _, port = pool.take().rpartition(":")
        assert host == "127.0.0.1"
        assert MIN_PORT <= int(port) < _first_ephemeral_port()
    pool.close()


def test_two_processes_draw_the_same_address() -> None:
    """The same random numbers stand for two processes that draw at the same time."""
    one, other = AddressPool(Random(5)), AddressPool(Random(5))
    drawn = [pool.take() for pool in (one, other, one, other)]
    assert len(set(drawn)) == 4
    one.close()
    other.close()


def test_a_held_address_is_taken_by_another_process() -> None:
    pool = AddressPool()
    port = int(pool.take().rpartition(":")[2])
    with socket.socket() as sock, pytest.raises(OSError, match="in use"):
        sock.bind(("127.0.0.1", port))
    pool.close()
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", port))


def test_the_holder_keeps_a_server_from_its_own_address() -> None:
    """Both kinds of servers bind a held address, and again after a restart."""
    pool = AddressPool()
    address = pool.take()

    async def serve_twice() -> None:
        for _ in range(2):
            server = await asyncio.start_server(_accept, *address.split(":"))
            _, writer = await asyncio.open_connection(*address.split(":"))
            server.close()
            writer.close()

    asyncio.run(serve_twice())
    for _ in range(2):
        with pynng.Pull0(listen=f"tcp://{pool.take()}"):
            pass
    pool.close()


async def _accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.close()
