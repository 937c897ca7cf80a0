"""The configuration in force, read from an adapter's store and passed on between daemons."""

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

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from foldhoist.daemon.peers_task import PeersTask
    from foldhoist.daemon.ports import Adapter, Store, StoreFault
    from foldhoist.schema.fleet import Fleet
    from foldhoist.schema.messages import Evacuated, Fresh, Member, Versioned

MIN_RETRY_S = 0.1
"""First time from one call to a store that has failed to the next, seconds; it doubles."""
MAX_RETRY_S = 1.0
"""Longest such time, seconds; a call that hangs longer is followed by another after the first."""
MIN_ANSWER_TIMEOUT_S = 0.9
"""Longest wait for an answer of the store beside the wait for news, seconds."""
MAX_ANSWER_TIMEOUT_S = 2.0
"""The same after it has failed some times: perhaps it is only slow."""
ANSWER_GROWS = 1.5
"""What that wait is multiplied by each time."""
LEAST_POLL_SHARE = 0.4
"""Shortest wait for news, as a share of the longest; it is drawn by lot."""
CHECK_INTERVAL_S = 0.2
"""Time between two looks at whether this daemon is to read, seconds."""
LISTED_S = 0.5
"""Longest wait for the list of peers, which says who reads, seconds; the store takes 0.01."""
PEER_CONFIGURATION_TIMEOUT_S = 1.0
"""A restarted daemon that no peer has given a configuration for so long reads itself, seconds."""
ACROSS_S = 0.3
"""Other data centres are told of a new version so much later, seconds: their own readers have
passed it on by then, and only who still lacks it asks. A change has some seconds.
"""
REQUEST_S = 0.2
"""A version that a peer was asked for is not asked for again within this time, seconds."""
ASK_S = 0.4
"""Time between two questions to a peer while no reader is heard, seconds."""


@dataclass(slots=True)
class Counters:
    """What the configuration task has counted."""

    adopted: int = 0
    asked: int = 0
    evacuations: int = 0
    passed_on: int = 0
    refused: int = 0
    store_errors: int = 0
    store_reads: int = 0


