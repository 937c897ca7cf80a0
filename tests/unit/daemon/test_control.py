"""Control messages between daemons are received after one that could not be handled, or is odd."""

from __future__ import annotations

import asyncio
import zlib
from typing import Any

import pynng
import pytest

from foldhoist.daemon.control import Control
from foldhoist.delivery.codec import encode

TIMEOUT_S = 30.0
"""Timeout of every wait, seconds; only guards against a hang."""
CFG: Any = {"control_bytes_per_s": 100_000_000, "control_burst_bytes": 1_000_000_000}
ODD_ADDRESSES = ["", "x", "127.0.0.1", "127.0.0.1:x", "127.0.0.1:65536", "a b:9", "[:9", "a\x00b:9"]


def test_a_message_that_cannot_be_handled_does_not_end_the_receiver() -> None:
    """Guards against a daemon that hears of no configuration and no keys any more."""
    received: list[Any] = []

    def on_message(kind: str, body: Any) -> None:
        received.append(body)
        if len(received) == 1:
            raise ValueError("provoked")

    async def run() -> None:
        receiver = Control("127.0.0.1:0", CFG, on_message)
        sender = Control("127.0.0.1:0", CFG, lambda kind, body: None)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                for _ in range(2):
                    sender.send(receiver.address, "Ask", ask("a", "127.0.0.1:1"))
                while len(received) < 2:
                    await asyncio.sleep(0.01)
        finally:
            sender.close()
            receiver.close()

    asyncio.run(run())


@pytest.mark.parametrize("address", [*ODD_ADDRESSES, "127.0.0.1:" + "9" * 5000])
def test_after_an_odd_address_the_next_message_is_received(address: str) -> None:
    async def run() -> None:
        heard: list[str] = []

        def on_message(kind: str, body: Any) -> None:
            heard.append(body["name"])
            control.send(body["answer_to"], "Held", {"generation": 1})

        control = Control("127.0.0.1:0", CFG, on_message)
        sender = pynng.Push0()
        sender.dial(f"tcp://{control.address}", block=True)
        messages = [b"no message", encode("Ask", ask("b", address)), b"\x91" * 100_000]
        messages.append(encode("Ask", ask("c", "127.0.0.1:1")))
        for message in messages:
            await sender.asend(zlib.compress(message))
        async with asyncio.timeout(TIMEOUT_S):
            while len(heard) < 2:
                await asyncio.sleep(0.005)
        assert heard == ["b", "c"]
        assert (control.count.bad, control.passed_over.count) == (2, 1)
        control.close()
        sender.close()

    asyncio.run(run())


def ask(name: str, answer_to: str) -> dict[str, Any]:
    return {"have": 0, "name": name, "answer_to": answer_to}
