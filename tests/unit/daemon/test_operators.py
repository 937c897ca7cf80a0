"""Operators' requests: an odd number is refused as such, not answered as an error of the daemon."""

from __future__ import annotations

import asyncio
import socket
from types import SimpleNamespace
from typing import Any

import pytest

from foldhoist.daemon.operators import OperatorServer
from tests.adapter.cluster import call


def status_of(after: str) -> int:
    asked: list[int] = []

    def since(number: int) -> tuple[int, list[Any]]:
        asked.append(number)
        return number, []

    async def run() -> int:
        daemon: Any = SimpleNamespace(
            metrics=SimpleNamespace(text=bytes),
            records=SimpleNamespace(since=since),
        )
        sock = socket.create_server(("127.0.0.1", 0))
        sock.setblocking(False)
        address = "{}:{}".format(*sock.getsockname())
        server = OperatorServer(daemon, sock)
        answer = await call(address, "GET", f"/records?after={after}")
        server.close()
        return answer.status

    return asyncio.run(run())


@pytest.mark.parametrize("after", ["x", "-1", "1e9", "nan"])
def test_records_after_an_odd_number_are_refused(after: str) -> None:
    assert status_of(after) == 400


@pytest.mark.parametrize("after", ["0", "7", "9" * 5000])
def test_records_after_a_number_are_told(after: str) -> None:
    assert status_of(after) == 200