class VersionsTask:
    """Owns what the operator has ordered: the version in force, and evacuations.

    `on_adopt(version, fleet)` is called when either has changed.
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
        self._requested_at = float("-inf")
        self._answer_s = MIN_ANSWER_TIMEOUT_S
        self._across: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, peers: PeersTask, first: bool) -> None:
        """Start reading and telling; `first` says that nobody has a configuration yet."""
        self._peers = peers
        self._alone_at = float("inf") if first else self._loop.time() + PEER_CONFIGURATION_TIMEOUT_S
        create = self._loop.create_task
        self._tasks = [create(self._read()), create(self._tell()), create(self._ask())]

    def close(self) -> None:
        """Stop."""
        for task in self._tasks:
            task.cancel()
        if self._across is not None:
            self._across.cancel()

    @property
    def version(self) -> Version:
        """Return the version in force; number 0 is none."""
        return self.current.version

    def on_versioned(self, name: str, message: Versioned) -> None:
        """Take in a configuration that a peer passed on.

        What came from another data centre is told in this one: its own readers may lack it.
        """
        evacuated = message.get("evacuated")
        heard = evacuated is not None and self._hear(evacuated)
        taken = self._take(Version(message["version"], message["content"]))
        if (taken or heard) and not self._peers.is_local(name):
            self._peers.broadcast("Fresh", self._fresh(wanted=False), local=True)

    def on_fresh(self, name: str, message: Fresh) -> None:
        """Take in what a peer holds, and how recently the store answered it."""
        self._readers.on_report(self._loop.time(), name, message["age_ms"] / 1000)
        evacuated = message.get("evacuated")
        if evacuated is not None and self._hear(evacuated) and not self._peers.is_local(name):
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
        """Return whether a peer lacks what the operator has ordered."""
        lacks_version = member["version"] < self.version.number
        return lacks_version or member.get("evacuated_at", 0) < self.evacuations.at

    def update_for(self, name: str, version: int) -> tuple[str, Versioned | Fresh]:
        """Return what a peer that is behind is told, as a kind of message and its body.

        Content crosses to another data centre only if it is asked for: a restarted daemon would
        else get it from each of its peers.
        """
        if version < self.version.number and self._peers.is_local(name):
            return "Versioned", self.as_message()
        return "Fresh", self._fresh(wanted=False)

    def as_message(self) -> Versioned:
        """Return the version in force for a peer."""
        return {
            "version": self.version.number,
            "content": self.version.content,
            "evacuated": self.evacuations.as_message(),
        }

    # Steps

    def _request(self, name: str) -> None:
        """Ask a peer for its version, unless one was asked a moment ago."""
        now = self._loop.time()
        if now - self._requested_at < REQUEST_S:
            return
        self._requested_at = now
        self._peers.send(name, "Fresh", self._fresh(wanted=True))

    async def _read(self) -> None:
        pause = MIN_RETRY_S
        await self._until_listed()
        while True:
            if not self._is_reader():
                await asyncio.sleep(CHECK_INTERVAL_S)
                continue
            began = self._loop.time()
            if await self._read_once():
                pause = MIN_RETRY_S
                continue
            spent = self._loop.time() - began
            left = max(MIN_RETRY_S, pause - spent)
            await asyncio.sleep(left * (0.5 + self._rng.random()))
            pause = min(MAX_RETRY_S, pause * 2)

    async def _until_listed(self) -> None:
        """Wait until it is known who reads: with many daemons it is seldom this one."""
        with suppress(TimeoutError):
            async with asyncio.timeout(LISTED_S):
                await self._peers.listed.wait()

    def _is_reader(self) -> bool:
        now = self._loop.time()
        return self._readers.should_read(now) or (self.fleet is None and now >= self._alone_at)

    async def _read_once(self) -> bool:
        self.count.store_reads += 1
        if self._answered_at == float("-inf"):
            answer = await self._store.newest(self._answer_s)
        else:
            answer = await self._store.poll(self._news_wait_ms(), self._answer_s)
        if answer.is_error():
            self._failed(answer.error)
            return False
        self._answer_s = MIN_ANSWER_TIMEOUT_S
        self._answered_at = self._loop.time()
        self._store_is(True)
        news = answer.ok
        if self.evacuations.apply_stored(news.evacuations):
            self._evacuated()
            self._peers.broadcast("Fresh", self._fresh(wanted=False), local=True)
            self._pass_across()
        if news.version is None:
            return self.fleet is not None
        if self._take(news.version):
            self._pass_on()
        return True

    def _failed(self, fault: StoreFault) -> None:
        self.count.store_errors += 1
        if fault.sent and not self.store_ok:
            self._answer_s = min(MAX_ANSWER_TIMEOUT_S, self._answer_s * ANSWER_GROWS)
        self._store_is(False, fault.what)

    def _news_wait_ms(self) -> int:
        """Return how long to wait for news; not at all at a store that has just failed.

        A call hangs until its time is up if the store falls silent meanwhile, also when the store
        has long been back. So readers do not wait in step, and ask a failing store briefly.
        """
        if not self.store_ok:
            return 0
        share = LEAST_POLL_SHARE + (1.0 - LEAST_POLL_SHARE) * self._rng.random()
        return int(self._wait_ms * share)

    def _store_is(self, ok: bool, what: str = "") -> None:
        if ok == self.store_ok:
            return
        self.store_ok = ok
        logger.info("store {}", "answers" if ok else f"does not answer: {what}")
        if not ok:
            self._peers.broadcast("Fresh", self._fresh(wanted=False), local=True)

    def _hear(self, evacuated: Evacuated) -> bool:
        """Take in what a peer holds; returns whether other data centres are evacuated now."""
        if not self.evacuations.apply_peer(evacuated):
            return False
        self._evacuated()
        return True

    def _evacuated(self) -> None:
        self.count.evacuations += 1
        names = ", ".join(sorted(self.evacuations.data_centres)) or "none"
        logger.info("data centres evacuated: {}", names)
        if self.fleet is not None:
            self.fleet = with_evacuated(self.fleet, self.evacuations.data_centres)
            self._on_adopt(self.version, self.fleet)

    def _take(self, version: Version) -> bool:
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

    def _pass_on(self) -> None:
        """Give the data centre the content, and the others word of it: they ask if they lack it."""
        self.count.passed_on += 1
        self._peers.broadcast("Versioned", self.as_message(), local=True)
        self._pass_across()

    def _pass_across(self) -> None:
        if self._across is None:
            self._across = self._loop.call_later(ACROSS_S, self._tell_across)

    def _tell_across(self) -> None:
        self._across = None
        self._peers.broadcast("Fresh", self._fresh(wanted=False), local=False)

    async def _tell(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            if self.store_ok and self._readers.should_read(self._loop.time()):
                self._peers.broadcast("Fresh", self._fresh(wanted=False), local=True)

    async def _ask(self) -> None:
        """While the store does not answer, ask any peer what it holds."""
        while True:
            await asyncio.sleep(ASK_S * (0.5 + self._rng.random()))
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
