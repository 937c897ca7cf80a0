"""Graceful shutdown: closes callers' connections, waits for calls to the upstream, then stops."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from foldhoist.daemon.mesh import MeshDaemon

NOTICE_S = 2.3
"""Time for which the daemon reports that it is not ready but still serves, seconds."""
CLOSE_IDLE_AFTER_S = 3.2
"""Time from the start after which idle connections are closed, seconds."""
CHECK_INTERVAL_S = 0.02
"""Interval at which open connections and calls are checked, seconds."""
REPLY_GRACE_S = 0.05
"""Time left to callers to read their last answer, seconds."""


class GracefulShutdown:
    """The steps of a graceful shutdown, limited by the setting `drain_ms`."""

    def __init__(self, daemon: MeshDaemon) -> None:
        self.started = False
        self._daemon = daemon

    async def run(self) -> None:
        """Shut down the daemon; a second call does nothing."""
        if self.started:
            return
        self.started = True
        daemon = self._daemon
        logger.info("draining")
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        limit = started_at + daemon.cfg["limits"]["drain_ms"] / 1000
        await self._wait_until(lambda: False, started_at + NOTICE_S)
        daemon.callers.closing = True
        daemon.ingress_task.ingress.admission.begin_shutdown(limit)
        await self._wait_until(lambda: not daemon.callers.open, started_at + CLOSE_IDLE_AFTER_S)
        daemon.owner_task.set_leaving("drain")
        daemon.stop_accepting()
        await self._wait_until(self._close_idle, limit)
        for conn in list(daemon.callers.open):
            conn.close()
        await self._wait_until(lambda: not daemon.owner.calls, limit)
        await daemon.owner_task.send_goaway(limit)
        await asyncio.sleep(REPLY_GRACE_S)
        await daemon.stop()

    def _close_idle(self) -> bool:
        """Close the idle connections; returns whether none is left.

        It does not wait until all are idle at once, which may never happen under load: requests
        would still be taken just before the end and then be cut off.
        """
        for conn in [conn for conn in self._daemon.callers.open if conn.idle]:
            conn.close()
        return not self._daemon.callers.open

    async def _wait_until(self, is_done: Callable[[], bool], limit: float) -> None:
        loop = asyncio.get_running_loop()
        while not is_done() and loop.time() < limit:
            await asyncio.sleep(CHECK_INTERVAL_S)
