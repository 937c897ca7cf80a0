"""Measures how late the soak's own event loop runs, since it reads all other times there."""

from __future__ import annotations

import asyncio

CHECK_INTERVAL_S = 0.05
"""Interval between two checks, seconds."""


class StallMonitor:
    """Records by how much each of its wake-ups was late."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._late: list[tuple[float, float]] = []
        self._task = self._loop.create_task(self._run())

    def longest_since(self, began: float) -> float:
        """Return the longest delay of a wake-up since this loop time, seconds."""
        return max((late for at, late in self._late if at >= began), default=0.0)

    def close(self) -> None:
        """Stop measuring."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            due = self._loop.time() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = self._loop.time()
            self._late.append((now, now - due))
