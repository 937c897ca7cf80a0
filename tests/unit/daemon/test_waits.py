"""Timeouts in a process that stalls."""

from __future__ import annotations

import asyncio
import time

import pytest

from foldhoist.daemon import waits
from foldhoist.daemon.waits import STALL_S, wait_tolerating_stalls

LIMIT_S = 0.05
"""Timeout in these tests, seconds."""
UNREACHED_S = 60.0
"""Time that is not reached, even on a slow machine, seconds."""
LOOP_CYCLES = 20
"""Cycles of the event loop that a result needs after a stall."""


async def answer_after_stall() -> str:
    """Stall beyond the timeout, then take some cycles of the loop, as reading an answer does."""
    time.sleep(LIMIT_S + 2 * STALL_S)
    for _ in range(LOOP_CYCLES):
        await asyncio.sleep(0)
    return "answer"


def test_a_stall_of_this_process_does_not_count_as_a_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(waits, "GRACE_S", UNREACHED_S)
    assert asyncio.run(wait_tolerating_stalls(answer_after_stall(), LIMIT_S)) == "answer"


def test_a_missing_result_raises_timeout_error() -> None:
    async def run() -> None:
        with pytest.raises(TimeoutError, match="within"):
            await wait_tolerating_stalls(asyncio.Event().wait(), LIMIT_S)

    asyncio.run(run())


def test_exceptions_of_the_awaitable_are_raised() -> None:
    async def refuse() -> None:
        raise ConnectionRefusedError

    with pytest.raises(ConnectionRefusedError):
        asyncio.run(wait_tolerating_stalls(refuse(), LIMIT_S))


def test_a_failure_after_the_timeout_is_not_logged_by_asyncio() -> None:
    reported: list[object] = []

    async def fail_later(event: asyncio.Event) -> None:
        await event.wait()
        raise OSError

    async def run() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: reported.append(context))
        event = asyncio.Event()
        with pytest.raises(TimeoutError):
            await wait_tolerating_stalls(fail_later(event), LIMIT_S)
        event.set()
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    asyncio.run(run())
    assert not reported
