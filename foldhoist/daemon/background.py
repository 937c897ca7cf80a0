"""Starts the tasks of a daemon, so that none of them ends by an exception unnoticed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

from loguru import logger

from foldhoist.admission.bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable

T = TypeVar("T")

MIN_RESTART_PAUSE_S = 0.1
"""Pause before a failed task starts again, seconds; it doubles with each failure."""
MAX_RESTART_PAUSE_S = 5.0
"""Longest such pause, seconds."""
STABLE_S = 30.0
"""A task that has run this long starts again after the shortest pause, seconds."""
ERROR_LINES_PER_S = 1.0
"""Rate limit of log lines about errors in callbacks."""
ERROR_LINES_BURST = 20.0
"""Number of such lines that may be written in a burst."""
MAX_SOURCE_CHARS = 200
"""Longest description of a failed callback, characters."""


@dataclass(slots=True)
class Counters:
    """Counters of unexpected exceptions, and of connections without a descriptor left."""

    callback_errors: int = 0
    handler_errors: int = 0
    rejected_connections: int = 0
    task_failures: int = 0


COUNT = Counters()
"""The counters of this process."""
_RUNNING: set[asyncio.Task[None]] = set()
"""Keeps tasks that run once from being collected before they end."""


def run_task(name: str, run: Callable[[], Coroutine[Any, Any, None]]) -> asyncio.Task[None]:
    """Start a task that calls `run`, again after a pause whenever it raises an exception."""
    return asyncio.get_running_loop().create_task(_run_until_done(name, run), name=name)


def run_once(
    name: str,
    run: Callable[[], Coroutine[Any, Any, None]],
    on_failure: Callable[[], None] | None = None,
) -> asyncio.Task[None]:
    """Start a task that is not started again; `on_failure` is called if it raises an exception."""
    task = asyncio.get_running_loop().create_task(_run_once(name, run, on_failure), name=name)
    _RUNNING.add(task)
    task.add_done_callback(_RUNNING.discard)
    return task


def carry_out_each(items: Iterable[T], carry_out: Callable[[T], None], what: str) -> None:
    """Carry out each item; one that raises an exception is logged and does not stop the others."""
    for item in items:
        try:
            carry_out(item)
        except Exception:
            logger.opt(exception=True).error("{} {} failed", what, type(item).__name__)


def report_callback_errors(loop: asyncio.AbstractEventLoop) -> None:
    """Log and count the exceptions of callbacks and protocols, within a rate limit."""
    bucket = TokenBucket(ERROR_LINES_PER_S, ERROR_LINES_BURST, loop.time())

    def report(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        COUNT.callback_errors += 1
        if not bucket.take(loop.time()):
            return
        source = context.get("protocol") or context.get("handle") or context.get("task") or ""
        logger.opt(exception=context.get("exception")).error(
            "{} {}", context["message"], repr(source)[:MAX_SOURCE_CHARS]
        )

    loop.set_exception_handler(report)


async def _run_until_done(name: str, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
    loop = asyncio.get_running_loop()
    pause = MIN_RESTART_PAUSE_S
    while True:
        started_at = loop.time()
        try:
            await run()
        except Exception as exc:
            if loop.time() - started_at >= STABLE_S:
                pause = MIN_RESTART_PAUSE_S
            _record_failure(name, exc, f"starts again in {pause:g} s")
        else:
            return
        await asyncio.sleep(pause)
        pause = min(MAX_RESTART_PAUSE_S, pause * 2)


async def _run_once(
    name: str,
    run: Callable[[], Coroutine[Any, Any, None]],
    on_failure: Callable[[], None] | None,
) -> None:
    try:
        await run()
    except Exception as exc:
        _record_failure(name, exc, "is not started again")
        if on_failure is not None:
            on_failure()


def _record_failure(name: str, exc: Exception, consequence: str) -> None:
    COUNT.task_failures += 1
    logger.opt(exception=exc).error("task {} failed: {!r}; it {}", name, exc, consequence)
