"""What all connections of callers share: limits, counters, and the checks for overdue ones."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from loguru import logger

from foldhoist.admission.body_memory import BodyMemory
from foldhoist.daemon.dialect import DefaultDialect
from foldhoist.daemon.parse_turns import ParseTurns

if TYPE_CHECKING:
    from collections.abc import Callable

    from foldhoist.daemon.callers import CallerConnection
    from foldhoist.daemon.dialect import Dialect
    from foldhoist.delivery.call import CallerRequest
    from foldhoist.schema.settings import Limits

CHECK_INTERVAL_S = 0.1
"""Interval between two checks for overdue connections, seconds."""
READ_BYTES = 16 * 1024
"""Most bytes that are read from a caller at a time."""


@dataclass(slots=True)
class Counters:
    """Counters of the connections of callers."""

    bad: int = 0
    bodies_full: int = 0
    connections: int = 0
    faults: int = 0
    refused_connections: int = 0
    slow: int = 0
    too_large: int = 0
    unread: int = 0


class ServerState:
    """The limits, callbacks and open connections that all caller connections of a daemon share.

    While `closing`, each connection is closed after its next answer; while `refusing`, new ones are
    closed before anything is read from them.
    """

    def __init__(
        self,
        limits: Limits,
        on_request: Callable[[CallerConnection, CallerRequest], None],
        on_disconnect: Callable[[int], None],
        dialect: Dialect | None = None,
    ) -> None:
        self.dialect = dialect or DefaultDialect()
        self.on_request = on_request
        self.on_disconnect = on_disconnect
        self.count = Counters()
        self.limits = limits
        self.bodies = BodyMemory(limits["held_bytes"])
        self.turns = ParseTurns()
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self.open: set[CallerConnection] = set()
        self.slow_readers: set[CallerConnection] = set()
        self.arriving: set[asyncio.Task[object]] = set()
        self.closing = False
        self.refusing = False

    @property
    def is_full(self) -> bool:
        """Return whether more callers than allowed are connected, but for those that have ended."""
        limit = self.limits["callers"]
        if len(self.open) <= limit:
            return False
        return sum(1 for conn in self.open if not conn.ended) > limit

    def set_limits(self, limits: Limits) -> None:
        """Apply new limits; bodies that are already held stay."""
        self.limits = limits
        self.bodies.limit = limits["held_bytes"]

    async def close_overdue(self) -> None:
        """Close overdue connections and abort slow readers, checking all of them periodically."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._end_overdue(time.monotonic())
            self.abort_slow_readers()

    def _end_overdue(self, now: float) -> None:
        for conn in [conn for conn in self.open if conn.expires_at <= now]:
            try:
                conn.on_timeout()
            except Exception:
                self.count.faults += 1
                logger.opt(exception=True).error("an overdue connection is aborted after an error")
                conn.abort()

    def abort_slow_readers(self) -> None:
        """Abort the slow readers with the most unread bytes while their total exceeds the limit."""
        unread = {conn: conn.unread_bytes for conn in self.slow_readers}
        total = sum(unread.values())
        for conn in sorted(unread, key=unread.__getitem__, reverse=True):
            if total <= self.limits["held_bytes"]:
                return
            total -= unread[conn]
            self.count.unread += 1
            conn.abort()
