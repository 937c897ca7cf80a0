"""Tests of probes of an upstream's health.

Guards against an answer that ends the task that probes.
"""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from foldhoist.daemon.prober import Prober
from tests.unit.daemon.odd_server import ODD_ANSWERS, OddServer, whole
from tests.unit.daemon.test_endless_answers import BODIES, HEADS

WARM = b'HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{"state": "cold"}'
TIMEOUT_S = 20.0


@pytest.mark.parametrize("kind", ["header value", "headers", "interim answers", "by length"])
def test_probing_goes_on_after_an_answer_without_end(kind: str) -> None:
    begin, repeated = {**HEADS, **BODIES}[kind]
    is_endless = True

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(begin if is_endless else WARM)
            while is_endless:
                writer.write(repeated * 600)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # The prober closed the connection.
        finally:
            writer.close()

    async def run() -> None:
        nonlocal is_endless
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
        cfg: Any = {
            "upstream": {"address": address, "health_path": "/health"},
            "measuring": {"probes_per_s": 50.0},
            "platform": {"hosts": False},
        }
        states: list[str] = []
        client: Any = SimpleNamespace()
        prober = Prober(cfg, client, states.append, states.append)
        prober.start()
        async with asyncio.timeout(TIMEOUT_S):
            while prober.count.failed < 2:
                await asyncio.sleep(0.01)
            assert not states
            is_endless = False
            while not states:
                await asyncio.sleep(0.01)
        assert states[0] == "cold"
        prober.close()
        server.close()

    asyncio.run(run())


ODD_BODIES = {
    "deep": whole(b"[" * 50_000),
    "deep in a further field": whole(b'{"new":' + b"[" * 50_000),
    "long number": whole(b'{"state":' + b"9" * 5000 + b"}"),
    "no UTF-8": whole(b'{"state":"\xff"}'),
    "empty": whole(b""),
}


@pytest.mark.parametrize(
    "answer", (ODD_ANSWERS | ODD_BODIES).values(), ids=ODD_ANSWERS | ODD_BODIES
)
def test_probing_goes_on_after_an_odd_answer(answer: bytes) -> None:
    async def run() -> None:
        async with OddServer(answer) as server:
            cfg: Any = {
                "upstream": {"address": server.address, "health_path": "/health"},
                "measuring": {"probes_per_s": 50.0},
                "platform": {"hosts": False},
            }
            states: list[str] = []
            client: Any = SimpleNamespace()
            prober = Prober(cfg, client, states.append, states.append)
            prober.start()
            async with asyncio.timeout(TIMEOUT_S):
                while prober.count.failed < 2:
                    await asyncio.sleep(0.01)
                assert not states
                server.answer = WARM
                while not states:
                    await asyncio.sleep(0.01)
            assert states[0] == "cold"
            prober.close()

    asyncio.run(run())
