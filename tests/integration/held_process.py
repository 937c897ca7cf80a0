"""A daemon process that is held at a known point of its life, so that tests need no timing."""

from __future__ import annotations

import json
import os
import select
import subprocess
import sys
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

TIMEOUT_S = 60.0
"""Timeout of every wait, seconds; only guards against a hang."""
SETTINGS = """
[daemon]
name = p
data_centre = one
[listen]
callers = {callers}
frames = {frames}
control = {control}
operators = {operators}
[upstream]
address = 127.0.0.1:1
service = shop
[platform]
log = 127.0.0.1:1
first_start = yes
{platform}
[limits]
drain_ms = 2500
"""
ANY_ADDRESSES = dict.fromkeys(("callers", "frames", "control", "operators"), "127.0.0.1:0")
WITH_ADAPTER = "adapter = foldhoist_adapter\nstream = daemons"
"""Lines under `[platform]` for the daemon with the adapter."""
HOOK = """
import atexit, os, sys

def hold():
    with open(os.environ["HOLD"]) as fifo:
        fifo.read()

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == os.environ["HOLD_AT"]:
            sys.meta_path.remove(self)
            hold()

if os.environ["HOLD_AT"] == "exit":
    atexit.register(hold)
else:
    sys.meta_path.insert(0, Finder())
"""
"""A `sitecustomize` that holds the process, until its FIFO is closed, at an import or its exit."""


def settings(platform: str = WITH_ADAPTER, addresses: Mapping[str, str] = ANY_ADDRESSES) -> str:
    """Return the settings of a daemon."""
    return SETTINGS.format(platform=platform, **addresses)


class HeldProcess:
    """A daemon process; `hold_at` names the import or "exit" at which it is held."""

    def __init__(self, folder: Path, path: Path, hold_at: str = "") -> None:
        self._fifo = folder / "hold"
        env = {**os.environ, "PYTHONPATH": os.pathsep.join(["platform", "."])}
        if hold_at:
            os.mkfifo(self._fifo)
            (folder / "sitecustomize.py").write_text(HOOK)
            env["PYTHONPATH"] = os.pathsep.join([str(folder), env["PYTHONPATH"]])
            env |= {"HOLD": str(self._fifo), "HOLD_AT": hold_at}
        self._log = folder / f"{path.name}.log"
        with self._log.open("wb") as log:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", "foldhoist", "daemon", str(path)],
                stdout=subprocess.PIPE,
                stderr=log,
                env=env,
            )

    def __enter__(self) -> HeldProcess:
        """Return the process."""
        return self

    def __exit__(self, *exc: object) -> None:
        """Kill the process if it still runs."""
        self.popen.kill()
        self.popen.communicate()

    def wait_held(self, fifo: Path | None = None) -> int:
        """Wait until the process opens the FIFO, which holds it; returns a descriptor to close."""
        limit = time.monotonic() + TIMEOUT_S
        while time.monotonic() < limit:
            try:
                return os.open(fifo or self._fifo, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                assert self.popen.poll() is None, self.log()
                time.sleep(0.01)
        raise TimeoutError("the process does not open the FIFO")

    def addresses(self) -> dict[str, str]:
        """Wait until the process listens; returns its addresses."""
        assert self.popen.stdout is not None
        assert select.select([self.popen.stdout], [], [], TIMEOUT_S)[0], self.log()
        line = self.popen.stdout.readline()
        assert line, f"exit code {self.popen.wait(TIMEOUT_S)}: {self.log()}"
        ready: dict[str, Any] = json.loads(line)
        return dict(ready["addresses"])

    def wait_logged(self, text: str) -> None:
        """Wait until the log has a line with this text."""
        limit = time.monotonic() + TIMEOUT_S
        while text not in self.log():
            assert self.popen.poll() is None, f"exit code {self.popen.returncode}: {self.log()}"
            assert time.monotonic() < limit, self.log()
            time.sleep(0.01)

    def exit_code(self) -> int:
        """Wait for the end of the process."""
        return self.popen.wait(TIMEOUT_S)

    def log(self) -> str:
        """Return what the process has written to standard error."""
        return self._log.read_text()
