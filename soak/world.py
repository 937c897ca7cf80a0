"""The play of one seed: stand-ins, daemons, callers, and the faults between them."""

from __future__ import annotations

import asyncio
import json
import signal
from contextlib import suppress
from random import Random
from typing import TYPE_CHECKING

from soak.callers import Caller
from soak.notes import Asked, Fault, Notes, Ran, Stopped
from soak.processes import DaemonProcess
from tests.adapter.cluster import call
from tests.adapter.keyed_log import KeyedLog
from tests.adapter.target import FakeTarget

if TYPE_CHECKING:
    from pathlib import Path

    from soak.schedule import Planned

CENTRES = 3
"""Data centres that the daemons are spread over."""
CALLERS = 2
"""Callers of each daemon."""
BEAT_S = 0.5
"""Time between two announcements of an upstream, seconds."""
WORK_S = 0.02
"""Time that an upstream works on a request, seconds."""
SLOW_S = 0.3
"""The same during a fault `slow`, seconds."""
AGAIN_S = 30.0
"""Time after the last fault in which each daemon must serve again, seconds."""
READY_S = 60.0
"""Longest wait until all serve at the beginning, seconds."""


class World:
    """Everything of one play."""

    def __init__(self, seed: int, processes: int, folder: Path) -> None:
        self._rng = Random(seed)
        self._loop = asyncio.get_running_loop()
        self._zero = self._loop.time()
        self._log = KeyedLog()
        self._sequence = 0
        self._faults: list[Fault] = []
        self._stopped: list[Stopped] = []
        self._busy: set[str] = set()
        self._targets = {
            f"d{number}": FakeTarget("shop", f"i-{number}") for number in range(processes)
        }
        self._daemons: dict[str, DaemonProcess] = {}
        self._folder = folder

    def now(self) -> float:
        """Return the time since the beginning of traffic, seconds."""
        return self._loop.time() - self._zero

    async def play(self, faults: list[Planned], length: float) -> Notes:
        """Start everything, inject the faults, and return what was noted."""
        beats: list[asyncio.Task[None]] = []
        running: list[asyncio.Task[None]] = []
        try:
            await self._start()
            beats = [self._loop.create_task(self._beat(name)) for name in self._daemons]
            unserved = await self._until_served(READY_S)
            self._zero = self._loop.time()
            callers = self._callers()
            running = [self._loop.create_task(caller.run()) for caller in callers]
            await asyncio.gather(*(self._inject(fault) for fault in faults))
            await asyncio.sleep(max(0.0, length - self.now()))
            unserved += await self._until_served(AGAIN_S)
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)
            return self._notes(callers, unserved)
        finally:
            for task in (*beats, *running):
                task.cancel()
            await self._end()

    # Steps

    async def _start(self) -> None:
        for number, (name, target) in enumerate(self._targets.items()):
            target.work_s = WORK_S
            await target.start()
            log = self._log.door(name).address
            centre = f"c{number % CENTRES}"
            self._daemons[name] = DaemonProcess(name, centre, target.address, log, self._folder)
        await self._configure()
        await asyncio.gather(*(daemon.start() for daemon in self._daemons.values()))

    async def _configure(self) -> None:
        common = {"service": "shop", "timeout_s": 2.0, "attempts": 3}
        routes = [
            {**common, "path_prefix": "/s/", "route_type": "safe"},
            {**common, "path_prefix": "/u/", "route_type": "unsafe"},
        ]
        body = {
            "version": "00000001",
            "services": [{"name": "shop"}],
            "virtual_hosts": [{"host": "shop.example", "route_paths": routes}],
        }
        await self._log.put("keyed.op", "config", json.dumps(body).encode())

    async def _beat(self, name: str) -> None:
        """Announce an upstream to its daemon again and again; one that is away is passed over."""
        target = self._targets[name]
        while True:
            self._sequence += 1
            body = {
                "info": {"service": "shop", "slots": 8},
                "status": {"state": "ready", "sequence": self._sequence, "cold_remaining_s": 0},
            }
            path = f"/foldhoist/instances/{target.instance}"
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(2 * BEAT_S):
                    address = self._daemons[name].addresses["control"]
                    await call(address, "PUT", path, body=json.dumps(body).encode())
            await asyncio.sleep(BEAT_S)

    def _callers(self) -> list[Caller]:
        return [
            Caller(
                f"{name}-{number}-", name, daemon.addresses["callers"], self.now, self._own_rng()
            )
            for name, daemon in self._daemons.items()
            for number in range(CALLERS)
        ]

    def _own_rng(self) -> Random:
        return Random(self._rng.random())

    async def _until_served(self, limit: float) -> list[str]:
        """Wait until every daemon has answered a request; returns those that did not."""
        until = self._loop.time() + limit
        left = dict(self._daemons)
        while left and self._loop.time() < until:
            for name, daemon in list(left.items()):
                caller = Caller(
                    f"{name}-w-{self._sequence}-",
                    name,
                    daemon.addresses["callers"],
                    self.now,
                    self._own_rng(),
                )
                if await caller.ask_once() == 200:
                    del left[name]
            await asyncio.sleep(0.1)
        return list(left)

    async def _inject(self, fault: Planned) -> None:
        await asyncio.sleep(max(0.0, fault.at - self.now()))
        began = self.now()
        match fault.kind:
            case "stop" | "kill" if fault.daemon not in self._busy:
                self._busy.add(fault.daemon)
                await self._restart(fault)
                self._busy.discard(fault.daemon)
            case "pause" if fault.daemon not in self._busy:
                self._busy.add(fault.daemon)
                self._daemons[fault.daemon].send(signal.SIGSTOP)
                await asyncio.sleep(fault.lasts)
                self._daemons[fault.daemon].send(signal.SIGCONT)
                self._busy.discard(fault.daemon)
            case "store":
                self._log.door(fault.daemon).fault = fault.how
                await asyncio.sleep(fault.lasts)
                self._log.door(fault.daemon).fault = ""
            case "full":
                self._targets[fault.daemon].full = True
                await asyncio.sleep(fault.lasts)
                self._targets[fault.daemon].full = False
            case "slow":
                self._targets[fault.daemon].work_s = SLOW_S
                await asyncio.sleep(fault.lasts)
                self._targets[fault.daemon].work_s = WORK_S
        self._faults.append(Fault(fault.kind, fault.daemon, began, self.now()))

    async def _restart(self, fault: Planned) -> None:
        daemon = self._daemons[fault.daemon]
        began = self.now()
        if fault.kind == "kill":
            daemon.send(signal.SIGKILL)
            await daemon.ended()
        else:
            code = await daemon.stop()
            self._stopped.append(Stopped(fault.daemon, self.now() - began, code))
        await asyncio.sleep(fault.lasts)
        await daemon.start()

    def _notes(self, callers: list[Caller], unserved: list[str]) -> Notes:
        asked: list[Asked] = [each for caller in callers for each in caller.asked]
        ran = [
            Ran(req.headers.get("x-attempt-id", ""), name)
            for name, target in self._targets.items()
            for req in target.ran
        ]
        return Notes(
            tuple(asked), tuple(ran), tuple(self._faults), tuple(self._stopped), tuple(unserved)
        )

    async def _end(self) -> None:
        """End the processes that were started here, by their ids."""
        for daemon in self._daemons.values():
            daemon.send(signal.SIGCONT)
            daemon.send(signal.SIGKILL)
        for daemon in self._daemons.values():
            if daemon.process is not None:
                await daemon.ended()
        for target in self._targets.values():
            target.close()
        self._log.close()
