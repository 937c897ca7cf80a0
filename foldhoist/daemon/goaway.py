"""Tells every ingress that this owner takes no more calls, and waits for their answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Mapping

    from foldhoist.daemon.frames import FrameConnection

GOAWAY = {"reason": "drain"}
"""The message to an ingress when this owner takes no more calls."""
GOAWAY_TIMEOUT_S = 1.0
"""Longest wait for ingresses to acknowledge a Goaway, seconds."""
MIN_GOAWAY_TIMEOUT_S = 0.1
"""Longest such wait once the shutdown has reached its time limit, seconds."""
GOAWAY_CHECK_S = 0.01
"""Interval at which their acknowledgements are checked, seconds."""


class GoawayExchange:
    """The connections on which a Goaway was sent and is not acknowledged yet."""

    def __init__(self) -> None:
        self.unacked: set[int] = set()

    async def run(self, conns: Mapping[int, FrameConnection], limit: float) -> None:
        """Send a Goaway on each connection, and wait until all are acknowledged, or a timeout.

        It is the last message on its connection: pieces of answers go first, and the timeout begins
        once the peer's host has everything. `limit` is when the shutdown should be over, monotonic
        seconds; the wait may exceed it by MIN_GOAWAY_TIMEOUT_S.
        """
        loop = asyncio.get_running_loop()
        self.unacked = set(conns)
        until = max(limit, loop.time() + MIN_GOAWAY_TIMEOUT_S)
        unfinished = set(self.unacked)
        ack_until = dict.fromkeys(self.unacked, until)
        while self.unacked and loop.time() < until:
            for link in [link for link in unfinished if not conns[link].unsent_bytes]:
                unfinished.discard(link)
                conns[link].send("Goaway", GOAWAY)
                ack_until[link] = min(until, loop.time() + GOAWAY_TIMEOUT_S)
            overdue = [link for link in self.unacked if ack_until[link] <= loop.time()]
            self.unacked.difference_update(overdue)
            await asyncio.sleep(GOAWAY_CHECK_S)
        if unfinished & self.unacked:
            logger.warning("shutdown: answers on {} links are cut off", len(unfinished))
        self.unacked.clear()
