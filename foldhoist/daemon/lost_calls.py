"""Calls whose connection to the upstream ended, and whether the upstream has ended with them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from foldhoist.daemon.upstream import UpstreamPool
    from foldhoist.delivery.dispatch import Incomplete

GATHER_S = 0.002
"""Wait after a connection was lost until the upstream is asked for, seconds.

A process that ends loses all its connections at once; they were seen to fall within 1 ms.
"""


class LostCall(NamedTuple):
    """A call that was sent, and how its connection ended."""

    ticket: int
    result: Incomplete


class LostCalls:
    """Holds such calls back for some milliseconds, until it is known whether the upstream runs.

    It runs if another connection to it stands, or if it takes a new one. `on_known` gets all calls
    that were held back, and whether the upstream has ended.
    """

    def __init__(
        self, pool: UpstreamPool, on_known: Callable[[list[LostCall], bool], None]
    ) -> None:
        self._pool = pool
        self._on_known = on_known
        self._lost: list[LostCall] = []
        self._task: asyncio.Task[None] | None = None

    def add(self, ticket: int, result: Incomplete) -> None:
        """Take in a call whose connection ended before its answer was whole."""
        self._lost.append(LostCall(ticket, result))
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._find_out())

    def close(self) -> None:
        """Stop; calls that are held back end with this process."""
        if self._task is not None:
            self._task.cancel()

    async def _find_out(self) -> None:
        await asyncio.sleep(GATHER_S)
        runs = self._pool.has_connection or await self._pool.try_connect()
        lost, self._lost = self._lost, []
        self._task = None
        self._on_known(lost, not runs)
