"""Graceful shutdown of a daemon: its steps in order, each with a log line on how long it took."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple, Protocol, TypeAlias

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from foldhoist.daemon.caller_state import ServerState
    from foldhoist.daemon.ingress_task import IngressTask
    from foldhoist.daemon.owner_task import OwnerTask
    from foldhoist.schema.settings import Settings

NOTICE_S = 2.3
"""Time for which the daemon reports that it is not ready but still serves, seconds."""
CLOSE_IDLE_AFTER_S = 3.2
"""Time from the start after which idle connections are closed, seconds."""
LONG_CALLS_SHARE = 0.5
"""Share of the shutdown in which calls start that may take longer; a daemon that leaves first."""
LAST_REQUEST_S = 1.0
"""Time for callers to send a last request on an open connection, seconds."""
CHECK_INTERVAL_S = 0.02
"""Interval at which open connections and calls are checked, seconds."""
FLUSH_S = 0.3
"""Time beyond the limit in which last answers are sent and last requests refused, seconds."""

OWNER_STOPPED = "owner-stopped"
"""Reason of a call that was at the upstream when this process had to end."""


class NoticeFirst(NamedTuple):
    """Serve on for a while, not ready any more, so that callers go elsewhere; then leave."""


class LeaveFirst(NamedTuple):
    """Leave at once, and serve callers until the calls at the upstream are done.

    These calls may make calls here.
    """


ShutdownOrder: TypeAlias = NoticeFirst | LeaveFirst


class Stoppable(Protocol):
    """What a graceful shutdown needs of a daemon."""

    cfg: Settings
    callers: ServerState
    ingress_task: IngressTask
    owner_task: OwnerTask

    def stop_accepting(self) -> None:
        """Stop accepting connections of callers."""

    async def stop(self) -> None:
        """Close every socket and end every task."""


class GracefulShutdown:
    """The steps of a graceful shutdown, limited by the setting `drain_ms`."""

    def __init__(self, daemon: Stoppable, order: ShutdownOrder) -> None:
        self.started = False
        self._daemon = daemon
        self._order = order
        self._loop = asyncio.get_running_loop()
        self._started_at = 0.0
        self._step_at = 0.0

    async def run(self) -> None:
        """Shut down the daemon; a second call does nothing."""
        if self.started:
            return
        self.started = True
        self._started_at = self._step_at = self._loop.time()
        limit = self._started_at + self._daemon.cfg["limits"]["drain_ms"] / 1000
        logger.info("draining")
        owner = self._daemon.owner_task.owner
        owner.status.begin_shutdown(limit, owner.queue.service_s)
        try:
            await self._leave(limit)
        except Exception:
            logger.opt(exception=True).error("shutdown: a step failed, the others follow")
        await self._wait_until(self._is_finished, limit)
        self._log_step("last calls")
        await self._end_calls()
        await self._daemon.owner_task.send_goaway(limit)
        self._log_step("goaway")
        await self._wait_until(self._is_finished, limit + FLUSH_S)
        if unread := sum(conn.unread_bytes for conn in self._daemon.callers.open):
            logger.warning("shutdown: {} bytes of answers are cut off", unread)
        await self._daemon.stop()
        self._log_step("close")

    async def _leave(self, limit: float) -> None:
        match self._order:
            case NoticeFirst():
                await self._leave_after_notice(limit)
            case LeaveFirst():
                await self._leave_at_once(limit)

    async def _leave_after_notice(self, limit: float) -> None:
        daemon = self._daemon
        notice_until = self._started_at + NOTICE_S
        daemon.ingress_task.begin_shutdown(limit, notice_until)
        await self._wait_until(lambda: False, notice_until)
        daemon.callers.closing = True
        self._log_step("notice")
        until = self._started_at + CLOSE_IDLE_AFTER_S
        await self._wait_until(lambda: not daemon.callers.open, until)
        daemon.owner_task.set_leaving("drain")
        daemon.stop_accepting()
        self._log_step("last requests")

    async def _leave_at_once(self, limit: float) -> None:
        daemon = self._daemon
        daemon.owner_task.set_leaving("drain")
        daemon.callers.closing = True
        long_calls_until = self._started_at + LONG_CALLS_SHARE * (limit - self._started_at)
        daemon.ingress_task.begin_shutdown(limit, long_calls_until)
        await self._wait_until(self._owner_is_idle, limit)
        daemon.stop_accepting()
        self._log_step("first calls at the upstream")
        until = min(limit, self._loop.time() + LAST_REQUEST_S)
        await self._wait_until(lambda: not daemon.callers.open, until)
        self._log_step("last requests")

    async def _end_calls(self) -> None:
        """Give the calls that are still open their final answer, as the limit has come."""
        daemon = self._daemon
        daemon.callers.refusing = True
        if daemon.ingress_task.ingress.calls or not self._owner_is_idle():
            logger.warning("shutdown: calls are cut off, as drain_ms has passed")
        daemon.owner_task.pool.cancel_all(OWNER_STOPPED)
        await asyncio.sleep(0)
        daemon.ingress_task.end_shutdown()
        for conn in list(daemon.callers.open):
            conn.close()

    def _owner_is_idle(self) -> bool:
        return not self._daemon.owner_task.owner.calls

    def _is_finished(self) -> bool:
        """Close idle connections; returns whether no connection of a caller and no call is left.

        It does not wait until all are idle at once, which may never happen under load: requests
        would still be taken just before the end and then be cut off. Connections may still appear:
        the kernel had accepted them before the daemon stopped listening.
        """
        for conn in [conn for conn in self._daemon.callers.open if conn.idle]:
            conn.close()
        callers = self._daemon.callers
        return not callers.open and not callers.arriving and self._owner_is_idle()

    async def _wait_until(self, is_done: Callable[[], bool], limit: float) -> None:
        while not is_done() and self._loop.time() < limit:
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _log_step(self, step: str) -> None:
        """Log the end of a step and what is still open."""
        now = self._loop.time()
        daemon = self._daemon
        logger.info(
            "shutdown: {} took {:.3f} s, {:.3f} s in all; {} connections of callers, {} calls of"
            " callers and {} at the upstream are open",
            step,
            now - self._step_at,
            now - self._started_at,
            len(daemon.callers.open),
            daemon.ingress_task.ingress.calls,
            daemon.owner_task.owner.calls,
        )
        self._step_at = now
