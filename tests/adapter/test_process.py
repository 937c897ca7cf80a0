"""A daemon on the adapter in a separate process: signals and reloaded settings."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from typing import TYPE_CHECKING

from tests.adapter.cluster import SETTINGS, TIMEOUT_S, Cluster, call, route

if TYPE_CHECKING:
    from pathlib import Path

PYTHON_PATH = os.pathsep.join(["platform", "."])


class Process:
    """One daemon process; its log is read from standard error."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.addresses: dict[str, str] = {}

    async def start(self) -> None:
        """Start the process and wait until it listens."""
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "foldhoist", "daemon", str(self.path)),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": PYTHON_PATH},
        )
        assert self.process.stdout is not None
        async with asyncio.timeout(TIMEOUT_S):
            line = await self.process.stdout.readline()
        self.addresses = json.loads(line)["addresses"]

    async def line_with(self, text: str) -> str:
        """Return the next log line that contains a text."""
        assert self.process.stderr is not None
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                line = (await self.process.stderr.readline()).decode()
                assert line, "the process has ended"
                if text in line:
                    return line

    async def end(self) -> int:
        """Stop the process with SIGTERM and return its exit code."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(TIMEOUT_S):
            await self.process.communicate()
        assert self.process.returncode is not None
        return self.process.returncode


def test_a_daemon_reloads_settings_on_sighup_and_keeps_them_on_faults(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster() as cluster:
            await cluster.add("a")
            await cluster.configure(1, [route()])
            text = SETTINGS.format(
                name="p",
                data_centre="one",
                callers=0,
                frames=0,
                address=cluster.targets["a"].address,
                service="shop",
                log=cluster.log.address,
                first="yes",
            )
            path = tmp_path / "p.ini"
            path.write_text(text)
            daemon = Process(path)
            await daemon.start()
            try:
                await daemon.line_with("version 1 in force")
                path.write_text(text + "\nidle_ms = soon\n")
                daemon.process.send_signal(signal.SIGHUP)
                fault = await daemon.line_with("settings are kept")
                assert "[limits] idle_ms = soon" in fault
                path.write_text(text + "\nidle_ms = 9000\n")
                daemon.process.send_signal(signal.SIGHUP)
                assert "limits" in await daemon.line_with("settings read again")
                ready = await call(daemon.addresses["operators"], "GET", "/foldhoist/ready")
                assert ready.status == 200
            finally:
                code = await daemon.end()
            assert code == 0

    asyncio.run(run())
