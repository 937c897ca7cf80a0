"""Applies the upstream's announcements.

A departure is acknowledged once a peer or the store has recorded it, or after a timeout.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

from foldhoist.admission.bucket import TokenBucket
from foldhoist.daemon.background import run_once, run_task
from foldhoist.membership.incarnations import UpstreamIncarnation, incarnation_of
from foldhoist.membership.startup_barrier import StartupBarrier
from foldhoist.membership.upstream import AnnouncementResult, OwnUpstream

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from collections.abc import Set as AbstractSet

    from foldhoist.daemon.owner_task import OwnerTask
    from foldhoist.daemon.peers_task import PeersTask
    from foldhoist.schema.messages import Announced

STARTUP_TIMEOUT_S = 2.0
"""Maximum wait of a restarted daemon for departures acknowledged before its start, seconds."""
PEERS_TIMEOUT_S = 0.4
"""Maximum wait for peers after the store has answered, seconds.

It keeps records of hosts that no longer exist from delaying the start by `STARTUP_TIMEOUT_S`.
"""
RECORD_TIMEOUT_S = 0.6
"""Maximum wait for a peer or the store to record that the upstream leaves, seconds."""
MIN_WRITE_RETRY_S = 0.1
"""Pause after the first failed write of a departure to the store, seconds; it doubles."""
MAX_WRITE_RETRY_S = 3.0
"""Maximum pause after a failed write, seconds."""
INVALID_LOG_LINES_PER_S = 0.1
"""Rate limit of log lines on rejected announcements, which are often repeated."""
INVALID_LOG_LINES_BURST = 5.0
"""Number of such lines that may be written in a burst."""
MAX_FAULT_CHARS = 300
"""Maximum length of a logged fault, characters."""


@dataclass(slots=True)
class Counters:
    """Counters of announcements: `heard` were handled, `passed_over` were rejected."""

    heard: int = 0
    passed_over: int = 0


class _PendingRecord(NamedTuple):
    """A departure that is being recorded elsewhere; `born_ms` is the incarnation's start."""

    born_ms: int
    done: asyncio.Event


