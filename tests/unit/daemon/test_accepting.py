"""A listener of a process that has no descriptor left.

Guards against an event loop that spins, as it is woken up by connections that it cannot accept.
"""

from __future__ import annotations

import asyncio
import os
import resource
import select
import socket
from contextlib import contextmanager
from typing import TYPE_CHECKING

import pytest
from tornado.web import RequestHandler

from foldhoist.daemon.accepting import SparingSocket
from foldhoist.daemon.background import COUNT
from foldhoist.daemon.handlers import serve

if TYPE_CHECKING:
    from collections.abc import Iterator

DESCRIPTORS = 512
"""Limit of the descriptors of this process during a test."""


@contextmanager
def no_descriptor_left() -> Iterator[None]:
    """Open files until the process has no descriptor left."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))
    opened: list[int] = []
    try:
        while True:
            try:
                opened.append(os.open(os.devnull, os.O_RDONLY))
            except OSError:
                break
        yield
    finally:
        for descriptor in opened:
            os.close(descriptor)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def listening_socket() -> socket.socket:
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen()
    return sock


def test_a_connection_without_a_descriptor_is_closed_and_the_next_one_accepted() -> None:
    listener = SparingSocket(listening_socket())
    clients = [socket.create_connection(listener.getsockname()) for _ in range(3)]
    before = COUNT.rejected_connections
    with no_descriptor_left():
        for client in clients[:2]:
            with pytest.raises(BlockingIOError):
                listener.accept()
            assert client.recv(1) == b""
    assert COUNT.rejected_connections == before + 2
    accepted, _ = listener.accept()
    assert accepted.getpeername() == clients[2].getsockname()
    for sock in (listener, accepted, *clients):
        sock.close()


def test_nothing_waits_at_a_server_of_a_process_without_a_descriptor() -> None:
    """After one pass of the event loop, nothing is left that would wake it up again."""

    async def run() -> None:
        listener = listening_socket()
        descriptor, address = listener.fileno(), listener.getsockname()
        server = serve([(r"/", RequestHandler, {})], listener)
        errors: list[object] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: errors.append(context))
        client = socket.create_connection(address)
        with no_descriptor_left():
            await asyncio.sleep(0.05)
            waiting = select.select([descriptor], [], [], 0)[0]
        server.stop()
        client.close()
        assert not waiting
        assert not errors

    asyncio.run(run())
