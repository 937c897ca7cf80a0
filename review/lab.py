"""A small deployment as real processes: daemons beside stand-ins of the store, targets and clients.

Daemons are started with the command and the settings template of the deploy file. Every machine has
a loopback address of its own, and all machines use the same ports.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import re
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from contextlib import suppress
from pathlib import Path
from struct import Struct
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

ROOT = Path(__file__).resolve().parent.parent
"""Root of the repository."""
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes: the rule held, the rule was broken, the case could not run."""
CONTACT_S = 3.0
"""`contact_s` of the sites, seconds."""
CONFIG_APPLY_S = 2.0
"""`config_apply_s` of the sites, seconds."""
LIMIT_S = 112.0
"""Longest time of a scenario, seconds; a case may take 120."""
DRAIN_S = 2.0
"""`drain_s` of the sites, seconds."""
HEARTBEAT_S = 1.5
"""`heartbeat_s` of the sites, seconds."""
HOST = "shop.example"
"""Host of every route."""
LENGTH = Struct(">I")
ZONES = ("zone-a", "zone-b", "zone-c")
MEMORY_MB = 300
"""`memory_mb` of the machines of the small sites."""
RESTART_S = 1.0
"""The platform starts a process again this long after it has ended, seconds."""


class CannotRunError(Exception):
    """The case could not run; nothing is said about the rule."""


class Answer(NamedTuple):
    """A client's answer; status 0 if the connection ended without a whole one."""

    status: int
    headers: dict[str, str]
    body: bytes
    sent_at: float
    ended_at: float


class Run(NamedTuple):
    """A request that a target ran."""

    at: float
    attempt: str
    path: str
    headers: dict[str, str]
    body: bytes
    target: str
    service: str


class Log:
    """Writes what was sent, answered and run to `record.txt`; times count from its creation."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._began:9.3f} {text}\n")

    def at(self, moment: float) -> str:
        """Return a monotonic time as in the file."""
        return f"{moment - self._began:.3f}"

    def close(self) -> None:
        """Close the file."""
        self._file.close()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the start line and the headers of a message, names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    return head[0], {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a message that has a length."""
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store: keyed topics as on its page, and connections that can go silent."""

    def __init__(self, log: Log) -> None:
        self.address = ""
        self.polls: dict[int, float] = {}
        self.down = False
        self._log = log
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Condition()
        self._silent: set[int] = set()
        self._connections = 0
        self._open: set[int] = set()
        self._server: asyncio.Server | None = None

    async def start(self, ip: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, ip, port, limit=1 << 26)
        self.address = f"{ip}:{port}"

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def silence(self) -> None:
        """Let every open connection go silent for good; new ones work."""
        self._silent |= self._open

    async def put(self, topic: str, key: str, value: bytes) -> float:
        """Append a record as the operator does; returns when it is acknowledged."""
        async with self._changed:
            self._topics.setdefault(topic, []).append((key, value))
            self._changed.notify_all()
        return time.monotonic()

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest record of each key."""
        return {key: value for key, value in self._topics.get(topic, []) if value}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections += 1
        number = self._connections
        self._open.add(number)
        try:
            while True:
                await self._one(number, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._open.discard(number)
            writer.close()

    async def _one(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        line, headers = await read_head(reader)
        body = await read_body(reader, headers)
        method, target, _ = line.split(" ")
        call, _, query = target.partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&"))
        if self.down:
            await self._answer(number, writer, 503, b"{}")
            return
        match method, call:
            case "POST", "/foldhoist/log-append":
                await self._append(number, writer, fields, body)
            case "GET", "/foldhoist/log-newest":
                await self._newest(number, writer, fields)
            case "GET", "/foldhoist/log-read":
                await self._read(number, writer, fields)
            case _:
                await self._answer(number, writer, 404, b"{}")

    async def _append(
        self, number: int, writer: asyncio.StreamWriter, fields: dict[str, str], body: bytes
    ) -> None:
        at = 0
        records = self._topics.setdefault(fields["topic"], [])
        begin = len(records)
        while at < len(body):
            (length,) = LENGTH.unpack_from(body, at)
            record = body[at + 4 : at + 4 + length]
            at += 4 + length
            split = 1 + record[0]
            await self.put(fields["topic"], record[1:split].decode(), record[split:])
        text = json.dumps({"offset": begin, "end": len(records)}).encode()
        await self._answer(number, writer, 200, text)

    async def _newest(
        self, number: int, writer: asyncio.StreamWriter, fields: dict[str, str]
    ) -> None:
        topic = fields["topic"]
        end = len(self._topics.get(topic, []))
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": end - 1}
            for key, value in self.newest(topic).items()
        ]
        text = json.dumps({"items": items, "more": False, "end": end}).encode()
        await self._answer(number, writer, 200, text)

    async def _read(
        self, number: int, writer: asyncio.StreamWriter, fields: dict[str, str]
    ) -> None:
        topic, start = fields["topic"], int(fields["start_rev"])
        wait_s = int(fields.get("wait_ms", "0")) / 1000
        self.polls[number] = time.monotonic() + wait_s
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: len(self._topics.get(topic, [])) > start)
        self.polls.pop(number, None)
        records = self._topics.get(topic, [])
        data = len(records).to_bytes(8, "big") + bytes(8)
        for key, value in records[start:]:
            record = bytes([len(key)]) + key.encode() + value
            data += LENGTH.pack(len(record)) + record
        await self._answer(number, writer, 200, data)

    async def _answer(
        self, number: int, writer: asyncio.StreamWriter, status: int, body: bytes
    ) -> None:
        if number in self._silent:
            await asyncio.Event().wait()
        head = f"HTTP/1.1 {status} Status\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()


