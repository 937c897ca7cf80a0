"""Tests of links: a connection attempt that hangs is repeated when the peer is known to run."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from foldhoist.daemon import links as links_module
from foldhoist.daemon.links import LinkEvents, Links
from foldhoist.delivery.codec import SCHEMA_VERSION, encode

WAIT_S = 60.0
"""Longest wait in these tests, seconds; it only ends a test that hangs."""
HELLO: Any = {"name": "b", "incarnation": "i", "epoch": 1, "schema": SCHEMA_VERSION}


class Peer:
    """A peer that sends nothing on its first connection, and a Hello on later ones."""

    def __init__(self) -> None:
        self.connections = 0
        self._kept: list[asyncio.StreamWriter] = []

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    def close(self) -> None:
        self._server.close()
        for writer in self._kept:
            writer.close()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._kept.append(writer)
        if self.connections > 1:
            writer.write(encode("Hello", HELLO))


async def until(is_true: Any) -> None:
    async with asyncio.timeout(WAIT_S):
        while not is_true():
            await asyncio.sleep(0.005)


@pytest.mark.parametrize("known_running", [True, False])
def test_an_attempt_that_hangs_is_repeated_when_the_peer_is_known_to_run(
    monkeypatch: pytest.MonkeyPatch, known_running: bool
) -> None:
    monkeypatch.setattr(links_module, "CONNECT_TIMEOUT_S", 10 * WAIT_S if known_running else 0.05)
    up: list[str] = []

    async def run() -> None:
        peer = Peer()
        events = LinkEvents(
            lambda name, incarnation: up.append(name),
            lambda name: None,
            lambda name: None,
            lambda name, kind, body: None,
        )
        links = Links({**HELLO, "name": "a"}, 1 << 20, events, random.Random(1))
        links.set_addresses({"b": await peer.start()})
        links.connect(["b"])
        await until(lambda: peer.connections == 1)
        if known_running:
            links.retry_now("b")
        await until(lambda: up == ["b"])
        assert peer.connections >= 2
        links.close()
        peer.close()

    asyncio.run(run())
