"""A daemon is a single process without io_uring or shared memory."""

from __future__ import annotations

import asyncio
from pathlib import Path

import psutil

from tests.integration.harness import load, make_fleet


def test_a_daemon_has_no_child_no_io_uring_and_no_shared_memory() -> None:
    with make_fleet() as fleet:
        fleet.start()
        asyncio.run(load(fleet, 100, 10))
        for process in fleet.daemons.values():
            pid = process.popen.pid
            assert psutil.Process(pid).children(recursive=True) == []
            links = [_link_target(each) for each in Path(f"/proc/{pid}/fd").iterdir()]
            assert not [link for link in links if "io_uring" in link]
            maps = Path(f"/proc/{pid}/maps").read_text()
            assert "/dev/shm" not in maps
            assert "SYSV" not in maps


def _link_target(link: Path) -> str:
    try:
        return str(link.readlink())
    except OSError:
        return ""
