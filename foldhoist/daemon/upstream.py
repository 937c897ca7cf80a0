"""The connections to the upstream: a bounded pool."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from loguru import logger

from foldhoist.admission.body_memory import LARGE_BODY_SHARE, SMALL_BODY_BYTES, BodyMemory
from foldhoist.admission.bucket import TokenBucket
from foldhoist.daemon.background import run_once
from foldhoist.daemon.dialect import DefaultDialect
from foldhoist.daemon.http import write_head
from foldhoist.daemon.upstream_connection import (
    BODY_TOO_LARGE,
    HEAD_TOO_LARGE,
    UpstreamConnection,
)
from foldhoist.delivery.dispatch import Incomplete

if TYPE_CHECKING:
    from collections.abc import Callable

    from foldhoist.admission.body_memory import ProcessMemory
    from foldhoist.daemon.dialect import Dialect
    from foldhoist.delivery.dispatch import Result, StartCall
    from foldhoist.delivery.signal_state import AnswerSignals


TOO_LARGE_LOG_LINES_PER_S = 0.1
"""Rate limit of log lines on answers that exceed their bounds."""
TOO_LARGE_LOG_LINES_BURST = 3.0
"""Number of such lines that may be written in a burst."""


class UpstreamPool:
    """The connections to the upstream, at most `max_connections`."""

    def __init__(
        self,
        address: tuple[str, int],
        connect_s: float,
        max_body_bytes: int,
        max_held_bytes: int,
        on_result: Callable[[int, Result], None],
        on_signals: Callable[[int, AnswerSignals], None],
        dialect: Dialect | None = None,
        on_sole_connection: Callable[[], None] | None = None,
        memory: ProcessMemory | None = None,
    ) -> None:
        """Create the pool without connections.

        `max_body_bytes` limits each answer's body, `max_held_bytes` those that are incomplete
        together. `on_sole_connection` is called when a connection opens while no other one is open.
        """
        self.dialect = dialect or DefaultDialect()
        self.address = address
        self.max_connections = 200
        self.opened = 0
        self._connect_s = connect_s
        self._max_body_bytes = max_body_bytes
        self._on_result = on_result
        self._on_signals = on_signals
        self._on_sole_connection = on_sole_connection
        self._idle: deque[UpstreamConnection] = deque()
        self._busy: dict[int, UpstreamConnection] = {}
        self._connecting: dict[int, asyncio.Task[None]] = {}
        self._host = f"{address[0]}:{address[1]}".encode()
        self._bodies = BodyMemory(0, memory)
        self.set_max_held_bytes(max_held_bytes)
        self._log_bucket = TokenBucket(
            TOO_LARGE_LOG_LINES_PER_S, TOO_LARGE_LOG_LINES_BURST, asyncio.get_running_loop().time()
        )

    def set_max_held_bytes(self, limit: int) -> None:
        """Limit the incomplete bodies of all answers together; one of the largest size fits."""
        least = int(self._max_body_bytes / LARGE_BODY_SHARE) + SMALL_BODY_BYTES
        self._bodies.limit = max(limit, least)

    @property
    def open(self) -> int:
        """Return the number of connections that are open or being opened."""
        return len(self._idle) + len(self._busy) + len(self._connecting)

    @property
    def has_connection(self) -> bool:
        """Return whether a connection is open, which shows that the upstream is running."""
        return any(conn.connected for conn in (*self._busy.values(), *self._idle))

    def start(self, now: float, call: StartCall) -> None:
        """Send a call on an idle connection, or on a new one; `now` is monotonic seconds."""
        head = self._request_head(call)
        while self._idle:
            conn = self._idle.pop()
            if conn.usable and now - conn.idle_since < conn.idle_s:
                self._busy[call.ticket] = conn
                conn.call(call, head, call.request["body"])
                return
            conn.abort("idle")
        if self.open >= self.max_connections:
            self._on_result(call.ticket, Incomplete(False, "upstream-connections-used-up"))
            return
        task = run_once(
            "upstream connection",
            lambda: self._connect(call, head),
            lambda: self._on_connect_failed(call.ticket),
        )
        self._connecting[call.ticket] = task

    def cancel(self, ticket: int, reason: str = "cancelled") -> None:
        """Cancel a call; closing its connection cancels it at the upstream."""
        task = self._connecting.pop(ticket, None)
        if task is not None:
            task.cancel()
            self._on_result(ticket, Incomplete(False, reason))
            return
        conn = self._busy.get(ticket)
        if conn is not None:
            conn.abort(reason)

    def cancel_all(self, reason: str) -> None:
        """Cancel every call."""
        for ticket in (*self._connecting, *self._busy):
            self.cancel(ticket, reason)

    def close(self) -> None:
        """Close every connection."""
        for task in self._connecting.values():
            task.cancel()
        self.close_idle("closing")
        for conn in list(self._busy.values()):
            conn.abort("closing")

    async def try_connect(self) -> bool:
        """Open a connection for later calls; return whether the upstream accepted it."""
        try:
            conn = await self._open()
        except (OSError, TimeoutError):
            return False
        conn.idle_since = asyncio.get_running_loop().time()
        self._idle.append(conn)
        return True

    def close_idle(self, reason: str = "upstream-replaced") -> None:
        """Close the idle connections, as after the upstream at the address was replaced."""
        while self._idle:
            self._idle.pop().abort(reason)

    async def _open(self) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(self._connect_s):
            _, conn = await loop.create_connection(
                lambda: UpstreamConnection(
                    self._max_body_bytes,
                    self._on_call_end,
                    self.dialect,
                    self._on_signals,
                    self._bodies,
                ),
                *self.address,
            )
        self.opened += 1
        if self._on_sole_connection is not None and not self.has_connection:
            self._on_sole_connection()
        return conn

    async def _connect(self, call: StartCall, head: bytes) -> None:
        ticket = call.ticket
        try:
            conn = await self._open()
        except (OSError, TimeoutError):
            self._connecting.pop(ticket, None)
            self._on_result(ticket, Incomplete(False, "upstream-unreachable"))
            return
        self._connecting.pop(ticket, None)
        self._busy[ticket] = conn
        conn.call(call, head, call.request["body"])

    def _on_connect_failed(self, ticket: int) -> None:
        """End a call whose connection failed for an unexpected reason."""
        if self._connecting.pop(ticket, None) is not None:
            self._on_result(ticket, Incomplete(False, "upstream-unreachable"))
            return
        conn = self._busy.get(ticket)
        if conn is not None:
            conn.abort("connection-failed")

    def _on_call_end(self, conn: UpstreamConnection, result: Result) -> None:
        self._busy.pop(conn.ticket, None)
        if conn.usable:
            conn.idle_since = asyncio.get_running_loop().time()
            self._idle.append(conn)
        else:
            conn.abort("not-reusable")
        if isinstance(result, Incomplete) and result.reason in (HEAD_TOO_LARGE, BODY_TOO_LARGE):
            self._log_too_large(conn, result)
        self._on_result(conn.ticket, result)

    def _log_too_large(self, conn: UpstreamConnection, result: Incomplete) -> None:
        """Log an answer that exceeds its bounds, within a rate limit."""
        if not self._log_bucket.take(asyncio.get_running_loop().time()):
            return
        logger.warning(
            "upstream at {}:{}: {} after {} bytes outside of a body and {} in it, closed",
            *self.address,
            result.reason,
            conn.size.outside_bodies,
            conn.size.bodies,
        )

    def _request_head(self, call: StartCall) -> bytes:
        req = call.request
        request_line = f"{req['method']} {req['path']} HTTP/1.1\r\n".encode("latin-1")
        length = len(req["body"]) if req["body"] or req["method"] in _WITH_BODY else None
        headers = self.dialect.request_headers(call, self._host)
        return write_head(request_line, headers, length)


_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
