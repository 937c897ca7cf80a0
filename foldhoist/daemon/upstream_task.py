"""Takes what the upstream announces, and answers it when that binds."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from foldhoist.membership.upstream import Heard, OwnUpstream

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from foldhoist.daemon.owner_task import OwnerTask
    from foldhoist.daemon.peers_task import PeersTask
    from foldhoist.schema.messages import Announced

SETTLE_S = 2.0
"""Longest wait of a restarted daemon for what earlier lives have acknowledged, seconds."""
BIND_S = 0.6
"""Longest wait for a peer or the store to note that the upstream leaves, seconds."""


class UpstreamTask:
    """Owns what is known of the upstream beside this daemon."""

    def __init__(
        self, owner_task: OwnerTask, on_change: Callable[[bool], None], service: str
    ) -> None:
        self.known = OwnUpstream()
        self._owner_task = owner_task
        self._on_change = on_change
        self._service = service
        self._settled = False
        self._noted: dict[str, asyncio.Event] = {}
        self._loop = asyncio.get_running_loop()
        self._stores: set[asyncio.Task[None]] = set()

    def start(self, peers: PeersTask, first: bool) -> None:
        """Begin; the first life of a daemon has nothing to learn of earlier ones."""
        self._peers = peers
        if first:
            self._settle()
            return
        self._loop.call_later(SETTLE_S, self._settle)

    def described(self) -> Announced:
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
            "cold_ms": 0,
        }

    async def heard(self, announced: Announced) -> None:
        """Take in an announcement; returns when a leaving may be acknowledged."""
        before = self.known.current
        heard = self.known.heard(announced)
        if heard is not Heard.NOTHING:
            logger.info(
                "upstream {} of {}: {}, sequence {}",
                announced["instance"],
                announced["service"],
                announced["state"],
                announced["sequence"],
            )
            self._changed(before)
        if heard is Heard.LEAVING:
            await self._bind(announced["instance"])

    async def left(self, instance: str) -> None:
        """Take in that a life of the upstream is over; returns when that may be acknowledged."""
        before = self.known.current
        if self.known.left(instance) is Heard.NOTHING:
            return
        logger.info("upstream {} is gone, by its own word", instance)
        self._changed(before)
        await self._bind(instance)

    def noted(self, ended: Iterable[str]) -> None:
        """Take in that a peer has noted these lives as ended."""
        for instance in ended:
            event = self._noted.get(instance)
            if event is not None:
                event.set()

    def remember(self, ended: Iterable[str]) -> None:
        """Take in what the store or a peer knows of this daemon's earlier lives."""
        before = self.known.current
        if self.known.remember(list(ended)):
            logger.info("upstream was leaving before this daemon started")
            self._changed(before)
        self._settle()

    # Steps

    def _settle(self) -> None:
        if self._settled:
            return
        self._settled = True
        if self.known.current is not None:
            self._changed(None)

    def _changed(self, before: Announced | None) -> None:
        current = self.known.current
        if current is None or not self._settled:
            return
        self._owner_task.announce(current)
        replaced = before is None or before["instance"] != current["instance"]
        self._on_change(replaced)

    async def _bind(self, instance: str) -> None:
        """Wait until a peer or the store has noted the leaving, so that it outlasts this life."""
        event = self._noted.setdefault(instance, asyncio.Event())
        task = self._loop.create_task(self._store(event))
        self._stores.add(task)
        task.add_done_callback(self._stores.discard)
        try:
            async with asyncio.timeout(BIND_S):
                await event.wait()
        except TimeoutError:
            logger.warning("no peer and no store noted that {} leaves", instance)
        self._noted.pop(instance, None)

    async def _store(self, event: asyncio.Event) -> None:
        if await self._peers.store_ended():
            event.set()
