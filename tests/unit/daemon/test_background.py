"""Tasks and callbacks that raise exceptions are logged and counted, and tasks start again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from loguru import logger

from foldhoist.daemon import background
from foldhoist.daemon.background import COUNT, report_callback_errors, run_once, run_task

if TYPE_CHECKING:
    from collections.abc import Iterator

TIMEOUT_S = 30.0
"""Timeout of every wait, seconds; only guards against a hang."""


@pytest.fixture
def lines() -> Iterator[list[str]]:
    found: list[str] = []
    number = logger.add(found.append, format="{message}")
    yield found
    logger.remove(number)


@pytest.fixture
def pauses(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    found: list[float] = []

    async def sleep(pause_s: float) -> None:
        found.append(pause_s)

    monkeypatch.setattr(background.asyncio, "sleep", sleep)
    return found


def test_a_task_starts_again_after_growing_pauses(lines: list[str], pauses: list[float]) -> None:
    """Guards against a task that ends unnoticed, and against one that fails in a busy loop."""
    failures = 9
    tries = 0

    async def work() -> None:
        nonlocal tries
        tries += 1
        if tries <= failures:
            raise ValueError("provoked")

    async def run() -> None:
        await asyncio.wait_for(run_task("example", work), TIMEOUT_S)

    before = COUNT.task_failures
    asyncio.run(run())
    assert tries == failures + 1
    assert COUNT.task_failures == before + failures
    assert pauses[:3] == [0.1, 0.2, 0.4]
    assert pauses[-1] == background.MAX_RESTART_PAUSE_S
    assert "task example failed: ValueError('provoked')" in lines[0]


def test_a_cancelled_task_does_not_start_again(pauses: list[float]) -> None:
    """Guards against tasks that outlive their daemon."""

    async def run() -> None:
        task = run_task("example", asyncio.Event().wait)  # type: ignore[arg-type]
        await asyncio.wait({task}, timeout=0.01)
        task.cancel()
        await asyncio.wait({task}, timeout=TIMEOUT_S)
        assert task.cancelled()

    asyncio.run(run())
    assert not pauses


def test_the_failure_of_a_task_that_runs_once_is_acted_on(lines: list[str]) -> None:
    """Guards against a shutdown that fails and leaves a process that never ends."""

    async def fail() -> None:
        raise ValueError("provoked")

    async def run() -> None:
        stopped = asyncio.Event()
        run_once("shutdown", fail, stopped.set)
        await asyncio.wait_for(stopped.wait(), TIMEOUT_S)

    before = COUNT.task_failures
    asyncio.run(run())
    assert COUNT.task_failures == before + 1
    assert "task shutdown failed" in lines[0]


def test_errors_of_callbacks_are_counted_and_logged_within_a_rate_limit(lines: list[str]) -> None:
    """Guards against errors that only the library's own log tells, and against floods of them."""
    errors = 200

    def fail() -> None:
        raise ValueError("provoked")

    async def run() -> None:
        loop = asyncio.get_running_loop()
        report_callback_errors(loop)
        for _ in range(errors):
            loop.call_soon(fail)
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    before = COUNT.callback_errors
    asyncio.run(run())
    assert COUNT.callback_errors == before + errors
    assert 0 < len(lines) <= background.ERROR_LINES_BURST + 1
    assert "ValueError: provoked" in lines[0]
