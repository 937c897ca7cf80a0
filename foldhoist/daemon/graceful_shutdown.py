"""A planned stop: callers go elsewhere first, then the upstream's calls, then the process ends."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from foldhoist.daemon.mesh import MeshDaemon

SERVE_S = 2.3
"""Time in which callers learn that this daemon is not ready, seconds; it serves on meanwhile."""
CLOSE_S = 3.2
"""From here on connections are closed as soon as no request is under way on them, seconds."""
CHECK_INTERVAL_S = 0.02
"""Time between two looks at what is still in flight, seconds."""
FLUSH_S = 0.05
"""Time left to callers to read their last answer, seconds."""


class GracefulShutdown:
    """The steps of a planned stop; times count from its beginning."""

    def __init__(self, daemon: MeshDaemon) -> None:
        self.started = False
        self._daemon = daemon

    async def run(self) -> None:
        """Stop the daemon; a second call does nothing."""
        if self.started:
            return
        self.started = True
        daemon = self._daemon
        logger.info("draining")
        loop = asyncio.get_running_loop()
        began = loop.time()
        limit = began + daemon.cfg["limits"]["drain_ms"] / 1000
        await self._wait_until(lambda: False, began + SERVE_S)
        daemon.callers.closing = True
        daemon.ingress_task.ingress.admission.begin_shutdown(limit)
        await self._wait_until(lambda: not daemon.callers.open, began + CLOSE_S)
        daemon.owner_task.set_leaving("drain")
        daemon.stop_accepting()
        await self._wait_until(self._all_closed, limit)
        for conn in list(daemon.callers.open):
            conn.close()
        await self._wait_until(lambda: not daemon.owner.calls, limit)
        await daemon.owner_task.send_goaway(limit)
        await asyncio.sleep(FLUSH_S)
        await daemon.stop()

    def _all_closed(self) -> bool:
        """Close the connections that rest; returns whether none is left.

        Each is closed on its own: where callers never pause together, the last request would
        otherwise be taken just before the end and cut off.
        """
        for conn in [conn for conn in self._daemon.callers.open if conn.idle]:
            conn.close()
        return not self._daemon.callers.open

    async def _wait_until(self, is_done: Callable[[], bool], limit: float) -> None:
        loop = asyncio.get_running_loop()
        while not is_done() and loop.time() < limit:
            await asyncio.sleep(CHECK_INTERVAL_S)
