"""Polls the upstream's health endpoint and this daemon's state in the platform's host list."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypedDict

from loguru import logger
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.iostream import UnsatisfiableReadError

from foldhoist.admission.bucket import TokenBucket
from foldhoist.daemon.answer_size import MAX_HEAD_BYTES
from foldhoist.daemon.background import run_task
from foldhoist.daemon.health_connection import MAX_HEALTH_BYTES
from foldhoist.decoding import json_decoder

if TYPE_CHECKING:
    from collections.abc import Callable

    from foldhoist.logservice.client import PlatformClient
    from foldhoist.schema.settings import Settings

PROBE_TIMEOUT_S = 1.0
"""Timeout of a probe, seconds."""
DOWN_AFTER_REFUSALS = 3
"""Refused connections since the last successful probe at which the upstream is down."""


class Health(TypedDict, total=False):
    """The fields of a health answer; they may be outdated or wrong."""

    state: str


_HEALTH = json_decoder(Health)


@dataclass(slots=True)
class Counters:
    """Counters of the prober."""

    failed: int = 0
    host_errors: int = 0
    host_reads: int = 0
    probes: int = 0


class Prober:
    """Probes the upstream within the rate limit `probes_per_s`."""

    def __init__(
        self,
        cfg: Settings,
        client: PlatformClient,
        on_state: Callable[[str], None],
        on_host: Callable[[str], None],
    ) -> None:
        self.count = Counters()
        self._cfg = cfg
        self._client = client
        self._on_state = on_state
        self._on_host = on_host
        self._http = AsyncHTTPClient(
            force_instance=True, max_header_size=MAX_HEAD_BYTES, max_body_size=MAX_HEALTH_BYTES
        )
        self._refused = 0
        self._failing = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start probing and reading the host list."""
        self._tasks = [run_task("prober", self._probe)]
        if self._cfg["platform"]["hosts"]:
            self._tasks.append(run_task("host list", self._read_hosts))

    def close(self) -> None:
        """Cancel both tasks and close the HTTP client."""
        for task in self._tasks:
            task.cancel()
        self._http.close()

    async def _probe(self) -> None:
        rate = self._cfg["measuring"]["probes_per_s"]
        if rate <= 0:
            return
        loop = asyncio.get_running_loop()
        bucket = TokenBucket(rate, 1.0, loop.time())
        while True:
            wait = bucket.wait(loop.time())
            if wait > 0:
                await asyncio.sleep(wait)
            if bucket.take(loop.time()):
                await self._probe_once()

    async def _probe_once(self) -> None:
        self.count.probes += 1
        cfg = self._cfg["upstream"]
        url = f"http://{cfg['address']}{cfg['health_path']}"
        req = HTTPRequest(url, connect_timeout=PROBE_TIMEOUT_S, request_timeout=PROBE_TIMEOUT_S)
        try:
            answer = await self._http.fetch(req)
            health = _HEALTH.decode(answer.body)
        except ConnectionRefusedError:
            self.count.failed += 1
            self._refused += 1
            if self._refused == DOWN_AFTER_REFUSALS:
                self._on_state("down")
            return
        except (HTTPClientError, UnsatisfiableReadError, OSError, ValueError) as exc:
            self.count.failed += 1
            self._log_failure(exc)
            return
        self._refused = 0
        self._failing = False
        self._on_state(_known_state(health.get("state", "warm")))

    def _log_failure(self, exc: Exception) -> None:
        """Log the first of several failed probes in a row."""
        if not self._failing:
            address = self._cfg["upstream"]["address"]
            logger.warning("upstream at {} has no valid health answer: {!r}", address, exc)
        self._failing = True

    async def _read_hosts(self) -> None:
        poll_s = self._cfg["platform"]["hosts_poll_ms"] / 1000
        while True:
            self.count.host_reads += 1
            answer = await self._client.host_state(self._cfg["daemon"]["name"])
            if answer.is_ok():
                self._on_host(answer.ok)
            else:
                self.count.host_errors += 1
            await asyncio.sleep(poll_s)


def _known_state(state: str) -> str:
    return state if state in ("cold", "warm", "shedding", "leaving") else "warm"
