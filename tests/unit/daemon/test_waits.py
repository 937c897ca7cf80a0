"""Waits in a process that stands still now and then."""

from __future__ import annotations

import asyncio
import time

import pytest

from foldhoist.daemon import waits
from foldhoist.daemon.waits import STALL_S, wait_tolerating_stalls

LIMIT_S = 0.05
"""Limit of a wait in these tests, seconds."""
LONG_S = 60.0
"""What no machine is too slow for, seconds."""
TURNS = 20
"""Turns of the loop that an answer needs after a standstill."""


async def answer_after_standstill() -> str:
    """Stand still beyond the limit, then need some turns of the loop, as an answer read does."""
    time.sleep(LIMIT_S + 2 * STALL_S)
    for _ in range(TURNS):
        await asyncio.sleep(0)
    return "answer"


def test_a_standstill_of_this_process_is_not_taken_for_silence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(waits, "GRACE_S", LONG_S)
    assert asyncio.run(wait_tolerating_stalls(answer_after_standstill(), LIMIT_S)) == "answer"


def test_silence_ends_the_wait() -> None:
    async def run() -> None:
        with pytest.raises(TimeoutError, match="within"):
            await wait_tolerating_stalls(asyncio.Event().wait(), LIMIT_S)

    asyncio.run(run())


def test_what_a_step_raises_is_raised() -> None:
    async def refuse() -> None:
        raise ConnectionRefusedError

    with pytest.raises(ConnectionRefusedError):
        asyncio.run(wait_tolerating_stalls(refuse(), LIMIT_S))


def test_a_step_that_fails_unheard_is_not_reported() -> None:
    reported: list[object] = []

    async def fail_late(event: asyncio.Event) -> None:
        await event.wait()
        raise OSError

    async def run() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: reported.append(context))
        event = asyncio.Event()
        with pytest.raises(TimeoutError):
            await wait_tolerating_stalls(fail_late(event), LIMIT_S)
        event.set()
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    asyncio.run(run())
    assert not reported
