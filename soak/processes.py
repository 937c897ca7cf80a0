"""Daemons as processes of their own, ended by the ids under which they were started."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from typing import TYPE_CHECKING

from standins.ports import reusable_address

if TYPE_CHECKING:
    from pathlib import Path

START_S = 60.0
"""Longest wait for a process to listen, seconds: it ends what hangs, and says nothing of speed."""
STOP_S = 20.0
"""Longest wait for a process that was told to stop, seconds; then it is killed."""
SETTINGS = """
[daemon]
name = {name}
data_centre = {data_centre}
[listen]
callers = {callers}
frames = {frames}
control = {control}
operators = {operators}
[upstream]
address = {address}
service = shop
[platform]
adapter = foldhoist_adapter
log = {log}
stream = daemons
wait_ms = 1000
first_start = {first}
[limits]
drain_ms = 5000
[observe]
log_format = json
"""
PORTS = ("callers", "frames", "control", "operators")


class DaemonProcess:
    """One daemon, which keeps its addresses over restarts; its log lines go to a file."""

    def __init__(self, name: str, data_centre: str, upstream: str, log: str, folder: Path) -> None:
        self.name = name
        self.data_centre = data_centre
        self.upstream = upstream
        self.log = log
        self.folder = folder
        self.addresses = {name: reusable_address() for name in PORTS}
        self.process: asyncio.subprocess.Process | None = None
        self.first = True

    async def start(self) -> None:
        """Start it and wait until it listens."""
        path = self.folder / f"{self.name}.ini"
        text = SETTINGS.format(
            name=self.name,
            data_centre=self.data_centre,
            address=self.upstream,
            log=self.log,
            first="yes" if self.first else "no",
            **self.addresses,
        )
        path.write_text(text)
        with (self.folder / f"{self.name}.log").open("ab") as lines:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "foldhoist", "daemon", str(path)),
                stdout=asyncio.subprocess.PIPE,
                stderr=lines,
                env={**os.environ, "PYTHONPATH": os.pathsep.join(["platform", "."])},
            )
        assert self.process.stdout is not None
        async with asyncio.timeout(START_S):
            line = await self.process.stdout.readline()
        self.addresses = {name: json.loads(line)["addresses"][name] for name in PORTS}
        self.first = False

    def send(self, number: signal.Signals) -> None:
        """Send it a signal if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> int | None:
        """Stop it as planned; returns its code, or None if it had to be killed."""
        self.send(signal.SIGTERM)
        return await self.ended()

    async def ended(self) -> int | None:
        """Wait for its end; returns its code, or None if it had to be killed."""
        assert self.process is not None
        try:
            async with asyncio.timeout(STOP_S):
                return await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
            return None
