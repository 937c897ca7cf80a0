"""Daemons as processes, by the deploy file's settings template, beside a fake store and targets."""

from __future__ import annotations

import asyncio
import json
import os
import re
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from standins.ports import AddressPool
from tests.adapter.cluster import TIMEOUT_S, call, route
from tests.adapter.keyed_log import KeyedLog
from tests.adapter.target import FakeTarget
from tests.crowd.clients import get

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ROOT = Path(__file__).resolve().parents[2]
MEMORY_MB = 200
"""Memory of the smallest host of any deployment, megabytes; a process above it is killed."""
MAX_FDS = 4100
"""Descriptors of the smallest host."""
MIB = 1024 * 1024
MAX_BODY_BYTES = 64 * MIB
"""The operator's limit of a body."""
REQUEST_S = 10
"""The operator's limit of the time for a caller to send a request, seconds."""
_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_GAP = re.compile(r"\{\{([\w.]+)\}\}")


class Answer(NamedTuple):
    """A whole answer; status 0 without one."""

    status: int
    body: bytes


class Host(NamedTuple):
    """One host: its daemon process, the target beside it, and the file of its log."""

    name: str
    process: asyncio.subprocess.Process
    addresses: dict[str, str]
    target: FakeTarget
    log: Path

    @property
    def alive(self) -> bool:
        """Return whether the process runs."""
        return self.process.returncode is None

    @property
    def peak_bytes(self) -> int:
        """Return the highest resident memory of the process so far."""
        return self._status("VmHWM")

    @property
    def resident_bytes(self) -> int:
        """Return the resident memory of the process."""
        return self._status("VmRSS")

    @property
    def descriptors(self) -> int:
        """Return how many descriptors the process has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def _status(self, field: str) -> int:
        text = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        found = re.search(rf"{field}:\s+(\d+) kB", text)
        assert found is not None
        return int(found[1]) * 1024


class Hosts:
    """A host of service web, at which callers come in, and one of service shop, which they call."""

    def __init__(self, folder: Path, limits: dict[str, int]) -> None:
        self.store = KeyedLog()
        self._folder = folder
        self._limits = limits
        self._pool = AddressPool()
        self._all: dict[str, Host] = {}

    async def __aenter__(self) -> Hosts:
        """Start both hosts, and wait until calls go through."""
        for name, service in (("a", "web"), ("b", "shop")):
            self._all[name] = await self._start(name, service)
        await self.store.put("keyed.op", "config", json.dumps(_configuration()).encode())
        async with asyncio.timeout(TIMEOUT_S):
            for each in self._all.values():
                await _beat(each)
            for path in ("/s/1", "/w/1"):
                while (await self.get(path)).status != 200:
                    await asyncio.sleep(0.05)
        return self

    async def __aexit__(self, *exc: object) -> None:
        """End the processes and the stand-ins."""
        for each in self._all.values():
            if each.alive:
                each.process.kill()
            await each.process.wait()
            each.target.close()
        self._pool.close()
        self.store.close()

    @property
    def front(self) -> Host:
        """Return the host at which callers come in."""
        return self._all["a"]

    @property
    def back(self) -> Host:
        """Return the host of the upstream that they call."""
        return self._all["b"]

    async def get(self, path: str = "/w/1") -> Answer:
        """Make an ordinary call, to a service that the crowds do not call."""
        return await self.send(get(path.encode()))

    async def send(self, data: bytes, name: str = "a") -> Answer:
        """Send a request at a host on a connection of its own; status 0 without a whole answer."""
        ip, _, port = self._all[name].addresses["callers"].rpartition(":")
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(TIMEOUT_S):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(data)
                return await _read_answer(reader)
        except (OSError, asyncio.IncompleteReadError):
            return Answer(0, b"")
        finally:
            if writer is not None:
                writer.close()

    def check(self) -> None:
        """Check that both processes live and stay within the memory and descriptors of a host."""
        for each in self._all.values():
            assert each.alive, each.log.read_text(encoding="utf-8")
            assert each.peak_bytes <= MEMORY_MB * 1_000_000, f"host {each.name}"
            assert each.descriptors <= MAX_FDS - 200, f"host {each.name}"

    async def _start(self, name: str, service: str) -> Host:
        target = FakeTarget(service, f"i-{name}")
        await target.start()
        path = self._folder / f"{name}.ini"
        path.write_text(self._settings(name, target), encoding="utf-8")
        log = self._folder / f"{name}.log"
        with log.open("wb") as log_file:
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "foldhoist", "daemon", str(path)),
                stdout=asyncio.subprocess.PIPE,
                stderr=log_file,
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": os.pathsep.join(["platform", "."])},
            )
        assert process.stdout is not None
        async with asyncio.timeout(TIMEOUT_S):
            line = await process.stdout.readline()
        assert line, log.read_text(encoding="utf-8")
        return Host(name, process, json.loads(line)["addresses"], target, log)

    def _settings(self, name: str, target: FakeTarget) -> str:
        frames_ip, _, frames_port = self._pool.take().rpartition(":")
        fields = {
            "node_name": name,
            "zone": "one",
            "ip": frames_ip,
            "internal_port_range.0": frames_port,
            "listen.outbound": self._pool.take(),
            "listen.control": self._pool.take(),
            "listen.ready": self._pool.take(),
            "app_addr": target.address,
            "service": target.service,
            "platform.address": self.store.address,
            "bootstrap": "true",
            "bounds.retry_budget_slack": "58",
            "bounds.budget_window_s": "10",
            "limits.memory_mb": str(MEMORY_MB),
        }
        text = (ROOT / "deploy" / "settings.ini").read_text(encoding="utf-8")
        text = _SECTION.sub(lambda found: found[2] if found[1] in fields else "", text)
        text = _GAP.sub(lambda found: fields[found[1]], text)
        for option, value in self._limits.items():
            text = re.sub(
                rf"(?ms)(^\[limits\].*?)^{option} = \d+", rf"\g<1>{option} = {value}", text
            )
        return text


def with_hosts(
    **limits: int,
) -> Callable[[Callable[[Hosts], Awaitable[None]]], Callable[[Path], None]]:
    """Wrap an asynchronous test so that it runs with its own hosts, which have these limits."""

    def wrap(test: Callable[[Hosts], Awaitable[None]]) -> Callable[[Path], None]:
        async def run(folder: Path) -> None:
            async with Hosts(folder, limits) as hosts:
                await test(hosts)

        def wrapped(tmp_path: Path) -> None:
            asyncio.run(run(tmp_path))

        wrapped.__name__ = test.__name__
        wrapped.__doc__ = test.__doc__
        return wrapped

    return wrap


async def _read_answer(reader: asyncio.StreamReader) -> Answer:
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    size = int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0])
    return Answer(int(head.split(b" ")[1]), await reader.readexactly(size))


async def _beat(host: Host) -> None:
    info = {"service": host.target.service, "slots": 200}
    status = {"state": "ready", "sequence": 1, "cold_remaining_s": 0}
    body = json.dumps({"info": info, "status": status}).encode()
    path = f"/foldhoist/instances/{host.target.instance}"
    answer = await call(host.addresses["control"], "PUT", path, body=body)
    assert answer.status == 200


def _configuration() -> dict[str, Any]:
    return {
        "version": "00000001",
        "services": [{"name": "shop"}, {"name": "web"}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_s": REQUEST_S,
            "idle_timeout_s": 60,
        },
        "virtual_hosts": [
            {
                "host": "shop.example",
                "route_paths": [
                    route("/s/", attempts=1),
                    route("/u/", route_type="unsafe"),
                    route("/w/", service="web"),
                ],
            }
        ],
    }
