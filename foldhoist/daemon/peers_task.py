"""Keeps the registry of peers up to date, from the store and from peers, and reports to them."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from loguru import logger

from foldhoist.addresses import parse_address
from foldhoist.daemon.background import run_task
from foldhoist.daemon.passed_over import PassedOver
from foldhoist.exceptions import DecodingError
from foldhoist.membership.incarnations import incarnations_from_rows
from foldhoist.membership.registration import Registration, quarantined_call, suspect_of
from foldhoist.membership.registry import Connect, Disconnect, UpstreamChanged

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from foldhoist.daemon.links import Links
    from foldhoist.daemon.ports import Store
    from foldhoist.membership.incarnations import UpstreamIncarnation
    from foldhoist.membership.registry import Action, Registry
    from foldhoist.quarantine.table import Quarantine
    from foldhoist.schema.messages import Member, Roster, Row

MIN_RETRY_S = 0.15
"""First pause after a failed call to the store, before jitter, seconds; doubles each time."""
MAX_RETRY_S = 2.0
"""Longest pause after a failed call to the store, seconds, before jitter."""
LINK_UPDATE_S = 1.0
"""Interval at which the wanted connections are updated, seconds."""
EXPIRY_CHECK_S = 5.0
"""Interval at which unreachable peers are removed from the registry, seconds."""
RELAY_DELAY_S = 0.05
"""Time for which rows to relay are collected into one message, seconds.

