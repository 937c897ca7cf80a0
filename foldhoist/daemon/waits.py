"""A timeout that allows for stalls of this process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from typing import Any

T = TypeVar("T")

STALL_S = 0.1
"""A timer that fires this much late shows that this process was stalled, seconds."""
GRACE_S = 0.2
"""Additional wait after a stall, in which a result that has arrived can be read, seconds."""
MAX_GRACE_PERIODS = 20
"""Most additional waits of one call."""


async def wait_tolerating_stalls(awaitable: Awaitable[T], timeout_s: float) -> T:
    """Return the result of an awaitable; raises TimeoutError if it takes longer than `timeout_s`.

    If the timeout ends during a stall of this process, the awaitable gets `GRACE_S` more. It is not
    cancelled at the timeout, so it must end by itself.
    """
    loop = asyncio.get_running_loop()
    task = asyncio.ensure_future(awaitable)
    task.add_done_callback(_retrieve_exception)
    due = loop.time() + timeout_s
    for _ in range(1 + MAX_GRACE_PERIODS):
        await asyncio.wait({task}, timeout=due - loop.time())
        if task.done():
            return task.result()
        if loop.time() - due < STALL_S:
            break
        due = loop.time() + GRACE_S
    raise TimeoutError(f"no result within {timeout_s:g} s")


def _retrieve_exception(task: asyncio.Future[Any]) -> None:
    """Retrieve the exception, so that asyncio does not log it as never retrieved."""
    if not task.cancelled():
        task.exception()
