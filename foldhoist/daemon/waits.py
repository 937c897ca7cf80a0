"""Waits that do not take a standstill of this process for silence of another one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from typing import Any

T = TypeVar("T")

STALL_S = 0.1
"""A timer that fires so much late tells that this process stood still, seconds."""
GRACE_S = 0.2
"""How long an answer that may have come meanwhile is then waited for, seconds."""
MAX_GRACE_PERIODS = 20
"""How often that is done for one wait."""


async def wait_tolerating_stalls(step: Awaitable[T], limit_s: float) -> T:
    """Return the result of a step; raise TimeoutError if it took longer than the limit.

    A step that this process could not attend to, since it stood still, gets a short while more. A
    step that took too long goes on unheard: it has to end by itself.
    """
    loop = asyncio.get_running_loop()
    task = asyncio.ensure_future(step)
    task.add_done_callback(_unheard)
    due = loop.time() + limit_s
    for _ in range(1 + MAX_GRACE_PERIODS):
        await asyncio.wait({task}, timeout=due - loop.time())
        if task.done():
            return task.result()
        if loop.time() - due < STALL_S:
            break
        due = loop.time() + GRACE_S
    raise TimeoutError(f"not within {limit_s:g} s")


def _unheard(task: asyncio.Future[Any]) -> None:
    """Read how a step ended, so that asyncio does not report it as forgotten."""
    if not task.cancelled():
        task.exception()
