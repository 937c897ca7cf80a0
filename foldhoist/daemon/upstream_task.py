"""Takes what the upstream announces, and answers it when that binds."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

from foldhoist.admission.bucket import TokenBucket
from foldhoist.membership.incarnations import UpstreamIncarnation, incarnation_of
from foldhoist.membership.startup_barrier import StartupBarrier
from foldhoist.membership.upstream import AnnouncementResult, OwnUpstream

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from collections.abc import Set as AbstractSet

    from foldhoist.daemon.owner_task import OwnerTask
    from foldhoist.daemon.peers_task import PeersTask
    from foldhoist.schema.messages import Announced

SETTLE_S = 2.0
"""Longest wait of a restarted daemon for what earlier lives have acknowledged, seconds."""
PEERS_S = 0.4
"""Longest wait for peers after the store has answered, seconds.

A peer that runs answers within some milliseconds; without this bound, records of hosts that are
gone keep a restarted daemon from serving for the whole of `SETTLE_S`.
"""
BIND_S = 0.6
"""Longest wait for a peer or the store to note that the upstream leaves, seconds."""
WRITE_AGAIN_S = 0.1
"""First pause after the store did not note a leaving, seconds; it doubles each time."""
WRITE_LONGEST_S = 3.0
"""Longest such pause, seconds."""
PASSED_OVER_PER_S = 0.1
"""Log lines a second of words that are passed over: who writes them does so every few seconds."""
PASSED_OVER_AT_ONCE = 5.0
"""Such lines that may be written at once."""
LONGEST_FAULT = 300
"""Longest part of a fault that is logged, characters."""


@dataclass(slots=True)
class Counters:
    """What was said of the upstream since this daemon started."""

    heard: int = 0
    passed_over: int = 0


class _Binding(NamedTuple):
    """A leaving that is being noted elsewhere, of a life with this start."""

    born_ms: int
    done: asyncio.Event


class UpstreamTask:
    """Owns what is known of the upstream beside this daemon."""

    def __init__(
        self,
        owner_task: OwnerTask,
        on_change: Callable[[bool], None],
        service: str,
        is_service: Callable[[str], bool] = lambda service: True,
    ) -> None:
        self.count = Counters()
        self.known = OwnUpstream()
        self._is_service = is_service
        self._owner_task = owner_task
        self._on_change = on_change
        self._service = service
        self._barrier = StartupBarrier(first=False)
        self._settled = False
        self._began = 0.0
        self._noted: dict[str, _Binding] = {}
        self._loop = asyncio.get_running_loop()
        self._lines = TokenBucket(PASSED_OVER_PER_S, PASSED_OVER_AT_ONCE, self._loop.time())
        self._stores: set[asyncio.Task[None]] = set()

    def start(self, peers: PeersTask, first: bool) -> None:
        """Begin; the first life of a daemon has nothing to learn of earlier ones."""
        self._peers = peers
        self._barrier = StartupBarrier(first)
        self._began = self._loop.time()
        self._loop.call_later(SETTLE_S, self._give_up)
        self._settle()

    def close(self) -> None:
        """Stop writing."""
        for task in self._stores:
            task.cancel()

    def announcement(self) -> Announced:
        """Return what peers are told; an upstream that may not be used yet is not named."""
        current = self.known.current
        if current is not None and self._settled:
            return current
        return {
            "instance": "",
            "service": self._service,
            "slots": 0,
            "state": "gone",
            "sequence": 0,
            "born_ms": 0,
            "cold_ms": 0,
        }

    async def on_announcement(self, announced: Announced) -> bool:
        """Take in an announcement; returns when a leaving may be acknowledged.

        Returns False if it names no upstream: no configuration knows the service. Who leaves is
        heard all the same.
        """
        if announced["state"] == "ready" and not self._is_service(announced["service"]):
            return False
        self.count.heard += 1
        before = self.known.current
        heard = self.known.apply_announcement(announced, self._loop.time())
        if heard is not AnnouncementResult.NOTHING:
            logger.info(
                "upstream {} of {}: {}, sequence {}",
                _told(incarnation_of(announced)),
                announced["service"],
                announced["state"],
                announced["sequence"],
            )
            self._changed(before)
        elif self.known.current is announced:
            self._owner_task.announced_again(announced["cold_ms"] / 1000)
        if heard is AnnouncementResult.LEAVING:
            await self._bind(incarnation_of(announced))
        elif announced["state"] != "ready":
            await self._until_noted(announced["instance"])
        return True

    def on_invalid(self, fault: str) -> None:
        """Count a word that names no upstream, and log it if there are not too many."""
        self.count.passed_over += 1
        if self._lines.take(self._loop.time()):
            logger.warning("a word on the upstream is passed over: {}", fault[:LONGEST_FAULT])

    async def on_departure(self, instance: str, born_ms: int) -> bool:
        """Take in that a life of the upstream is over; returns when that may be acknowledged.

        Returns False if it is not acknowledged: it may be a late word of the life before.
        """
        before = self.known.current
        wall_ms = int(time.time() * 1000)
        match self.known.apply_departure(instance, self._loop.time(), wall_ms, born_ms):
            case AnnouncementResult.UNSURE:
                logger.info("upstream {} is said to be gone, perhaps its life before", instance)
                return False
            case AnnouncementResult.NOTHING:
                await self._until_noted(instance)
                return True
        logger.info("upstream {} is gone, by its own word", instance)
        self._changed(before)
        await self._bind(UpstreamIncarnation(instance, born_ms))
        return True

    def peer_answered(self, name: str, noted: Iterable[UpstreamIncarnation]) -> None:
        """Take in that a peer has read what this daemon is; it has noted these lives as ended."""
        for life in noted:
            binding = self._noted.get(life.instance)
            if binding is not None and binding.born_ms <= life.born_ms:
                binding.done.set()
        self._barrier.peer_answered(name)
        self._settle()

    def store_answered(self, ended: Iterable[UpstreamIncarnation], peers: AbstractSet[str]) -> None:
        """Take in what the store knows of this daemon's earlier lives, and which peers it names."""
        self._barrier.store_answered(peers)
        self._loop.call_later(PEERS_S, self._waited)
        self._take_ended(ended)

    def add_ended(self, ended: Iterable[UpstreamIncarnation]) -> None:
        """Take in what a peer knows of this daemon's earlier lives."""
        self._barrier.peer_remembered()
        self._take_ended(ended)

    # Steps

    def _take_ended(self, ended: Iterable[UpstreamIncarnation]) -> None:
        before = self.known.current
        if self.known.add_ended(ended):
            logger.info("upstream was leaving before this daemon started")
            self._changed(before)
        self._settle()

    def _waited(self) -> None:
        self._barrier.wait_elapsed()
        self._settle()

    def _give_up(self) -> None:
        self._barrier.give_up()
        self._settle()

    def _settle(self) -> None:
        if self._settled or not self._barrier.done:
            return
        self._settled = True
        logger.info(
            "{:.3f} s after the start, the upstream may be served", self._loop.time() - self._began
        )
        if self.known.current is not None:
            self._changed(None)

    def _changed(self, before: Announced | None) -> None:
        current = self.known.current
        if current is None or not self._settled:
            return
        self._owner_task.announce(current)
        replaced = before is None or not incarnation_of(before).is_same(incarnation_of(current))
        self._on_change(replaced)

    async def _bind(self, life: UpstreamIncarnation) -> None:
        """Wait until a peer or the store has noted the leaving, so that it outlasts this life."""
        binding = _Binding(life.born_ms, asyncio.Event())
        self._noted[life.instance] = binding
        task = self._loop.create_task(self._store(binding.done))
        self._stores.add(task)
        task.add_done_callback(self._stores.discard)
        if not await self._until_noted(life.instance):
            logger.warning("no peer and no store noted that {} leaves", life.instance)
        if self._noted.get(life.instance) is binding:
            del self._noted[life.instance]

    async def _until_noted(self, instance: str) -> bool:
        """Wait while a leaving is being noted; returns whether that was done in time."""
        binding = self._noted.get(instance)
        if binding is None:
            return True
        try:
            async with asyncio.timeout(BIND_S):
                await binding.done.wait()
        except TimeoutError:
            return False
        return True

    async def _store(self, event: asyncio.Event) -> None:
        """Write the leaving to the store, again and again until that is done."""
        pause = WRITE_AGAIN_S
        while not await self._peers.write_record():
            await asyncio.sleep(pause)
            pause = min(WRITE_LONGEST_S, pause * 2)
        event.set()


def _told(life: UpstreamIncarnation) -> str:
    """Return what the log calls a life."""
    return f"{life.instance} (started {life.born_ms})" if life.born_ms else life.instance
