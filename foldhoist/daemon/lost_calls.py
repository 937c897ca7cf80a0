"""Delays results of calls with a lost connection until the state of the upstream is known."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from foldhoist.daemon.background import run_task

if TYPE_CHECKING:
    from collections.abc import Callable

    from foldhoist.daemon.upstream import UpstreamPool
    from foldhoist.delivery.dispatch import Incomplete

CHECK_DELAY_S = 0.002
"""Delay from a lost connection to the check of the upstream, seconds.

It lets a process that ends lose all its connections first, which takes about 1 ms.
"""


class LostCall(NamedTuple):
    """A sent call with a lost connection, and its result."""

    ticket: int
    result: Incomplete


class LostCalls:
    """Delays calls with a lost connection until it is known whether the upstream is running.

    It is running if a connection to it is open or if it accepts a new one. `on_known` receives the
    delayed calls and whether the upstream has ended.
    """

    def __init__(
        self, pool: UpstreamPool, on_known: Callable[[list[LostCall], bool], None]
    ) -> None:
        self._pool = pool
        self._on_known = on_known
        self._lost: list[LostCall] = []
        self._task: asyncio.Task[None] | None = None

    def add(self, ticket: int, result: Incomplete) -> None:
        """Add a call whose connection was lost before its answer was complete."""
        self._lost.append(LostCall(ticket, result))
        if self._task is None:
            self._task = run_task("lost calls", self._check_upstream)

    def close(self) -> None:
        """Cancel the check; the delayed calls get no result."""
        if self._task is not None:
            self._task.cancel()

    async def _check_upstream(self) -> None:
        await asyncio.sleep(CHECK_DELAY_S)
        running = self._pool.has_connection or await self._pool.try_connect()
        lost, self._lost = self._lost, []
        self._task = None
        if not lost:
            return
        self._on_known(lost, not running)