class Target:
    """An application target: runs requests, signs its answers, and tells its daemon of itself."""

    def __init__(self, service: str, instance: str, log: Log) -> None:
        self.service = service
        self.instance = instance
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.work_s = 0.01
        self.slots = 8
        self.ran: list[Run] = []
        self.reply: Callable[[Run, asyncio.StreamWriter], Awaitable[bool]] | None = None
        self._sequence = 0
        self._log = log
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str) -> None:
        """Listen at the address."""
        ip, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port), limit=1 << 26)

    def stop(self) -> None:
        """End: no heartbeats, no listener, no connections."""
        self.stop_beats()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def beat_to(self, control: str) -> None:
        """Send heartbeats to this address from now on."""
        self._beats = asyncio.get_running_loop().create_task(self._beat(control))

    def stop_beats(self) -> None:
        """Send no further heartbeats."""
        if self._beats is not None:
            self._beats.cancel()

    async def heartbeat(self, control: str) -> Answer:
        """Send one heartbeat."""
        self._sequence += 1
        info = {"service": self.service, "version": "v1", "zone": ZONES[0], "slots": self.slots}
        status = {"state": self.state, "sequence": self._sequence, "cold_remaining_s": 0}
        beat = {"address": control, "info": info, "status": status, "born": self.born}
        return await request(
            control, "PUT", f"/foldhoist/instances/{self.instance}", body=json.dumps(beat).encode()
        )

    async def _beat(self, control: str) -> None:
        while True:
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(1.0):
                    await self.heartbeat(control)
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while await self._one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        line, headers = await read_head(reader)
        body = await read_body(reader, headers)
        path = line.split(" ")[1]
        attempt = headers.get("x-attempt-id", "")
        expected = headers.get("x-expect-instance", self.instance)
        if expected != self.instance:
            writer.write(b"HTTP/1.1 421 Status\r\nContent-Length: 0\r\n")
            writer.write(f"X-Attempt-Id: {attempt}\r\n\r\n".encode())
            return True
        if path == "/health":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n")
            load = f"X-Server-Load: 0,0,{self.slots}"
            writer.write(f"X-Instance-Id: {self.instance}\r\n{load}\r\n\r\n".encode())
            return True
        run = Run(time.monotonic(), attempt, path, headers, body, self.instance, self.service)
        self.ran.append(run)
        caller = headers.get("x-caller-service", "")
        self._log.note(f"run {attempt} by {self.instance} of {self.service}, caller {caller!r}")
        await asyncio.sleep(self.work_s)
        if self.reply is not None:
            return await self.reply(run, writer)
        writer.write(self.answer(run))
        await writer.drain()
        return True

    def answer(self, run: Run, status: int = 200, more: str = "") -> bytes:
        """Return the whole, signed answer to a request."""
        body = f"{self.service} {run.attempt}".encode()
        head = (
            f"HTTP/1.1 {status} Status\r\nX-Attempt-Id: {run.attempt}\r\n"
            f"X-Response-Signature: {self.instance}.{run.attempt}\r\n"
            f"X-Server-Load: 1,0,{self.slots}\r\n{more}Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body


async def request(
    address: str,
    method: str,
    path: str,
    *,
    attempt: str = "",
    deadline_ms: int = 0,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Send one request on a new connection and return the answer."""
    ip, _, port = address.rpartition(":")
    sent_at = time.monotonic()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    if attempt:
        lines.append(f"X-Attempt-Id: {attempt}")
    if deadline_ms:
        lines.append(f"X-Deadline-Ms: {deadline_ms}")
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            line, headers = await read_head(reader)
            whole = await read_body(reader, headers)
            return Answer(int(line.split(" ")[1]), headers, whole, sent_at, time.monotonic())
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Answer(0, {}, b"", sent_at, time.monotonic())
    finally:
        if writer is not None:
            writer.close()


class Machine:
    """One machine: a daemon process, its settings file, and the target beside it."""

    def __init__(self, lab: Lab, name: str, zone: str, ip: str, service: str) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.service = service
        self.bootstrap = True
        self.target: Target | None = None
        self.process: asyncio.subprocess.Process | None = None
        self._lab = lab
        self.settings = lab.folder / f"{name}.yaml"
        ports = lab.ports
        self.app, self.outbound, self.ready, self.control = (f"{ip}:{port}" for port in ports[:4])

    def write_settings(self) -> None:
        """Lay out the settings file as the platform does."""
        first = self._lab.ports[4]
        fields = {
            "node_name": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "listen": {
                "outbound": self.outbound,
                "ready": self.ready,
                "control": self.control,
            },
            "internal_port_range": [first, first + 15],
            "bootstrap": self.bootstrap,
            "app_addr": self.app,
            "service": self.service,
            "platform": {"address": self._lab.store.address},
            "bounds": {"retry_budget_slack": 58, "budget_window_s": 10},
        }
        self.settings.write_text(render(self._lab.template, fields), encoding="utf-8")

    async def start(self) -> None:
        """Lay out the settings and start the daemon."""
        self.write_settings()
        command = [sys.executable, *self._lab.command[1:-1], str(self.settings)]
        with (self._lab.folder / f"{self.name}.log").open("ab") as log_file:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=log_file,
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": str(ROOT / "target" / "deps")},
            )
        self.bootstrap = False
        self._lab.log.note(f"daemon {self.name} starts, pid {self.process.pid}")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the daemon if it runs."""
        if self.process is not None and self.process.returncode is None:
            self._lab.log.note(f"daemon {self.name} gets {number.name}")
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the daemon and wait for its end."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the daemon says that it is ready."""
        return (await request(self.ready, "GET", "/foldhoist/ready", timeout_s=1.0)).status == 200


class MemoryLimit:
    """The platform's limit on memory: a process that goes over it is killed, and started again."""

    def __init__(self, lab: Lab) -> None:
        self.kills: dict[str, int] = dict.fromkeys(lab.machines, 0)
        self.peak_mb: dict[str, int] = dict.fromkeys(lab.machines, 0)
        self._lab = lab

    async def watch(self) -> None:
        """Read the resident memory of every daemon again and again."""
        while True:
            for machine in self._lab.machines.values():
                used_mb = resident_mb(machine)
                self.peak_mb[machine.name] = max(self.peak_mb[machine.name], used_mb)
                if used_mb > MEMORY_MB:
                    self.kills[machine.name] += 1
                    self._lab.log.note(f"{machine.name} uses {used_mb} MB and is killed")
                    await machine.kill()
                    self._lab.spawn(self._start_again(machine))
            await asyncio.sleep(0.05)

    async def _start_again(self, machine: Machine) -> None:
        await asyncio.sleep(RESTART_S)
        await machine.start()

    def broken(self, machines: int, times: int) -> list[str]:
        """Return the breaks if so many machines went over the limit so often."""
        over = [name for name, kills in self.kills.items() if kills >= times]
        if len(over) < machines:
            return []
        return [f"{name} went over {MEMORY_MB} MB {self.kills[name]} times" for name in over]


def resident_mb(machine: Machine) -> int:
    """Return the resident memory of a machine's daemon, megabytes; 0 if it does not run."""
    process = machine.process
    if process is None or process.returncode is not None:
        return 0
    try:
        status = Path(f"/proc/{process.pid}/status").read_text(encoding="utf-8")
    except OSError:
        return 0
    found = re.search(r"VmRSS:\s+(\d+) kB", status)
    return int(found[1]) // 1024 if found else 0


class Lab:
    """The machines of a small deployment with their store; use it as a context manager."""

    def __init__(self, record: Path) -> None:
        self.log = Log(record)
        self.store = Store(self.log)
        self.machines: dict[str, Machine] = {}
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        role = deploy["roles"]["daemon"]
        self.command = shlex.split(role["run"])
        self.template = (ROOT / role["template"]).read_text(encoding="utf-8")
        self._net = f"127.{random.randrange(2, 250)}.{random.randrange(2, 250)}"
        self.ports = free_ports(f"{self._net}.1")
        self._attempts = 0
        self._prefix = f"{random.randrange(1 << 32):08x}"
        self._tasks: list[asyncio.Task[Any]] = []

    async def __aenter__(self) -> Lab:
        """Start the store."""
        if not (ROOT / "target" / "deps" / "foldhoist").is_dir():
            raise CannotRunError("the build of the deploy file is missing")
        await self.store.start(f"{self._net}.1", self.ports[5])
        return self

    async def __aexit__(self, *exc: object) -> None:
        """End all processes and stand-ins."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for machine in self.machines.values():
            if machine.process is not None and machine.process.returncode is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                await machine.process.wait()
            if machine.target is not None:
                machine.target.stop()
        self.store.close()
        self.log.close()
        self._folder.cleanup()

    def next_attempt(self) -> str:
        """Return the id of a new client attempt."""
        self._attempts += 1
        return f"{self._prefix}{self._attempts:08x}"

    def spawn(self, work: Awaitable[Any]) -> asyncio.Task[Any]:
        """Run a task until the lab ends."""
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    def add(self, service: str, zone: str) -> Machine:
        """Add a machine with a target of a service."""
        number = len(self.machines) + 1
        machine = Machine(self, f"sidecar-{number}", zone, f"{self._net}.{number + 1}", service)
        self.machines[machine.name] = machine
        return machine

    async def place(self, machine: Machine, service: str, instance: str) -> Target:
        """Start a target at a machine's address, with heartbeats to its daemon."""
        target = Target(service, instance, self.log)
        await target.start(machine.app)
        target.beat_to(machine.control)
        machine.target = target
        return target

    async def start(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Start every machine and wait until each is ready and serves each route."""
        await self.configure(version, routes)
        for machine in self.machines.values():
            await machine.start()
        for number, machine in enumerate(self.machines.values()):
            await self.place(machine, machine.service, f"i-{number + 1:08x}")
        try:
            await until(self._all_ready, 30.0, "not all daemons became ready")
        except CannotRunError:
            self._note_last_lines()
            raise
        for machine in self.machines.values():
            for route in routes:
                await until(
                    lambda m=machine, r=route: self._serves(m, r["path_prefix"]),  # type: ignore[misc]
                    20.0,
                    f"{machine.name} does not serve {route['path_prefix']}",
                )
        self.log.note("all daemons are ready and serve all routes")

    async def configure(self, version: int, routes: list[dict[str, Any]]) -> float:
        """Write a configuration as the operator does; returns when it was acknowledged."""
        services = sorted({machine.service for machine in self.machines.values()})
        body = {
            "version": f"{version:08x}",
            "services": [
                {"name": name, "health_path": "/health", "max_connections": 220}
                for name in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
            },
            "virtual_hosts": [{"host": HOST, "route_paths": routes}],
        }
        at = await self.store.put("keyed.op", "config", json.dumps(body).encode())
        self.log.note(f"configuration {version} is acknowledged")
        return at

    def all_runs(self) -> list[Run]:
        """Return the requests that the present targets have run."""
        found: list[Run] = []
        for machine in self.machines.values():
            if machine.target is not None:
                found += machine.target.ran
        return found

    async def send(
        self, machine: Machine, path: str, method: str = "GET", **more: Any
    ) -> tuple[str, Answer]:
        """Send a client's request to a machine; returns its id and the answer."""
        attempt = self.next_attempt()
        more.setdefault("deadline_ms", 1000)
        answer = await request(machine.outbound, method, path, attempt=attempt, **more)
        self.log.note(
            f"request {attempt} {method} {path} at {machine.name}, sent"
            f" {self.log.at(answer.sent_at)}, status {answer.status}"
        )
        return attempt, answer

    def _note_last_lines(self) -> None:
        """Write the last lines of each daemon's log."""
        for machine in self.machines.values():
            text = (self.folder / f"{machine.name}.log").read_text(encoding="utf-8")
            for line in text.splitlines()[-5:]:
                self.log.note(f"{machine.name}: {line}")

    async def _all_ready(self) -> bool:
        return all([await machine.is_ready() for machine in self.machines.values()])

    async def _serves(self, machine: Machine, path: str) -> bool:
        _, answer = await self.send(machine, f"{path}warm")
        return answer.status == 200


def route(prefix: str, service: str, kind: str = "safe", **more: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "path_prefix": prefix,
        "route_type": kind,
        "service": service,
        "timeout_s": 1.0,
        "slo_latency_s": 0.4,
        "priority": 1,
        "attempts": 2,
        **more,
    }


async def until(is_true: Callable[[], Awaitable[bool]], limit_s: float, fault: str) -> None:
    """Wait until a condition holds; raises CannotRunError after `limit_s` seconds."""
    end = time.monotonic() + limit_s
    while not await is_true():
        if time.monotonic() > end:
            raise CannotRunError(fault)
        await asyncio.sleep(0.05)


def free_ports(ip: str) -> list[int]:
    """Return ports for the target, clients, readiness, control, daemons and the store."""
    for _ in range(100):
        first = random.randrange(11_000, 30_000)
        ports = [first, first + 1, first + 2, first + 3, first + 5, first + 4]
        if all(_is_free(ip, port) for port in ports):
            return ports
    raise CannotRunError("no free ports")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_GAP = re.compile(r"\{\{([\w.]+)\}\}")


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill a settings template: gaps with values, and sections that stand if there is a value."""

    def value(name: str) -> Any:
        found: Any = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)]
                continue
            found = found.get(part) if isinstance(found, dict) else None
        return found

    def text(name: str) -> str:
        found = value(name)
        if isinstance(found, bool):
            return "true" if found else "false"
        return "" if found is None else str(found)

    kept = _SECTION.sub(lambda match: match[2] if value(match[1]) else "", template)
    return _GAP.sub(lambda match: text(match[1]), kept)


def main(scenario: Callable[[Lab, bool], Awaitable[Iterable[str]]], record: Path) -> int:
    """Run a scenario and return the exit code; it gets the lab and whether to cause trouble.

    It returns the ways in which the rule was broken.
    """

    async def run() -> int:
        trouble = os.environ.get("TROUBLE", "1") != "0"
        async with Lab(record) as lab:
            lab.log.note(f"trouble: {trouble}")
            async with asyncio.timeout(LIMIT_S):
                broken = list(await scenario(lab, trouble))
            for line in broken:
                lab.log.note(f"BROKEN: {line}")
            lab.log.note(f"{len(broken)} breaks of the rule")
            sys.stdout.write(f"{len(broken)} breaks of the rule\n")
            return BROKEN if broken else HELD

    try:
        return asyncio.run(run())
    except Exception as exc:
        sys.stderr.write(f"the case could not run: {exc!r}\n")
        return NOT_RUN
