"""Starts and stops daemons as child processes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from typing import TYPE_CHECKING

from soak.exits import ExitObserver

if TYPE_CHECKING:
    from pathlib import Path

    from standins.ports import AddressPool

START_TIMEOUT_S = 60.0
"""Longest wait for a process to listen, seconds."""
STOP_TIMEOUT_S = 20.0
"""Longest wait for a process to exit, seconds; then it is killed."""
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
first_start = {first_start}
[limits]
drain_ms = 5000
[observe]
log_format = json
"""
PORTS = ("callers", "frames", "control", "operators")


class DaemonProcess:
    """A daemon that keeps its addresses over restarts and logs to a file."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        upstream: str,
        log: str,
        folder: Path,
        pool: AddressPool,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.upstream = upstream
        self.log = log
        self.folder = folder
        self.addresses = {name: pool.take() for name in PORTS}
        self.process: asyncio.subprocess.Process | None = None
        self.first_start = True

    async def start(self) -> None:
        """Write the settings, start the process and wait until it listens."""
        path = self.folder / f"{self.name}.ini"
        text = SETTINGS.format(
            name=self.name,
            data_centre=self.data_centre,
            address=self.upstream,
            log=self.log,
            first_start="yes" if self.first_start else "no",
            **self.addresses,
        )
        path.write_text(text)
        with self._log_path.open("ab") as log_file:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "foldhoist", "daemon", str(path)),
                stdout=asyncio.subprocess.PIPE,
                stderr=log_file,
                env={**os.environ, "PYTHONPATH": os.pathsep.join(["platform", "."])},
            )
        assert self.process.stdout is not None
        async with asyncio.timeout(START_TIMEOUT_S):
            line = await self.process.stdout.readline()
        self.addresses = {name: json.loads(line)["addresses"][name] for name in PORTS}
        self.first_start = False

    def observe_exit(self) -> ExitObserver:
        """Return a started observer of the running process."""
        assert self.process is not None
        observer = ExitObserver(self.process.pid)
        observer.start()
        return observer

    def last_line_at(self) -> float:
        """Return when the daemon last wrote to its log, wall-clock seconds."""
        return self._log_path.stat().st_mtime

    @property
    def _log_path(self) -> Path:
        return self.folder / f"{self.name}.log"

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> int | None:
        """Stop the process by SIGTERM; returns its exit code, or None if it had to be killed."""
        self.send_signal(signal.SIGTERM)
        return await self.wait()

    async def wait(self) -> int | None:
        """Wait for the process to exit; returns its exit code, or None if it had to be killed."""
        assert self.process is not None
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
            return None
