"""Tells every ingress that this owner takes no more calls, and waits for their answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

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

    async def run(self, links: Iterable[int], send: Callable[[int], None], limit: float) -> None:
        """Send a Goaway on each connection, and wait until all are acknowledged, or a timeout.

        `limit` is when the shutdown should be over, monotonic seconds; the wait may exceed it by
        MIN_GOAWAY_TIMEOUT_S.
        """
        loop = asyncio.get_running_loop()
        self.unacked = set(links)
        for link in self.unacked:
            send(link)
        now = loop.time()
        until = min(now + GOAWAY_TIMEOUT_S, max(limit, now + MIN_GOAWAY_TIMEOUT_S))
        while self.unacked and loop.time() < until:
            await asyncio.sleep(GOAWAY_CHECK_S)
        self.unacked.clear()