Limits the number of messages when all hosts of a data centre start at once.
"""
ROSTER_REQUESTS = 2
"""Peers asked for their full roster after a start; one alone may have just started itself."""


class PeersTask:
    """Owns the registry and the connections to peers.

    `listed` is set once the store's records are read, `knows_hosts` also by a peer's full roster.
    """

    def __init__(
        self,
        registry: Registry,
        links: Links,
        store: Store,
        describe: Callable[[], Member],
        on_change: Callable[[list[str]], None],
        on_links_updated: Callable[[], None],
        on_own_record: Callable[[tuple[UpstreamIncarnation, ...], set[str]], None],
        is_busy: Callable[[str], bool],
        send_inbound: Callable[[str, str, Any], None],
        quarantine: Quarantine,
        rng: Random,
    ) -> None:
        self.registry = registry
        self.listed = asyncio.Event()
        self.knows_hosts = False
        self.store_reads = 0
        self.passed_over = PassedOver()
        self._links = links
        self._store = store
        self._describe = describe
        self._on_change = on_change
        self._on_links_updated = on_links_updated
        self._on_own_record = on_own_record
        self._is_busy = is_busy
        self._send_inbound = send_inbound
        self._quarantine = quarantine
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._store_lock = asyncio.Lock()
        self._tasks: list[asyncio.Task[None]] = []
        self._wanted: set[str] = set()
        self._link_update: asyncio.Handle | None = None
        self._rows_to_relay: dict[str, Row] = {}
        self._relay_timer: asyncio.TimerHandle | None = None
        self._roster_requests_left = ROSTER_REQUESTS
        self._stored_record: Registration | None = None
        self._may_write = False
        self._revision = 0
        self._reported: dict[str, int] = {}

    def start(self, first: bool) -> None:
        """Register and read all records; `first` means that there was no earlier incarnation."""
        self._may_write = first
        self._tasks = [
            run_task("registration", lambda: self._join(first)),
            run_task("peer links", self._update_links_periodically),
            run_task("peer expiry", self._expire_periodically),
        ]

    def close(self) -> None:
        """Stop all tasks and timers."""
        for task in self._tasks:
            task.cancel()
        for handle in (self._link_update, self._relay_timer):
            if handle is not None:
                handle.cancel()

    def update_member(self, member: Member) -> None:
        """Apply a peer's report about itself, and retry a link to it that is down."""
        if not self._is_usable(member):
            return
        self.carry_out(self.registry.update_member(self._loop.time(), member))
        self._links.retry_now(member["name"])

    def on_roster(self, message: Roster) -> None:
        """Add rows received from a peer; relays them in this data centre if `spread` is set."""
        rows = [row for row in message["rows"] if self._is_usable(row)]
        self.carry_out(self.registry.add_relayed(self._loop.time(), rows))
        if not message["spread"]:
            return
        self._rows_to_relay.update((row["name"], row) for row in rows)
        if self._relay_timer is None:
            self._relay_timer = self._loop.call_later(RELAY_DELAY_S, self._relay)

    def on_full_roster(self, message: Roster) -> None:
        """Add all rows that a peer knows, sent by it on request."""
        self.on_roster(message)
        self.knows_hosts = True

    def full_roster(self) -> Roster:
        """Return all known daemons, including this one."""
        return {"rows": [*self.registry.rows(), self._own_row()], "spread": False, "wanted": False}

    def on_link_up(self, name: str) -> None:
        """Report to a newly connected peer; the first ones are asked for their full roster."""
        self.registry.set_connected(self._loop.time(), name, True)
        self._send_member(name)
        if name in self.registry.neighbours.relays():
            self._links.send(name, "Roster", self._own_roster())
        if self._roster_requests_left:
            self._roster_requests_left -= 1
            self._links.send(name, "Roster", {"rows": [], "spread": False, "wanted": True})

    def on_link_lost(self, name: str) -> None:
        """Handle a lost connection; the last report may be lost with it."""
        self._reported.pop(name, None)
        self.registry.set_connected(self._loop.time(), name, False)

    def carry_out(self, actions: list[Action]) -> None:
        """Apply actions of the registry to the links, and report which upstreams changed."""
        if not actions:
            return
        changed: list[str] = []
        for action in actions:
            match action:
                case Connect(name, frames):
                    logger.debug("peer {} at {}", name, frames)
                    self._links.set_address(name, frames)
                case Disconnect(name):
                    logger.info("peer {} removed", name)
                    self._links.remove(name)
                case UpstreamChanged(name):
                    changed.append(name)
        if changed:
            self._on_change(changed)
        # Actions of the same iteration of the event loop lead to one update of the links.
        self.schedule_link_update()

    def is_local(self, name: str) -> bool:
        """Return whether a peer is in this data centre."""
        peer = self.registry.peers.get(name)
        return peer is not None and peer.data_centre == self.registry.data_centre

    def send(self, name: str, kind: str, body: Any) -> None:
        """Send a message over the connection with a peer, whichever side opened it."""
        if not self._links.send(name, kind, body):
            self._send_inbound(name, kind, body)

    def broadcast(self, kind: str, body: Any, local: bool | None = None) -> None:
        """Send a message on all connections opened here, or only to local or to remote peers."""
        for name in self._links.connected():
            if local is not None and self.is_local(name) != local:
                continue
            self._links.send(name, kind, body)

    def report_to_data_centre(self) -> set[str]:
        """Report a change of this daemon to its data centre; returns the recipients.

        They remember the ended incarnations in the report. Without connected peers in this data
        centre, the report goes to all connected peers.
        """
        self._revision += 1
        names = self._links.connected()
        recipients = {name for name in names if self.is_local(name)} or set(names)
        for name in recipients:
            self._send_member(name)
        return recipients

    def has_latest_report(self, name: str) -> bool:
        """Return whether a peer was sent the current report of this daemon."""
        return self._reported.get(name) == self._revision

    def record_reported(self, name: str) -> None:
        """Record that a peer was sent the current report of this daemon."""
        self._reported[name] = self._revision

    def forget_report(self, name: str) -> None:
        """Record that a peer may lack the last report, as it opened another connection."""
        self._reported.pop(name, None)

    def schedule_link_update(self) -> None:
        """Schedule an update of the wanted connections for the next iteration of the event loop."""
        if self._link_update is None:
            self._link_update = self._loop.call_soon(self._update_links)

    def announce(self) -> None:
        """Announce this daemon's address and service to all other data centres."""
        self.send_to_relays("Roster", self._own_roster())

    def send_to_relays(self, kind: str, body: Any) -> None:
        """Send a message to the peers that relay messages in other data centres."""
        for name in self.registry.neighbours.relays():
            self._links.send(name, kind, body)

    def send_to_random(self, kind: str, body: Any) -> None:
        """Send a message to one random connected peer."""
        names = self._links.connected()
        if names:
            self._links.send(names[int(self._rng.random() * len(names))], kind, body)

    def rewrite_record(self) -> None:
        """Write this daemon's record to the store again, with retries until it succeeds."""
        self._tasks.append(run_task("record", lambda: self._retry_until_done(self.write_record)))

    async def write_record(self) -> bool:
        """Write this daemon's record to the store; returns whether that succeeded.

        The record keeps ended incarnations of the upstream and quarantined calls across restarts.
        The record of an earlier incarnation must be read first, so that nothing in it is lost.
        """
        if not self._may_write:
            return False
        async with self._store_lock:
            answer = await self._store.register(self._registration())
        return bool(answer.is_ok())

    def _is_usable(self, told: Member | Row) -> bool:
        """Return whether what is told of a daemon has a valid address; counts it if it has none."""
        try:
            parse_address(told["frames"])
        except DecodingError as exc:
            self.passed_over.add("address of daemon", told["name"], f"{told['frames']!r} {exc}")
            return False
        return True

    def _send_member(self, name: str) -> None:
        if self._links.send(name, "Member", self._describe()):
            self.record_reported(name)

    async def _join(self, first: bool) -> None:
        """Write this daemon's record before the last read of all records.

        So of two daemons that start at once, at least one sees the other.
        The record of an earlier incarnation is read before it is replaced. If it is still valid it
        stays, which saves two calls to the store; daemons that started since report themselves.
        """
        if not first:
            await self._retry_until_done(self._read_records)
            if self._is_record_current():
                return
        await self._retry_until_done(self.write_record)
        await self._retry_until_done(self._read_records)

    def _is_record_current(self) -> bool:
        """Return whether the stored record covers what a new one would contain."""
        if self._stored_record is None:
            return False
        new = self._registration()
        old = self._stored_record
        same = old._replace(incarnation=new.incarnation, ended=new.ended, held=new.held) == new
        held = {each.call for each in old.held}
        return (
            same
            and set(new.ended) <= set(old.ended)
            and all(each.call in held for each in new.held)
        )

    async def _retry_until_done(self, step: Callable[[], Any]) -> None:
        pause = MIN_RETRY_S
        while not await step():
            await asyncio.sleep(pause * (0.5 + self._rng.random()))
            pause = min(MAX_RETRY_S, pause * 2)

    async def _read_records(self) -> bool:
        self.store_reads += 1
        answer = await self._store.registrations()
        if answer.is_error():
            return False
        own = [record for record in answer.ok if record.name == self.registry.name]
        self._stored_record = own[0] if own else None
        self._may_write = True
        self._merge_quarantined(answer.ok)
        self.carry_out(self.registry.add_records(self._loop.time(), answer.ok))
        self._update_links()
        self._on_own_record(own[0].ended if own else (), set(self._wanted))
        self.listed.set()
        self.knows_hosts = True
        return True

    def _merge_quarantined(self, records: list[Registration]) -> None:
        """Update the quarantine from the calls in the records of this daemon and of others."""
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

    def _own_roster(self) -> Roster:
        return {"rows": [self._own_row()], "spread": True, "wanted": False}

    def _relay(self) -> None:
        self._relay_timer = None
        rows = list(self._rows_to_relay.values())
        self._rows_to_relay.clear()
        self.broadcast("Roster", {"rows": rows, "spread": False, "wanted": False}, local=True)

    def _update_links(self) -> None:
        """Update which connections are wanted, and open those that are missing."""
        if self._link_update is not None:
            self._link_update.cancel()
            self._link_update = None
        now = self._loop.time()
        self._wanted = self.registry.wanted(now)
        for name in self._wanted:
            if not self._links.is_up(name):
                self.registry.set_connected(now, name, False)
        self._links.connect(self._wanted)
        self._on_links_updated()

    async def _update_links_periodically(self) -> None:
        """Periodically replace unreachable peers and close unwanted links."""
        while True:
            await asyncio.sleep(LINK_UPDATE_S)
            self._update_links()
            now = self._loop.time()
            for name in self._links.close_unwanted(self._wanted, now, self._is_busy):
                self.registry.stop_connecting(now, name)

    async def _expire_periodically(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            connected = set(self._links.connected())
            self.carry_out(self.registry.expire(self._loop.time(), connected))
