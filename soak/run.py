"""Runs one seed: starts stand-ins, daemons and callers, injects faults, records the history."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from contextlib import suppress
from random import Random
from typing import TYPE_CHECKING

from soak.callers import Caller
from soak.history import (
    Arrival,
    Execution,
    Fault,
    History,
    LimitSpan,
    PlannedStop,
    RequestResult,
)
from soak.processes import DaemonProcess
from soak.stalls import StallMonitor
from standins.ports import AddressPool
from tests.adapter.cluster import call
from tests.adapter.keyed_log import KeyedLog
from tests.adapter.target import FakeTarget

if TYPE_CHECKING:
    from pathlib import Path

    from soak.schedule import PlannedFault

DATA_CENTRES = 3
"""Number of data centres that the daemons are spread over."""
CALLERS_PER_DAEMON = 4
"""Number of callers of each daemon."""
HEARTBEAT_S = 0.5
"""Interval between two heartbeats of an upstream, seconds."""
SERVICE_S = 0.02
"""Service time of a request, seconds."""
SLOW_SERVICE_S = 0.3
"""Service time of a request at a slow upstream, seconds."""
LEAVE_S = 2.5
"""Least time for which a leaving upstream still answers, seconds."""
RECOVERY_TIMEOUT_S = 30.0
"""Time after the last fault within which each daemon must serve again, seconds."""
READY_TIMEOUT_S = 60.0
"""Longest wait until every daemon serves after its first start, seconds."""


class SoakRun:
    """State of the run of one seed."""

    def __init__(self, seed: int, processes: int, folder: Path) -> None:
        self._rng = Random(seed)
        self._loop = asyncio.get_running_loop()
        self._traffic_start = self._loop.time()
        self._log = KeyedLog()
        self._sequence = 0
        self._faults: list[Fault] = []
        self._stops: list[PlannedStop] = []
        self._interrupted: set[str] = set()
        self._signalling: set[str] = set()
        self._announced: dict[str, str] = {}
        self._limits: list[LimitSpan] = []
        self._replaced = 0
        self._targets = {
            f"d{number}": FakeTarget("shop", f"i-{number}") for number in range(processes)
        }
        self._daemons: dict[str, DaemonProcess] = {}
        self._folder = folder
        self._pool = AddressPool()
        self._stalls = StallMonitor()

    def now(self) -> float:
        """Return the time since traffic started, seconds."""
        return self._loop.time() - self._traffic_start

    async def execute(self, faults: list[PlannedFault], length: float) -> History:
        """Start everything, inject the faults and return the history; `length` is in seconds."""
        heartbeats: list[asyncio.Task[None]] = []
        traffic: list[asyncio.Task[None]] = []
        try:
            await self._start()
            heartbeats = [
                self._loop.create_task(self._send_heartbeats(name)) for name in self._daemons
            ]
            unserved = await self._wait_until_served(READY_TIMEOUT_S)
            self._traffic_start = self._loop.time()
            callers = self._callers()
            traffic = [self._loop.create_task(caller.run()) for caller in callers]
            await asyncio.gather(*(self._inject(fault) for fault in faults))
            await asyncio.sleep(max(0.0, length - self.now()))
            unserved += await self._wait_until_served(RECOVERY_TIMEOUT_S)
            for task in traffic:
                task.cancel()
            await asyncio.gather(*traffic, return_exceptions=True)
            return self._history(callers, unserved)
        finally:
            for task in (*heartbeats, *traffic):
                task.cancel()
            await self._terminate()

    async def _start(self) -> None:
        for number, (name, target) in enumerate(self._targets.items()):
            target.work_s = SERVICE_S
            await target.start()
            log = self._log.endpoint(name).address
            centre = f"c{number % DATA_CENTRES}"
            self._daemons[name] = DaemonProcess(
                name, centre, target.address, log, self._folder, self._pool
            )
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

    async def _send_heartbeats(self, name: str) -> None:
        """Announce an upstream to its daemon periodically; ignores failures to reach it."""
        target = self._targets[name]
        while True:
            self._sequence += 1
            body = {
                "info": {"service": "shop", "slots": 8},
                "status": {
                    "state": self._announced.get(name, "ready"),
                    "sequence": self._sequence,
                    "cold_remaining_s": 0,
                },
            }
            path = f"/foldhoist/instances/{target.instance}"
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(2 * HEARTBEAT_S):
                    address = self._daemons[name].addresses["control"]
                    await call(address, "PUT", path, body=json.dumps(body).encode())
            await asyncio.sleep(HEARTBEAT_S)

    def _callers(self) -> list[Caller]:
        return [
            Caller(
                f"{name}-{number}-", name, daemon.addresses["callers"], self.now, self._new_rng()
            )
            for name, daemon in self._daemons.items()
            for number in range(CALLERS_PER_DAEMON)
        ]

    def _new_rng(self) -> Random:
        return Random(self._rng.random())

    async def _wait_until_served(self, limit: float) -> list[str]:
        """Wait until every daemon has answered a request; returns those that have not in time."""
        until = self._loop.time() + limit
        left = dict(self._daemons)
        while left and self._loop.time() < until:
            for name, daemon in list(left.items()):
                caller = Caller(
                    f"{name}-w-{self._sequence}-",
                    name,
                    daemon.addresses["callers"],
                    self.now,
                    self._new_rng(),
                )
                if await caller.request_once() == 200:
                    del left[name]
            await asyncio.sleep(0.1)
        return list(left)

    async def _inject(self, fault: PlannedFault) -> None:
        await asyncio.sleep(max(0.0, fault.at - self.now()))
        began = self.now()
        match fault.kind:
            case "stop" | "kill" if fault.daemon not in self._interrupted:
                self._interrupted.add(fault.daemon)
                await self._restart(fault)
                self._interrupted.discard(fault.daemon)
            case "pause" if fault.daemon not in self._interrupted:
                self._interrupted.add(fault.daemon)
                self._daemons[fault.daemon].send_signal(signal.SIGSTOP)
                await asyncio.sleep(fault.duration)
                self._daemons[fault.daemon].send_signal(signal.SIGCONT)
                self._interrupted.discard(fault.daemon)
            case "store":
                self._log.endpoint(fault.daemon).fault = fault.store_fault
                await asyncio.sleep(fault.duration)
                self._log.endpoint(fault.daemon).fault = ""
            case "full":
                self._targets[fault.daemon].full = True
                await asyncio.sleep(fault.duration)
                self._targets[fault.daemon].full = False
            case "slow":
                self._targets[fault.daemon].work_s = SLOW_SERVICE_S
                await asyncio.sleep(fault.duration)
                self._targets[fault.daemon].work_s = SERVICE_S
            case "limit" if fault.daemon not in self._signalling:
                self._signalling.add(fault.daemon)
                await self._limit(fault)
                self._signalling.discard(fault.daemon)
            case "leave" if fault.daemon not in self._signalling:
                self._signalling.add(fault.daemon)
                await self._leave(fault)
                self._signalling.discard(fault.daemon)
            case "reset":
                self._targets[fault.daemon].reset_connections()
        self._faults.append(Fault(fault.kind, fault.daemon, began, self.now()))

    async def _limit(self, fault: PlannedFault) -> None:
        """Let an upstream name a limit, change it in the middle, and end it."""
        target = self._targets[fault.daemon]
        # Its answers come late, so that an owner that starts again hears of the limit late.
        target.work_s = SLOW_SERVICE_S if fault.slow else SERVICE_S
        for per_s in fault.limits:
            began = self.now()
            target.limit = str(per_s)
            await asyncio.sleep(fault.duration / 2)
            self._limits.append(LimitSpan(target.instance, began, self.now(), per_s))
        target.limit = ""
        target.work_s = SERVICE_S

    async def _leave(self, fault: PlannedFault) -> None:
        """Let an upstream say that it is leaving, and put another incarnation in its place."""
        target = self._targets[fault.daemon]
        target.leaving = True
        if fault.announces:
            self._announced[fault.daemon] = "draining"
        await asyncio.sleep(LEAVE_S + fault.duration)
        self._announced.pop(fault.daemon, None)
        target.leaving = False
        self._replaced += 1
        target.instance = f"{target.instance.partition('+')[0]}+{self._replaced}"

    async def _restart(self, fault: PlannedFault) -> None:
        daemon = self._daemons[fault.daemon]
        if fault.kind == "kill":
            daemon.send_signal(signal.SIGKILL)
            await daemon.wait()
        else:
            self._stops.append(await self._stop(daemon))
        await asyncio.sleep(fault.duration)
        await daemon.start()

    async def _stop(self, daemon: DaemonProcess) -> PlannedStop:
        """Stop a daemon and return the stop with its times."""
        began, began_wall = self._loop.time(), time.time()
        observer = daemon.observe_exit()
        code = await daemon.stop()
        took = self._loop.time() - began
        observer.join()
        return PlannedStop(
            daemon.name,
            took=took,
            code=code,
            last_line=daemon.last_line_at() - began_wall,
            ended=observer.ended_at - began,
            last_state=observer.last_state,
            stalled=self._stalls.longest_since(began),
        )

    def _history(self, callers: list[Caller], unserved: list[str]) -> History:
        results: list[RequestResult] = [each for caller in callers for each in caller.results]
        executions = [
            Execution(req.headers.get("x-attempt-id", ""), name)
            for name, target in self._targets.items()
            for req in target.ran
        ]
        arrivals = [
            Arrival(attempt, instance, at - self._traffic_start)
            for target in self._targets.values()
            for at, attempt, instance in target.received
        ]
        return History(
            tuple(results),
            tuple(executions),
            tuple(self._faults),
            tuple(self._stops),
            tuple(unserved),
            tuple(arrivals),
            tuple(self._limits),
        )

    async def _terminate(self) -> None:
        """Kill the daemons and close the stand-ins."""
        self._stalls.close()
        for daemon in self._daemons.values():
            daemon.send_signal(signal.SIGCONT)
            daemon.send_signal(signal.SIGKILL)
        for daemon in self._daemons.values():
            if daemon.process is not None:
                await daemon.wait()
        for target in self._targets.values():
            target.close()
        self._pool.close()
        self._log.close()
