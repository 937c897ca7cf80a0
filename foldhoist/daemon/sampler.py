"""Samples the upstream's pace, and whether it is cold, from its health path.

Samples do not decide whether the upstream is up or down.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from loguru import logger

from foldhoist.daemon.background import run_task
from foldhoist.daemon.health_connection import SAMPLE_TIMEOUT_S, HealthConnection
from foldhoist.daemon.http import write_head

if TYPE_CHECKING:
    from collections.abc import Callable

    from foldhoist.daemon.dialect import Dialect
    from foldhoist.delivery.dispatch import Sample
    from foldhoist.routing.sampling import SamplePlan

REQUEST_RETRY_S = 0.2
"""Pause after a requested sample that failed, seconds."""
MAX_REQUEST_TRIES = 10
"""Tries of a requested sample; together about as long as an upstream stays cold."""


@dataclass(slots=True)
class Counters:
    """Counters of the sampler."""

    failed: int = 0
    samples: int = 0


class Sampler:
    """Takes samples when its plan says so and passes their results to `on_sample`."""

    def __init__(
        self,
        plan: SamplePlan,
        address: tuple[str, int],
        dialect: Dialect,
        on_sample: Callable[[Sample], None],
    ) -> None:
        self.count = Counters()
        self.path = "/health"
        self.instance = ""
        self._plan = plan
        self._address = address
        self._dialect = dialect
        self._on_sample = on_sample
        self._requested = asyncio.Event()
        self._conn: HealthConnection | None = None
        self._wake = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task[None] | None = None
        self._failing = False

    def start(self) -> None:
        """Start sampling."""
        self._task = run_task("sampler", self._run)

    def close(self) -> None:
        """Stop sampling and close the connection."""
        if self._task is not None:
            self._task.cancel()
        self._disconnect()

    def record_call(self) -> None:
        """Record a call for the upstream."""
        now = self._loop.time()
        self._plan.record_call(now)
        if not self._wake.is_set() and self._plan.next_at(now) is not None:
            self._wake.set()

    def request_sample(self) -> None:
        """Take a sample now regardless of the plan, as the upstream may have become cold.

        It is repeated if it fails.
        """
        self._requested.set()
        self._wake.set()

    def record_pace(self, pace: int) -> None:
        """Record the pace of an answer, percent."""
        self._plan.record_pace(self._loop.time(), pace)

    @property
    def pace_sampled(self) -> bool:
        """Return whether the pace is being sampled and sampling does not fail."""
        return self._plan.next_at(self._loop.time()) is not None and not self._failing

    async def _run(self) -> None:
        while True:
            now = self._loop.time()
            at = self._plan.next_at(now)
            if self._requested.is_set():
                await self._take_requested()
            elif at is None:
                self._wake.clear()
                self._disconnect()
                await self._wake.wait()
            elif at > now:
                await self._pause(at - now)
            else:
                await self._sample()

    async def _pause(self, for_s: float) -> None:
        """Wait for `for_s` seconds, or until a sample is requested."""
        with suppress(TimeoutError):
            async with asyncio.timeout(for_s):
                await self._requested.wait()

    async def _take_requested(self) -> None:
        """Take the requested sample, with some retries."""
        self._requested.clear()
        for _ in range(MAX_REQUEST_TRIES):
            if await self._sample():
                return
            await asyncio.sleep(REQUEST_RETRY_S)
        logger.info("upstream has not said whether it is cold")

    async def _sample(self) -> bool:
        """Take a sample; returns whether the upstream has answered."""
        self.count.samples += 1
        try:
            sample = await self._request()
        except (OSError, TimeoutError) as exc:
            self.count.failed += 1
            self._disconnect()
            self._plan.record_failure(self._loop.time())
            if not self._failing:
                logger.info("pace of the upstream cannot be sampled: {!r}", exc)
            self._failing = True
            return False
        if sample.pace or sample.cold_s is not None or sample.well:
            self._on_sample(sample)
        if not sample.pace:
            self._plan.record_failure(self._loop.time())
            return True
        if self._failing:
            logger.info("pace of the upstream is sampled again")
        self._failing = False
        self._plan.record_pace(self._loop.time(), sample.pace)
        return True

    async def _request(self) -> Sample:
        if self._conn is None or not self._conn.usable:
            async with asyncio.timeout(SAMPLE_TIMEOUT_S):
                _, self._conn = await self._loop.create_connection(
                    lambda: HealthConnection(self._dialect), *self._address
                )
        request_line = f"GET {self.path} HTTP/1.1\r\n".encode("latin-1")
        host = "{}:{}".format(*self._address).encode()
        headers = self._dialect.sample_headers(self.instance, host)
        return await self._conn.request(write_head(request_line, headers, None))

    def _disconnect(self) -> None:
        if self._conn is not None:
            self._conn.close()
            self._conn = None