class UpstreamTask:
    """Owns the state of the upstream beside this daemon.

    `on_change(replaced)` is called with whether another incarnation is current.
    """

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
        self._released = False
        self._started_at = 0.0
        self._pending_records: dict[str, _PendingRecord] = {}
        self._loop = asyncio.get_running_loop()
        self._log_bucket = TokenBucket(
            INVALID_LOG_LINES_PER_S, INVALID_LOG_LINES_BURST, self._loop.time()
        )
        self._writes: set[asyncio.Task[None]] = set()

    def start(self, peers: PeersTask, first: bool) -> None:
        """Start waiting for the store and peers; `first` says that there is nothing to wait for."""
        self._peers = peers
        self._barrier = StartupBarrier(first)
        self._started_at = self._loop.time()
        self._loop.call_later(STARTUP_TIMEOUT_S, self._give_up)
        self._release_if_done()

    def close(self) -> None:
        """Cancel the writes to the store."""
        for task in self._writes:
            task.cancel()

    def announcement(self) -> Announced:
        """Return the announcement for peers; its `instance` is empty until calls may go to it."""
        current = self.known.current
        if current is not None and self._released:
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
        """Apply an announcement; a departure returns once it may be acknowledged.

        Returns False if the upstream is ready and its service is not in the configuration, or if it
        leaves and may be a previous incarnation.
        """
        if announced["state"] == "ready" and not self._is_service(announced["service"]):
            return False
        self.count.heard += 1
        before = self.known.current
        result = self.known.apply_announcement(announced, self._loop.time())
        if result is AnnouncementResult.UNSURE:
            self._log_unsure(incarnation_of(announced))
            return False
        if result is not AnnouncementResult.NOTHING:
            logger.info(
                "upstream {} of {}: {}, sequence {}",
                _label(incarnation_of(announced)),
                announced["service"],
                announced["state"],
                announced["sequence"],
            )
            self._publish(before)
        elif self.known.current is announced:
            self._owner_task.announced_again(announced["cold_ms"] / 1000)
        if result is AnnouncementResult.LEAVING:
            await self._record_departure(incarnation_of(announced))
        elif announced["state"] != "ready":
            await self._until_recorded(announced["instance"])
        return True

    def on_invalid(self, fault: str) -> None:
        """Count a rejected announcement or departure, and log it within the rate limit."""
        self.count.passed_over += 1
        if self._log_bucket.take(self._loop.time()):
            logger.warning("announcement of the upstream is rejected: {}", fault[:MAX_FAULT_CHARS])

    async def on_departure(self, instance: str, born_ms: int) -> bool:
        """Apply the departure of an incarnation; return once it may be acknowledged.

        Returns False if it may be a late message of a previous incarnation.
        """
        before = self.known.current
        wall_ms = int(time.time() * 1000)
        match self.known.apply_departure(instance, self._loop.time(), wall_ms, born_ms):
            case AnnouncementResult.UNSURE:
                self._log_unsure(UpstreamIncarnation(instance, born_ms))
                return False
            case AnnouncementResult.NOTHING:
                await self._until_recorded(instance)
                return True
        logger.info("upstream {} has announced its departure", instance)
        self._publish(before)
        await self._record_departure(UpstreamIncarnation(instance, born_ms))
        return True

    def _log_unsure(self, incarnation: UpstreamIncarnation) -> None:
        logger.info(
            "departure of upstream {} is not acknowledged, it may be of a previous incarnation",
            _label(incarnation),
        )

    def leaving_signalled(self, incarnation: UpstreamIncarnation) -> None:
        """Handle the signal in an answer that this incarnation is leaving, as its announcement.

        Later announcements that it is ready are ignored; the departure is recorded.
        """
        before = self.known.current
        if not self.known.add_ended([incarnation]):
            return
        self._publish(before)
        task = run_once("departure", lambda: self._record_departure(incarnation))
        self._writes.add(task)
        task.add_done_callback(self._writes.discard)

    def peer_answered(self, name: str, recorded: Iterable[UpstreamIncarnation]) -> None:
        """Handle a peer's answer; it has recorded these incarnations as ended."""
        for incarnation in recorded:
            pending = self._pending_records.get(incarnation.instance)
            if pending is not None and pending.born_ms <= incarnation.born_ms:
                pending.done.set()
        self._barrier.peer_answered(name)
        self._release_if_done()

    def store_answered(self, ended: Iterable[UpstreamIncarnation], peers: AbstractSet[str]) -> None:
        """Handle the store's answer: the upstream's ended incarnations and the peers it names."""
        self._barrier.store_answered(peers)
        self._loop.call_later(PEERS_TIMEOUT_S, self._on_wait_elapsed)
        self._apply_ended(ended)

    def add_ended(self, ended: Iterable[UpstreamIncarnation]) -> None:
        """Add ended incarnations that a peer knows from an earlier incarnation of this daemon."""
        self._barrier.peer_remembered()
        self._apply_ended(ended)

    def _apply_ended(self, ended: Iterable[UpstreamIncarnation]) -> None:
        before = self.known.current
        if self.known.add_ended(ended):
            logger.info("upstream was already leaving before this daemon started")
            self._publish(before)
        self._release_if_done()

    def _on_wait_elapsed(self) -> None:
        self._barrier.wait_elapsed()
        self._release_if_done()

    def _give_up(self) -> None:
        self._barrier.give_up()
        self._release_if_done()

    def _release_if_done(self) -> None:
        if self._released or not self._barrier.done:
            return
        self._released = True
        logger.info(
            "{:.3f} s after the start, the upstream may receive calls",
            self._loop.time() - self._started_at,
        )
        if self.known.current is not None:
            self._publish(None)

    def _publish(self, before: Announced | None) -> None:
        current = self.known.current
        if current is None or not self._released:
            return
        self._owner_task.announce(current)
        replaced = before is None or not incarnation_of(before).is_same(incarnation_of(current))
        self._on_change(replaced)

    async def _record_departure(self, incarnation: UpstreamIncarnation) -> None:
        """Wait until a peer or the store has recorded the departure, to survive a restart."""
        pending = _PendingRecord(incarnation.born_ms, asyncio.Event())
        self._pending_records[incarnation.instance] = pending
        task = run_task("departure record", lambda: self._write_to_store(pending.done))
        self._writes.add(task)
        task.add_done_callback(self._writes.discard)
        if not await self._until_recorded(incarnation.instance):
            logger.warning(
                "neither a peer nor the store has recorded the departure of {}",
                incarnation.instance,
            )
        if self._pending_records.get(incarnation.instance) is pending:
            del self._pending_records[incarnation.instance]

    async def _until_recorded(self, instance: str) -> bool:
        """Wait while a departure is being recorded; return False on a timeout."""
        pending = self._pending_records.get(instance)
        if pending is None:
            return True
        try:
            async with asyncio.timeout(RECORD_TIMEOUT_S):
                await pending.done.wait()
        except TimeoutError:
            return False
        return True

    async def _write_to_store(self, event: asyncio.Event) -> None:
        """Write the departure to the store, with retries until it succeeds."""
        pause = MIN_WRITE_RETRY_S
        while not await self._peers.write_record():
            await asyncio.sleep(pause)
            pause = min(MAX_WRITE_RETRY_S, pause * 2)
        event.set()


def _label(incarnation: UpstreamIncarnation) -> str:
    """Return the label of an incarnation in the log."""
    return (
        f"{incarnation.instance} (started {incarnation.born_ms})"
        if incarnation.born_ms
        else incarnation.instance
    )
