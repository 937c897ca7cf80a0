"""Reads the configuration from an adapter's store and distributes it between daemons."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from loguru import logger

from foldhoist.config.fleet import with_evacuated
from foldhoist.configlog.evacuations import Evacuations
from foldhoist.configlog.versions import (
    NO_ANSWER_AGE_MS,
    REPORT_INTERVAL_S,
    CurrentVersion,
    ReaderElection,
    Reply,
    Version,
)
from foldhoist.daemon.background import run_task

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from foldhoist.daemon.peers_task import PeersTask
    from foldhoist.daemon.ports import Adapter, Store, StoreFault
    from foldhoist.schema.fleet import Fleet
    from foldhoist.schema.messages import Evacuated, Fresh, Member, Versioned

MIN_RETRY_S = 0.1
"""Shortest pause after a failed call to the store, seconds, before jitter."""
MAX_RETRY_S = 1.0
"""Longest interval between the starts of failing calls, seconds, before jitter.

The interval doubles after each failure. A call that takes longer than the interval is followed by
the shortest pause.
"""
MIN_ANSWER_TIMEOUT_S = 0.9
"""Timeout of a call to the store, beyond the time for which the store waits for data, seconds."""
MAX_ANSWER_TIMEOUT_S = 2.0
"""Longest such timeout after repeated failures, seconds, since the store may only be slow."""
ANSWER_TIMEOUT_GROWTH = 1.5
"""Factor by which that timeout grows while the store does not answer."""
POLL_JITTER = 0.05
"""Largest part of a poll's wait that is left out at random."""
CHECK_INTERVAL_S = 0.2
"""Interval at which a daemon that does not read the store checks whether it should, seconds."""
PEER_LIST_TIMEOUT_S = 0.5
"""Longest wait at the start for the list of peers, which determines the readers, seconds."""
PEER_CONFIGURATION_TIMEOUT_S = 1.0
"""A restarted daemon without a configuration reads the store after this time, seconds."""
REMOTE_REPORT_DELAY_S = 0.3
"""Delay of reports of a change to other data centres, seconds.

Their own readers can distribute it first, so that fewer daemons request it from here.
"""
REQUEST_INTERVAL_S = 0.2
"""Shortest interval between requests for a peer's version, seconds."""
ASK_INTERVAL_S = 0.4
"""Mean interval of a reader's requests to peers while the store does not answer, seconds."""


@dataclass(slots=True)
class Counters:
    """Counters of the configuration task."""

    adopted: int = 0
    asked: int = 0
    evacuations: int = 0
    passed_on: int = 0
    refused: int = 0
    store_errors: int = 0
    store_reads: int = 0


