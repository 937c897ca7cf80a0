"""Keeps the list of peers: what the store says, what they tell, and what is told to them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from loguru import logger

from foldhoist.membership.registry import Changed, Connect, Disconnect, Registration

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from foldhoist.daemon.links import Links
    from foldhoist.daemon.ports import Store
    from foldhoist.membership.registry import Action, Registry
    from foldhoist.schema.messages import Member

RETRY_FIRST_S = 0.15
"""First pause after the store has failed, seconds; it doubles each time."""
RETRY_LONGEST_S = 2.0
"""Longest pause after the store has failed, seconds."""
EXPIRE_S = 5.0
"""Time between two looks at peers that cannot be reached, seconds."""


class PeersTask:
    """Owns the registry and the connections to peers."""

    def __init__(
        self,
        registry: Registry,
        links: Links,
        store: Store,
        describe: Callable[[], Member],
        on_change: Callable[[list[str]], None],
        on_own: Callable[[tuple[str, ...], set[str]], None],
        rng: Random,
    ) -> None:
        self.registry = registry
        self.listed = asyncio.Event()
        self.store_reads = 0
        self._links = links
        self._store = store
        self._describe = describe
        self._on_change = on_change
        self._on_own = on_own
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._stored = asyncio.Lock()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, first: bool) -> None:
        """Register and read the list; `first` says that no life of this daemon was before."""
        create = self._loop.create_task
        self._tasks = [create(self._join(first)), create(self._expire())]

    def close(self) -> None:
        """Stop."""
        for task in self._tasks:
            task.cancel()

    def told(self, member: Member) -> None:
        """Take in what a peer tells of itself."""
        self.carry_out(self.registry.told(self._loop.time(), member))
        self._links.hurry(member["name"])

    def carry_out(self, actions: list[Action]) -> None:
        """Open and close connections, and tell who changed."""
        if not actions:
            return
        changed: list[str] = []
        for action in actions:
            match action:
                case Connect(name, frames):
                    logger.info("peer {} at {}", name, frames)
                case Disconnect(name):
                    logger.info("peer {} forgotten", name)
                case Changed(name):
                    changed.append(name)
        peers = self.registry.peers
        self._links.adopt({name: peer.frames for name, peer in peers.items()})
        self._links.want(peers)
        self._on_change(changed)

    def send(self, name: str, kind: str, body: Any) -> None:
        """Write a message to a peer if it is connected."""
        self._links.send(name, kind, body)

    def tell(self, kind: str, body: Any, near: bool | None = None) -> None:
        """Write a message to every peer; `near` for those of this data centre or of the others."""
        for name, peer in self.registry.peers.items():
            if near is not None and (peer.data_centre == self.registry.data_centre) != near:
                continue
            self._links.send(name, kind, body)

    def tell_all(self) -> None:
        """Tell every peer what this daemon is now."""
        self.tell("Member", self._describe())

    def ask_someone(self, kind: str, body: Any) -> None:
        """Write a message to one connected peer, drawn by lot."""
        names = self._links.open()
        if names:
            self._links.send(names[int(self._rng.random() * len(names))], kind, body)

    async def store_ended(self) -> bool:
        """Write the ended lives of the upstream to the store; returns whether that was done."""
        async with self._stored:
            answer = await self._store.register(self._registration())
        return bool(answer.is_ok())

    # Steps

    async def _join(self, first: bool) -> None:
        """Write before the last read: of two that start at once, at least one sees the other.

        The record of an earlier life is read before it is replaced.
        """
        if not first:
            await self._until_done(self._list)
        await self._until_done(self.store_ended)
        await self._until_done(self._list)

    async def _until_done(self, step: Callable[[], Any]) -> None:
        pause = RETRY_FIRST_S
        while not await step():
            await asyncio.sleep(pause * (0.5 + self._rng.random()))
            pause = min(RETRY_LONGEST_S, pause * 2)

    async def _list(self) -> bool:
        self.store_reads += 1
        answer = await self._store.registrations()
        if answer.is_error():
            return False
        own = [record for record in answer.ok if record.name == self.registry.name]
        others = {record.name for record in answer.ok} - {self.registry.name}
        self._on_own(own[0].ended if own else (), others)
        self.carry_out(self.registry.stored(self._loop.time(), answer.ok))
        self.listed.set()
        return True

    def _registration(self) -> Registration:
        member = self._describe()
        return Registration(
            member["name"],
            member["incarnation"],
            member["frames"],
            member["data_centre"],
            tuple(member["ended"]),
        )

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_S)
            connected = set(self._links.open())
            self.carry_out(self.registry.expire(self._loop.time(), connected))
