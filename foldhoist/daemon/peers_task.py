"""Keeps the list of peers: what the store says, what they tell, and what is told to them."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from loguru import logger

from foldhoist.membership.incarnations import incarnations_from_rows
from foldhoist.membership.registry import (
    Connect,
    Disconnect,
    Registration,
    UpstreamChanged,
    quarantined_call,
    suspect_of,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from foldhoist.daemon.links import Links
    from foldhoist.daemon.ports import Store
    from foldhoist.membership.incarnations import UpstreamIncarnation
    from foldhoist.membership.registry import Action, Registry
    from foldhoist.quarantine.table import Quarantine
    from foldhoist.schema.messages import Member, Roster, Row

RETRY_FIRST_S = 0.15
"""First pause after the store has failed, seconds; it doubles each time."""
RETRY_LONGEST_S = 2.0
"""Longest pause after the store has failed, seconds."""
LOOK_S = 1.0
"""Time between two looks at which peers to keep connections to, seconds."""
EXPIRE_S = 5.0
"""Time between two looks at peers that cannot be reached, seconds."""
GATHER_S = 0.05
"""What peers of other data centres tell of daemons is passed on together for so long, seconds.

When all hosts of a site start, one message in place of many goes to each daemon.
"""
ASKED = 2
"""Peers that a new life asks for all that they know: one may be as new."""


class PeersTask:
    """Owns the registry and the connections to peers."""

    def __init__(
        self,
        registry: Registry,
        links: Links,
        store: Store,
        describe: Callable[[], Member],
        on_change: Callable[[list[str]], None],
        on_rewired: Callable[[], None],
        on_own: Callable[[tuple[UpstreamIncarnation, ...], set[str]], None],
        is_busy: Callable[[str], bool],
        send_back: Callable[[str, str, Any], None],
        quarantine: Quarantine,
        rng: Random,
    ) -> None:
        self.registry = registry
        self.listed = asyncio.Event()
        self.store_reads = 0
        self._links = links
        self._store = store
        self._describe = describe
        self._on_change = on_change
        self._on_rewired = on_rewired
        self._on_own = on_own
        self._is_busy = is_busy
        self._send_back = send_back
        self._quarantine = quarantine
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._stored = asyncio.Lock()
        self._tasks: list[asyncio.Task[None]] = []
        self._wanted: set[str] = set()
        self._rewiring: asyncio.Handle | None = None
        self._news: dict[str, Row] = {}
        self._telling: asyncio.TimerHandle | None = None
        self._left_to_ask = ASKED
        self._record: Registration | None = None
        self._may_write = False
        self._change = 0
        self._told: dict[str, int] = {}

    def start(self, first: bool) -> None:
        """Register and read the list; `first` says that no life of this daemon was before."""
        self._may_write = first
        create = self._loop.create_task
        self._tasks = [create(self._join(first)), create(self._look()), create(self._expire())]

    def close(self) -> None:
        """Stop."""
        for task in self._tasks:
            task.cancel()
        for handle in (self._rewiring, self._telling):
            if handle is not None:
                handle.cancel()

    def update_member(self, member: Member) -> None:
        """Take in what a peer tells of itself."""
        self.carry_out(self.registry.update_member(self._loop.time(), member))
        self._links.retry_now(member["name"])

    def on_roster(self, message: Roster) -> None:
        """Take in what a peer knows of daemons; pass it on in this data centre if it says so."""
        self.carry_out(self.registry.add_relayed(self._loop.time(), message["rows"]))
        if not message["spread"]:
            return
        self._news.update((row["name"], row) for row in message["rows"])
        if self._telling is None:
            self._telling = self._loop.call_later(GATHER_S, self._pass_on)

    def full_roster(self) -> Roster:
        """Return all that is known of daemons, this one included."""
        return {"rows": [*self.registry.rows(), self._own_row()], "spread": False, "wanted": False}

    def on_link_up(self, name: str) -> None:
        """Take in that a peer was reached: tell it who this is, and ask it for all it knows."""
        self.registry.set_connected(self._loop.time(), name, True)
        self._tell_member(name)
        if name in self.registry.neighbours.relays():
            self._links.send(name, "Roster", self._own_news())
        if self._left_to_ask:
            self._left_to_ask -= 1
            self._links.send(name, "Roster", {"rows": [], "spread": False, "wanted": True})

    def on_link_lost(self, name: str) -> None:
        """Take in that the connection to a peer fell, perhaps with what it was told last."""
        self._told.pop(name, None)
        self.registry.set_connected(self._loop.time(), name, False)

    def carry_out(self, actions: list[Action]) -> None:
        """Open and close connections, and tell who changed."""
        if not actions:
            return
        changed: list[str] = []
        for action in actions:
            match action:
                case Connect(name, frames):
                    logger.debug("peer {} at {}", name, frames)
                    self._links.set_address(name, frames)
                case Disconnect(name):
                    logger.info("peer {} forgotten", name)
                    self._links.remove(name)
                case UpstreamChanged(name):
                    changed.append(name)
        if changed:
            self._on_change(changed)
        # Many actions of one turn of the loop, as when all hosts start, are followed once.
        self.schedule_link_update()

    def is_local(self, name: str) -> bool:
        """Return whether a peer is of this data centre."""
        peer = self.registry.peers.get(name)
        return peer is not None and peer.data_centre == self.registry.data_centre

    def send(self, name: str, kind: str, body: Any) -> None:
        """Write a message to a peer that is connected, whoever of both opened the connection."""
        if not self._links.send(name, kind, body):
            self._send_back(name, kind, body)

    def broadcast(self, kind: str, body: Any, local: bool | None = None) -> None:
        """Write a message to connected peers; `local` selects by data centre."""
        for name in self._links.connected():
            if local is not None and self.is_local(name) != local:
                continue
            self._links.send(name, kind, body)

    def report_to_data_centre(self) -> set[str]:
        """Tell the data centre what this daemon is now; returns who was told.

        These note the leavings that it names. Where nobody is near, all connected peers do.
        """
        self._change += 1
        names = self._links.connected()
        told = {name for name in names if self.is_local(name)} or set(names)
        for name in told:
            self._tell_member(name)
        return told

    def has_latest_report(self, name: str) -> bool:
        """Return whether a peer was told what this daemon is now."""
        return self._told.get(name) == self._change

    def record_reported(self, name: str) -> None:
        """Take in that a peer was told it on its own connection."""
        self._told[name] = self._change

    def schedule_link_update(self) -> None:
        """Look once more, in this turn of the loop, at which connections are wanted."""
        if self._rewiring is None:
            self._rewiring = self._loop.call_soon(self._rewire)

    def announce(self) -> None:
        """Have every data centre told where this daemon listens and what its upstream serves."""
        self.send_to_relays("Roster", self._own_news())

    def send_to_relays(self, kind: str, body: Any) -> None:
        """Write a message to the peers that pass news on in other data centres."""
        for name in self.registry.neighbours.relays():
            self._links.send(name, kind, body)

    def send_to_random(self, kind: str, body: Any) -> None:
        """Write a message to one connected peer, drawn by lot."""
        names = self._links.connected()
        if names:
            self._links.send(names[int(self._rng.random() * len(names))], kind, body)

    def rewrite_record(self) -> None:
        """Write the record of this daemon to the store anew, as often as it takes."""
        self._tasks.append(self._loop.create_task(self._until_done(self.write_record)))

    async def write_record(self) -> bool:
        """Write what has to outlast this life to the store; returns whether that was done.

        These are the ended lives of the upstream, and the calls under which it ended. The record of
        an earlier life is read before it is replaced: else a leaving that it keeps is forgotten.
        """
        if not self._may_write:
            return False
        async with self._stored:
            answer = await self._store.register(self._registration())
        return bool(answer.is_ok())

    # Steps

    def _tell_member(self, name: str) -> None:
        if self._links.send(name, "Member", self._describe()):
            self.record_reported(name)

    async def _join(self, first: bool) -> None:
        """Write before the last read: of two that start at once, at least one sees the other.

        The record of an earlier life is read before it is replaced. One that still holds stays, and
        those that have come since tell of themselves: a restart then costs the store one call in
        place of three.
        """
        if not first:
            await self._until_done(self._list)
            if self._still_holds():
                return
        await self._until_done(self.write_record)
        await self._until_done(self._list)

    def _still_holds(self) -> bool:
        """Return whether the store's record of this daemon says what a new one would say."""
        if self._record is None:
            return False
        new = self._registration()
        old = self._record
        same = old._replace(incarnation=new.incarnation, ended=new.ended, held=new.held) == new
        held = {each.call for each in old.held}
        return (
            same
            and set(new.ended) <= set(old.ended)
            and all(each.call in held for each in new.held)
        )

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
        self._record = own[0] if own else None
        self._may_write = True
        self._take_held(answer.ok)
        self.carry_out(self.registry.add_records(self._loop.time(), answer.ok))
        self._rewire()
        self._on_own(own[0].ended if own else (), set(self._wanted))
        self.listed.set()
        return True

    def _take_held(self, records: list[Registration]) -> None:
        """Take in which calls end upstreams, as this daemon and others have written it."""
        now, wall_ms = self._loop.time(), int(time.time() * 1000)
        for record in records:
            suspects = [suspect_of(each, wall_ms) for each in record.held]
            if record.name == self.registry.name:
                self._quarantine.restore(now, suspects)
            else:
                self._quarantine.merge(now, suspects)

    def _registration(self) -> Registration:
        member = self._describe()
        held = self._quarantine.rows(self._loop.time(), own=True)
        wall_ms = int(time.time() * 1000)
        return Registration(
            member["name"],
            member["incarnation"],
            member["frames"],
            member["data_centre"],
            tuple(incarnations_from_rows(member["ended"])),
            member["upstream"]["service"],
            tuple(quarantined_call(row, wall_ms) for row in held),
        )

    def _own_row(self) -> Row:
        own = self._registration()
        return {
            "name": own.name,
            "incarnation": own.incarnation,
            "frames": own.frames,
            "data_centre": own.data_centre,
            "service": own.service,
        }

    def _own_news(self) -> Roster:
        return {"rows": [self._own_row()], "spread": True, "wanted": False}

    def _pass_on(self) -> None:
        self._telling = None
        rows = list(self._news.values())
        self._news.clear()
        self.broadcast("Roster", {"rows": rows, "spread": False, "wanted": False}, local=True)

    def _rewire(self) -> None:
        """Open the connections that are wanted now, and note which are not any more."""
        if self._rewiring is not None:
            self._rewiring.cancel()
            self._rewiring = None
        now = self._loop.time()
        self._wanted = self.registry.wanted(now)
        for name in self._wanted:
            if not self._links.is_up(name):
                self.registry.set_connected(now, name, False)
        self._links.connect(self._wanted)
        self._on_rewired()

    async def _look(self) -> None:
        """Take others in place of peers that have been away for a while."""
        while True:
            await asyncio.sleep(LOOK_S)
            self._rewire()
            now = self._loop.time()
            for name in self._links.close_unwanted(self._wanted, now, self._is_busy):
                self.registry.stop_connecting(now, name)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_S)
            connected = set(self._links.connected())
            self.carry_out(self.registry.expire(self._loop.time(), connected))