class VersionsTask:
    """Owns the version of the configuration in force and the evacuations.

    `on_adopt(version, fleet)` is called when either has changed, once there is a version.
    """

    def __init__(
        self,
        adapter: Adapter,
        store: Store,
        readers: ReaderElection,
        wait_ms: int,
        on_adopt: Callable[[Version, Fleet], None],
        rng: Random,
    ) -> None:
        self.count = Counters()
        self.current = CurrentVersion()
        self.evacuations = Evacuations()
        self.fleet: Fleet | None = None
        self.store_ok = False
        self._adapter = adapter
        self._store = store
        self._readers = readers
        self._wait_ms = wait_ms
        self._on_adopt = on_adopt
        self._rng = rng
        self._answered_at = float("-inf")
        self._has_news = False
        self._requested_at = float("-inf")
        self._answer_timeout_s = MIN_ANSWER_TIMEOUT_S
        self._remote_report: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, peers: PeersTask, first: bool) -> None:
        """Start reading and reporting; `first` means that no daemon has a configuration yet."""
        self._peers = peers
        self._read_alone_at = (
            float("inf") if first else self._loop.time() + PEER_CONFIGURATION_TIMEOUT_S
        )
        self._tasks = [
            run_task("store reader", self._read_loop),
            run_task("store reports", self._report_loop),
            run_task("version requests", self._ask_loop),
        ]

    def close(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()
        if self._remote_report is not None:
            self._remote_report.cancel()

    @property
    def version(self) -> Version:
        """Return the version in force; number 0 means none."""
        return self.current.version

    def on_versioned(self, name: str, message: Versioned) -> None:
        """Handle a peer's version and evacuations.

        A change that came from another data centre is reported in this one, whose readers may not
        have it.
        """
        evacuated = message.get("evacuated")
        changed = evacuated is not None and self._apply_evacuated(evacuated)
        adopted = self._adopt(Version(message["version"], message["content"]))
        if (adopted or changed) and not self._peers.is_local(name):
            self._peers.broadcast("Fresh", self._fresh(wanted=False), local=True)

    def on_fresh(self, name: str, message: Fresh) -> None:
        """Handle a peer's report of its version, evacuations and last answer of the store."""
        self._readers.on_report(self._loop.time(), name, message["age_ms"] / 1000)
        evacuated = message.get("evacuated")
        if (
            evacuated is not None
            and self._apply_evacuated(evacuated)
            and not self._peers.is_local(name)
        ):
            self._peers.broadcast("Fresh", self._fresh(wanted=False), local=True)
        match self.current.reply(message["version"], message["wanted"]):
            case Reply.CONTENT:
                self._peers.send(name, "Versioned", self.as_message())
            case Reply.REQUEST:
                self._request(name)
            case Reply.NUMBER:
                self._peers.send(name, "Fresh", self._fresh(wanted=False))
            case Reply.NOTHING if evacuated is not None and evacuated["at"] < self.evacuations.at:
                self._peers.send(name, "Fresh", self._fresh(wanted=False))

    def is_behind(self, member: Member) -> bool:
        """Return whether a peer's version or evacuations are older."""
        lacks_version = member["version"] < self.version.number
        return lacks_version or member.get("evacuated_at", 0) < self.evacuations.at

    def update_for(self, name: str, version: int) -> tuple[str, Versioned | Fresh]:
        """Return the kind and body of the message to a peer that is behind.

        Content goes to another data centre only on request: a restarted daemon would otherwise get
        it from each of its peers.
        """
        if version < self.version.number and self._peers.is_local(name):
            return "Versioned", self.as_message()
        return "Fresh", self._fresh(wanted=False)

    def as_message(self) -> Versioned:
        """Return the version in force and the evacuations as a message."""
        return {
            "version": self.version.number,
            "content": self.version.content,
            "evacuated": self.evacuations.as_message(),
        }

    def _request(self, name: str) -> None:
        """Request a peer's version, unless a peer was asked within `REQUEST_INTERVAL_S`."""
        now = self._loop.time()
        if now - self._requested_at < REQUEST_INTERVAL_S:
            return
        self._requested_at = now
        self._peers.send(name, "Fresh", self._fresh(wanted=True))

    async def _read_loop(self) -> None:
        interval = MIN_RETRY_S
        await self._wait_for_peer_list()
        while True:
            if not self._is_reader():
                await asyncio.sleep(CHECK_INTERVAL_S)
                continue
            started_at = self._loop.time()
            if await self._read_once():
                interval = MIN_RETRY_S
                continue
            elapsed = self._loop.time() - started_at
            remaining = max(MIN_RETRY_S, interval - elapsed)
            await asyncio.sleep(remaining * (0.5 + self._rng.random()))
            interval = min(MAX_RETRY_S, interval * 2)

    async def _wait_for_peer_list(self) -> None:
        """Wait for the list of peers; without it, every daemon would read the store."""
        with suppress(TimeoutError):
            async with asyncio.timeout(PEER_LIST_TIMEOUT_S):
                await self._peers.listed.wait()

    def _is_reader(self) -> bool:
        now = self._loop.time()
        return self._readers.should_read(now) or (self.fleet is None and now >= self._read_alone_at)

    async def _read_once(self) -> bool:
        """Read the store; returns whether to read again without a pause."""
        self.count.store_reads += 1
        if self._answered_at == float("-inf"):
            answer = await self._store.newest(self._answer_timeout_s)
        else:
            answer = await self._store.poll(self._poll_wait_ms(), self._answer_timeout_s)
        if answer.is_error():
            self._on_read_failed(answer.error)
            return False
        self._answer_timeout_s = MIN_ANSWER_TIMEOUT_S
        self._answered_at = self._loop.time()
        self._set_store_ok(True)
        data = answer.ok
        self._has_news = data.version is not None or bool(data.evacuations.records)
        if self.evacuations.apply_stored(data.evacuations):
            self._on_evacuations_changed()
            self._peers.broadcast("Fresh", self._fresh(wanted=False), local=True)
            self._schedule_remote_report()
        if data.version is None:
            return self.fleet is not None
        if self._adopt(data.version):
            self._distribute()
        return True

    def _on_read_failed(self, fault: StoreFault) -> None:
        self.count.store_errors += 1
        if fault.sent and not self.store_ok:
            self._answer_timeout_s = min(
                MAX_ANSWER_TIMEOUT_S, self._answer_timeout_s * ANSWER_TIMEOUT_GROWTH
            )
        self._set_store_ok(False, fault.what)

    def _poll_wait_ms(self) -> int:
        """Return how long the store may wait for data, milliseconds; 0 if its last call failed.

        A call to a store that stops answering, or on a connection that has gone silent, hangs until
        its timeout. So readers begin to wait at different times, and not at all after a failure.
        """
        if not self.store_ok:
            return 0
        now = self._loop.time()
        wait_s = self._readers.poll_wait_s(now, self._wait_ms / 1000, self._has_news)
        return int(wait_s * 1000 * (1.0 - POLL_JITTER * self._rng.random()))

    def _set_store_ok(self, ok: bool, what: str = "") -> None:
        if ok == self.store_ok:
            return
        self.store_ok = ok
        logger.info("store {}", "answers" if ok else f"call failed: {what}")
        if not ok:
            self._peers.broadcast("Fresh", self._fresh(wanted=False), local=True)

    def _apply_evacuated(self, evacuated: Evacuated) -> bool:
        """Apply a peer's evacuations; returns whether the evacuated data centres changed."""
        if not self.evacuations.apply_peer(evacuated):
            return False
        self._on_evacuations_changed()
        return True

    def _on_evacuations_changed(self) -> None:
        self.count.evacuations += 1
        names = ", ".join(sorted(self.evacuations.data_centres)) or "none"
        logger.info("data centres evacuated: {}", names)
        if self.fleet is not None:
            self.fleet = with_evacuated(self.fleet, self.evacuations.data_centres)
            self._on_adopt(self.version, self.fleet)

    def _adopt(self, version: Version) -> bool:
        if not self.current.wants(version.number):
            return False
        translated = self._adapter.translate(version)
        if translated.is_error():
            self.current.mark_unusable(version)
            self.count.refused += 1
            logger.error("version {} cannot be used: {}", version.number, translated.error)
            return False
        before = self.version.number
        self.current.adopt(version)
        self.fleet = with_evacuated(translated.ok, self.evacuations.data_centres)
        self.count.adopted += 1
        logger.info("version {} in force, was {}", version.number, before)
        self._on_adopt(version, self.fleet)
        return True

    def _distribute(self) -> None:
        """Send the content to this data centre, and later a report to the others."""
        self.count.passed_on += 1
        self._peers.broadcast("Versioned", self.as_message(), local=True)
        self._schedule_remote_report()

    def _schedule_remote_report(self) -> None:
        if self._remote_report is None:
            self._remote_report = self._loop.call_later(
                REMOTE_REPORT_DELAY_S, self._report_to_remote
            )

    def _report_to_remote(self) -> None:
        self._remote_report = None
        self._peers.broadcast("Fresh", self._fresh(wanted=False), local=False)

    async def _report_loop(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            if self.store_ok and self._readers.should_read(self._loop.time()):
                self._peers.broadcast("Fresh", self._fresh(wanted=False), local=True)

    async def _ask_loop(self) -> None:
        """Ask random peers for their versions while this reader gets no answer from the store."""
        while True:
            await asyncio.sleep(ASK_INTERVAL_S * (0.5 + self._rng.random()))
            if self.store_ok or not self._readers.should_read(self._loop.time()):
                continue
            self.count.asked += 1
            self._peers.send_to_random("Fresh", self._fresh(wanted=True))

    def _fresh(self, wanted: bool) -> Fresh:
        age_ms = NO_ANSWER_AGE_MS
        if self.store_ok:
            age_ms = min(NO_ANSWER_AGE_MS, int((self._loop.time() - self._answered_at) * 1000))
        return {
            "version": self.version.number,
            "age_ms": age_ms,
            "wanted": wanted,
            "evacuated": self.evacuations.as_message(),
        }
