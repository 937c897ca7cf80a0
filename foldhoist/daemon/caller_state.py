"""What all connections of callers share: limits, counters, and the checks for overdue ones."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from loguru import logger

from foldhoist.admission.body_memory import TINY_RESERVE, BodyMemory, ProcessMemory
from foldhoist.daemon.allocator import UnusedMemory
from foldhoist.daemon.dialect import DefaultDialect
from foldhoist.daemon.giving_way import longest_waiting, most_held
from foldhoist.daemon.parse_turns import ParseTurns
from foldhoist.daemon.request_reader import BODIES_FULL

if TYPE_CHECKING:
    from collections.abc import Callable

    from foldhoist.daemon.callers import CallerConnection
    from foldhoist.daemon.dialect import Dialect
    from foldhoist.daemon.request_reader import RequestReader
    from foldhoist.delivery.call import CallerRequest
    from foldhoist.schema.settings import Limits

CHECK_INTERVAL_S = 0.1
"""Interval between two checks for overdue connections, seconds."""
READ_BYTES = 16 * 1024
"""Most bytes that are read from a caller at a time."""
CONNECTION_COST_BYTES = 8 * 1024
"""Memory of a connection without a request, bytes."""
GIVE_WAY_SHARE = 1 / 64
"""Share of the limit of connections that is freed at a time."""
SEARCH_INTERVAL_S = 0.1
"""Pause after a search for connections that give way which was in vain, seconds."""
SPARE_SHARE = 1 / 8
"""Share of the limit of bodies that is freed at a time, beside what is needed."""
ENDING_SHARE = 1 / 8
"""Connections beyond the limit that may still be open until their callers know, as a share."""
TOO_MANY = "too-many-connections"
"""Reason of a connection for which there is no place."""
MIN_ENDING = 16
"""Least number of such connections."""


@dataclass(slots=True)
class Counters:
    """Counters of the connections of callers."""

    bad: int = 0
    bodies_full: int = 0
    connections: int = 0
    faults: int = 0
    gave_way: int = 0
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
        memory: ProcessMemory | None = None,
    ) -> None:
        self.dialect = dialect or DefaultDialect()
        self.on_request = on_request
        self.on_disconnect = on_disconnect
        self.count = Counters()
        self.limits = limits
        self.memory = memory if memory is not None else ProcessMemory()
        self.bodies = BodyMemory(limits["held_bytes"], self.memory)
        self.memory.make_room = self._free
        self.turns = ParseTurns()
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self.open: set[CallerConnection] = set()
        self.slow_readers: set[CallerConnection] = set()
        self.placeless: set[CallerConnection] = set()
        self._unused = UnusedMemory()
        self._vain_until = float("-inf")
        self._vain_above = 0.0
        self.arriving: set[asyncio.Task[object]] = set()
        self.closing = False
        self.refusing = False

    def add(self, conn: CallerConnection) -> None:
        """Add a connection that was accepted; others give way to it in memory if they can."""
        self.memory.has_made_room(CONNECTION_COST_BYTES, 1.0 - TINY_RESERVE)
        self.open.add(conn)
        self.memory.reserve(CONNECTION_COST_BYTES)

    def remove(self, conn: CallerConnection) -> None:
        """Remove a connection that has ended."""
        self.slow_readers.discard(conn)
        self.placeless.discard(conn)
        if conn in self.open:
            self.open.discard(conn)
            self.memory.release(CONNECTION_COST_BYTES)

    @property
    def may_open(self) -> bool:
        """Return whether one more connection can be kept until it is served or told why not."""
        limit = self.limits["callers"]
        return len(self.open) < limit + max(MIN_ENDING, int(limit * ENDING_SHARE))

    @property
    def is_full(self) -> bool:
        """Return whether more callers than allowed are connected, but for those that have ended."""
        limit = self.limits["callers"]
        return len(self.open) - len(self.placeless) > limit

    def close_for_another(self) -> None:
        """Close some connections that have waited long, so that there are places for others."""
        count = max(1, int(self.limits["callers"] * GIVE_WAY_SHARE))
        for conn in longest_waiting(self.open, count, time.monotonic()):
            conn.give_way(TOO_MANY)

    def has_room(self, asking: RequestReader, size: int, body_size: int) -> bool:
        """Return whether a request may hold `size` more bytes, `body_size` of a body in all.

        Others give way to it if they have held more for longer.
        """
        held = asking.held_bytes + size
        if self._fits(size, body_size, held):
            return True
        wanted = size + int(self.bodies.limit * SPARE_SHARE)
        bodies_only = self.memory.has_room_in_request(size, held)
        own = asking.byte_seconds(time.monotonic())
        self._make_room(lambda: self._fits(wanted, body_size, held), own, bodies_only=bodies_only)
        return self._fits(size, body_size, held)

    def _fits(self, size: int, body_size: int, held: int) -> bool:
        if body_size and not self.bodies.has_room(size, body_size):
            return False
        return self.memory.has_room_in_request(size, held)

    def _free(self, size: int) -> None:
        """Free so many bytes of the memory of the process, as far as callers can give way."""
        aim = self.memory.used - size
        self._make_room(lambda: self.memory.used <= aim)

    def _make_room(
        self, is_enough: Callable[[], bool], above: float = 0.0, *, bodies_only: bool = False
    ) -> None:
        """Have connections give way until it is enough, unless that was just tried in vain."""
        now = time.monotonic()
        if now < self._vain_until and above >= self._vain_above:
            return
        for conn in most_held(self.open, now, above, bodies_only=bodies_only):
            if is_enough():
                return
            conn.give_way(BODIES_FULL)
        self._vain_until, self._vain_above = now + SEARCH_INTERVAL_S, above

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
            self._unused.check(time.monotonic(), self.memory.used)

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
