"""Reads the configuration from the platform's log and distributes it between daemons."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from loguru import logger

from foldhoist.config.faults import errors
from foldhoist.config.fleet import SectionCache, parse_fleet
from foldhoist.configlog.fold import (
    State,
    digest_of,
    fold,
    from_snapshot,
    merge,
    to_snapshot,
)
from foldhoist.configlog.refresh import SnapshotRefresher
from foldhoist.configlog.spread import PeerSelector, role_of
from foldhoist.daemon.background import run_task
from foldhoist.logservice.client import pack_snapshot, unpack
from foldhoist.logservice.state import read_retained

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from foldhoist.configlog.fold import LogRecord
    from foldhoist.daemon.control import Control
    from foldhoist.logservice.client import Page, PlatformClient, PlatformError
    from foldhoist.schema.fleet import Fleet
    from foldhoist.schema.messages import Ask, Held, Snapshot
    from foldhoist.schema.settings import Settings

ANNOUNCED_PEERS = 4
"""Random peers to which a new generation is announced, so that a failed push leaves no gap."""
MEAN_ANNOUNCE_DELAY_S = 0.2
"""Mean delay of the announcement, seconds, in which the push through the tree can arrive."""


@dataclass(slots=True)
class Counters:
    """Counters of the configuration task."""

    adopted: int = 0
    asked: int = 0
    kept: int = 0
    log_errors: int = 0
    log_reads: int = 0
    passed_on: int = 0
    stale: int = 0


class ConfigurationTask:
    """Owns the state of the configuration; `on_adopt(state, fleet)` gets each usable generation."""

    def __init__(
        self,
        cfg: Settings,
        client: PlatformClient,
        control: Control,
        on_adopt: Callable[[State, Fleet], None],
        rng: Random,
    ) -> None:
        self.state = State(exact=False)
        self.fleet: Fleet | None = None
        self.count = Counters()
        self.log_ok = False
        self.adopted_at = 0.0
        self.adopt_ms = 0.0
        self.peers = PeerSelector(cfg["daemon"]["name"], cfg["peers"]["ask_ms"] / 1000, rng)
        self._own_read_at = float("-inf")
        self._cfg = cfg
        self._client = client
        self._control = control
        self._on_adopt = on_adopt
        self._rng = rng
        self._log_state = State(exact=False)
        self._refresher = SnapshotRefresher(cfg["platform"]["keep_s"], rng)
        self._sections = SectionCache()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start reading the log and asking peers."""
        self._tasks = [
            run_task("configuration reader", self._read_loop),
            run_task("configuration requests", self._ask_loop),
        ]

    def close(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Handle a generation from a peer; one that does not match its digest is dropped."""
        if digest_of(snapshot["content"]) != snapshot["digest"]:
            self.count.stale += 1
            return
        self._merge_state(from_snapshot(snapshot))

    def on_ask(self, ask: Ask) -> None:
        """Answer a peer; send it the state if it is behind, or request its newer generation."""
        self._control.send(ask["answer_to"], "Held", self._held_message())
        if ask["have"] < self.state.generation:
            self._control.send(ask["answer_to"], "Snapshot", to_snapshot(self.state))
        elif ask["have"] > self.state.generation:
            self._ask(ask["answer_to"])

    def on_held(self, held: Held) -> None:
        """Handle a peer's generation, requested if newer, and the time since the log was read."""
        behind = held["generation"] < self.state.generation
        self.peers.on_answer(asyncio.get_running_loop().time(), held, behind)
        if held["generation"] > self.state.generation and self.fleet is not None:
            target = self.fleet["targets"].get(held["name"])
            if target is not None:
                self._ask(target["control"])

    async def _read_loop(self) -> None:
        poll_s = self._cfg["platform"]["poll_ms"] / 1000
        while True:
            now = asyncio.get_running_loop().time()
            if self.peers.should_read(now) or not self.state.generation:
                await self._read_once()
            await asyncio.sleep(poll_s * (0.75 + 0.5 * self._rng.random()))

    async def _read_once(self) -> None:
        if not self._log_state.exact:
            await self._read_all()
        else:
            await self._read_new()
        await self._refresh_snapshot()

    async def _read_all(self) -> None:
        self.count.log_reads += 1
        answer = await read_retained(self._client)
        if answer.is_error():
            self._on_log_failed(answer.error)
            return
        self._on_log_answered()
        self._log_state = answer.ok.state()
        for record in answer.ok.records:
            self._observe(record)
        self._merge_state(self._log_state)

    async def _read_new(self) -> None:
        while True:
            page = await self._read_page(self._log_state.folded)
            if page is None:
                return
            if page["oldest"] > self._log_state.folded:
                self._log_state = self._log_state._replace(exact=False)
                return
            if not page["records"]:
                return
            for stored in page["records"]:
                self._fold(stored["offset"], unpack(stored))
            self._merge_state(self._log_state)

    def _fold(self, offset: int, record: LogRecord | None) -> None:
        if record is None:
            self._log_state = self._log_state._replace(folded=offset + 1)
            return
        self._log_state = fold(self._log_state, record)
        self._observe(record)

    def _observe(self, record: LogRecord) -> None:
        now = asyncio.get_running_loop().time()
        self._refresher.observe(now, record, self.state)

    async def _read_page(self, offset: int) -> Page | None:
        self.count.log_reads += 1
        answer = await self._client.read(offset)
        if answer.is_error():
            self._on_log_failed(answer.error)
            return None
        self._on_log_answered()
        return answer.ok

    def _on_log_answered(self) -> None:
        self._own_read_at = asyncio.get_running_loop().time()
        self._set_log_ok(True)

    def _on_log_failed(self, error: PlatformError) -> None:
        self.count.log_errors += 1
        self._set_log_ok(False, error.what)

    def _set_log_ok(self, ok: bool, what: str = "") -> None:
        if ok != self.log_ok:
            logger.info("platform log: {}", "reachable" if ok else f"read failed, {what}")
        self.log_ok = ok

    async def _refresh_snapshot(self) -> None:
        now = asyncio.get_running_loop().time()
        state = self._log_state
        if not self.log_ok or not self._refresher.is_due(now, state):
            return
        if state.generation < self.state.generation:
            return
        self._refresher.write_attempted(now)
        await self._client.append(pack_snapshot(to_snapshot(state)))
        self.count.kept += 1

    async def _ask_loop(self) -> None:
        mean_s = self._cfg["peers"]["ask_ms"] / 1000
        seeds = [seed.strip() for seed in self._cfg["peers"]["seeds"].split(",") if seed.strip()]
        while True:
            self._ask_next_peer(seeds)
            await asyncio.sleep(mean_s * (0.5 + self._rng.random()))

    def _ask_next_peer(self, seeds: list[str]) -> None:
        if self.fleet is None:
            if seeds:
                self._ask(seeds[int(self._rng.random() * len(seeds))])
            return
        name = self.peers.next_peer(asyncio.get_running_loop().time())
        target = self.fleet["targets"].get(name) if name else None
        if target is not None:
            self._ask(target["control"])

    def _ask(self, address: str) -> None:
        self.count.asked += 1
        ask: Ask = {
            "have": self.state.generation,
            "name": self._cfg["daemon"]["name"],
            "answer_to": self._control.address,
        }
        self._control.send(address, "Ask", ask)

    def _held_message(self) -> Held:
        now = asyncio.get_running_loop().time()
        reader, age_ms = self.peers.freshness(now, self._own_read_at)
        return {
            "generation": self.state.generation,
            "name": self._cfg["daemon"]["name"],
            "reader": reader,
            "age_ms": age_ms,
        }

    def _announce(self) -> None:
        """Announce the generation to random peers, since pushes through the tree may fail."""
        if self.fleet is None:
            return
        for name in self.peers.random_peers(ANNOUNCED_PEERS):
            target = self.fleet["targets"].get(name)
            if target is not None:
                self._control.send(target["control"], "Held", self._held_message())

    def _merge_state(self, state: State) -> None:
        merged = merge(self.state, state)
        newer = merged.generation > self.state.generation
        if merged.generation < self.state.generation:
            self.count.stale += 1
            return
        self.state = merged
        if newer:
            self._push(merged)
            self._adopt(merged)

    def _adopt(self, state: State) -> None:
        started_at = time.perf_counter()
        name = f"generation {state.generation}"
        fleet, faults = parse_fleet(state.content, name, self._sections)
        if errors(faults):
            logger.error("generation {} cannot be used: {}", state.generation, faults[0].problem)
            return
        self.fleet = fleet
        self.count.adopted += 1
        self.adopted_at = time.time()
        logger.info("generation {} in force", state.generation)
        self._update_role(fleet)
        self._on_adopt(state, fleet)
        self.adopt_ms = (time.perf_counter() - started_at) * 1000
        delay_s = MEAN_ANNOUNCE_DELAY_S * (0.5 + self._rng.random())
        asyncio.get_running_loop().call_later(delay_s, self._announce)

    def _update_role(self, fleet: Fleet) -> None:
        by_data_centre: dict[str, list[str]] = {}
        for name, target in fleet["targets"].items():
            if target["state"] != "retired":
                by_data_centre.setdefault(target["data_centre"], []).append(name)
        daemon, peers = self._cfg["daemon"], self._cfg["peers"]
        self.peers.role = role_of(
            daemon["name"], by_data_centre, daemon["data_centre"], peers["readers"], peers["fanout"]
        )

    def _push(self, state: State) -> None:
        """Push a new generation to this daemon's children, as the previous one determined them."""
        if self.fleet is None:
            return
        snapshot = to_snapshot(state)
        for name in self.peers.role.children:
            control = self.fleet["targets"][name]["control"]
            if self._control.send(control, "Snapshot", snapshot):
                self.count.passed_on += 1


def describe(state: State) -> dict[str, Any]:
    """Return the state without its content, for the operators' status."""
    return {
        "generation": state.generation,
        "digest": state.digest,
        "folded": state.folded,
        "exact": state.exact,
    }
