"""Connects to an unreachable upstream until it accepts a connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from foldhoist.daemon.background import run_task

if TYPE_CHECKING:
    from collections.abc import Callable

    from foldhoist.daemon.upstream import UpstreamPool

RECONNECT_INTERVAL_S = 0.3
"""Pause before each attempt to connect to an unreachable upstream, seconds."""


class Reconnector:
    """Reports the state of the upstream as "down" until it accepts a connection, then as "warm".

    `is_announced` returns whether the upstream has announced itself; the state of one that has not
    is left to the health checks.
    """

    def __init__(
        self,
        pool: UpstreamPool,
        is_announced: Callable[[], bool],
        set_state: Callable[[str], None],
    ) -> None:
        self._pool = pool
        self._is_announced = is_announced
        self._set_state = set_state
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to connect unless it is under way."""
        if self._task is None and self._is_announced():
            self._set_state("down")
            self._task = run_task("reconnector", self._run)

    async def _run(self) -> None:
        while self._is_announced():
            await asyncio.sleep(RECONNECT_INTERVAL_S)
            if await self._pool.try_connect():
                break
        self._task = None
        self._set_state("warm")
