"""Control messages between daemons are received after one that could not be handled."""

from __future__ import annotations

import asyncio
from typing import Any

from foldhoist.daemon.control import Control

CFG: Any = {"control_bytes_per_s": 1e6, "control_burst_bytes": 1e6}
TIMEOUT_S = 30.0
"""Timeout of every wait, seconds; only guards against a hang."""


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
                    sender.send(
                        receiver.address,
                        "Ask",
                        {"have": 1, "name": "a", "answer_to": "127.0.0.1:1"},
                    )
                while len(received) < 2:
                    await asyncio.sleep(0.01)
        finally:
            sender.close()
            receiver.close()

    asyncio.run(run())
