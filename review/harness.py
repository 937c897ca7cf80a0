"""Daemons as processes, with a store, targets and clients in the process of the case."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from standins.ports import AddressPool
from tests.adapter.cluster import Answer, read_answer, request_bytes
from tests.adapter.keyed_log import KeyedLog

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a case."""
HEARTBEAT_S = 1.5
COLD_FACTOR = 2.0
"""How many times longer a cold target works, `cold_x` of the site files."""
START_TIMEOUT_S = 30.0
MAX_CASE_S = 117.0
"""Longest time for a case, seconds."""
HOST = "shop.example"
SETTINGS = """
[daemon]
name = {name}
data_centre = {zone}
[listen]
callers = {callers}
frames = {frames}
control = {control}
operators = {operators}
[upstream]
address = {address}
service = {service}
connect_ms = 250
{cold}
[platform]
adapter = foldhoist_adapter
log = {log}
stream = foldhoist-daemons
first_start = {first}
retry_slack = {retry_slack}
retry_window_s = 10
quota_slack = 20
[limits]
callers = 3000
body_bytes = 67108864
drain_ms = 5500
[observe]
log_format = json
counters_s = 0
trace_share = 0
records = 200
"""
CHUNK_BYTES = 1000
PORTS = ("callers", "frames", "control", "operators")


class CaseError(Exception):
    """The case could not run."""


class Run(NamedTuple):
    """A request that a target has begun to work on; `at` is monotonic seconds."""

    at: float
    attempt: str
    target: str
    headers: dict[str, str]


class Sent(NamedTuple):
    """A request of a client with its answer; times are monotonic seconds."""

    at: float
    ended: float
    host: str
    attempt: str
    label: str
    status: int


class Record:
    """What was sent, answered and run, written to a file."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self.runs: list[Run] = []
        self.sent: list[Sent] = []
        self._path = path
        self._events: list[tuple[float, str]] = []

    def note(self, text: str) -> None:
        """Record an event of the case, and print it."""
        at = time.monotonic()
        self._events.append((at, f"event {text}"))
        print(f"{at - self.began:8.3f} {text}", flush=True)

    def write(self) -> None:
        """Write everything in the order of time."""
        lines = list(self._events)
        for sent in self.sent:
            lines.append((sent.at, f"sent {sent.attempt} {sent.label} at {sent.host}"))
            lines.append((sent.ended, f"answered {sent.attempt} {sent.label}: {sent.status}"))
        for run in self.runs:
            lines.append((run.at, f"run {run.attempt} at {run.target}"))
        lines.sort()
        text = "".join(f"{at - self.began:8.3f} {line}\n" for at, line in lines)
        self._path.write_text(text)


class Target:
    """A sound target: runs each request that names it, up to `slots` at a time, then queues."""

    def __init__(self, service: str, instance: str, record: Record, pool: AddressPool) -> None:
        self.service = service
        self.instance = instance
        self.slots = 12
        self.work_s = 0.02
        self.address = pool.take()
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.cold_until = 0.0
        self.transfer_coding = ""
        self.body_bytes = 0
        self.cut_every = 0
        self.cut: set[str] = set()
        self._answers = 0
        self._record = record
        self._free = asyncio.Semaphore(self.slots)
        self._born = int(time.time() * 1000)
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen at the address of the target."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self) -> None:
        """End as a process does: nothing listens, and every connection is reset."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def start_again(self, cold_s: float) -> None:
        """Start another incarnation under the same id, cold for `cold_s` seconds."""
        self._born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self._free = asyncio.Semaphore(self.slots)
        self.cold_until = time.monotonic() + cold_s
        await self.start()

    @property
    def cold_s(self) -> float:
        """Return for how long the target is still cold, seconds."""
        return max(0.0, self.cold_until - time.monotonic())

    def set_slots(self, slots: int) -> None:
        """Set how many requests run at a time."""
        self.slots = slots
        self._free = asyncio.Semaphore(slots)

    def heartbeat(self) -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        status = {
            "state": self.state,
            "sequence": self.sequence,
            "cold_remaining_s": self.cold_s,
        }
        info = {"service": self.service, "version": "v1", "zone": "zone", "slots": self.slots}
        body = {"address": self.address, "info": info, "status": status, "born": self._born}
        return json.dumps(body).encode()

    def departure(self) -> bytes:
        """Return the body of a departure."""
        return json.dumps({"born": self._born}).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                await self._one(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        _, path, _ = head[0].split(" ")
        pairs = [line.partition(":") for line in head[1:] if line]
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        await reader.readexactly(int(headers.get("content-length", "0")))
        attempt = headers.get("x-attempt-id", "")
        expected = headers.get("x-expect-instance", self.instance)
        if expected != self.instance:
            await self._answer(writer, 421, attempt, "", b"")
            return
        load = f"X-Server-Load: {self.running},0,{self.slots},100\r\n"
        if path == "/health":
            cold = f"X-Cold-Ms: {self.cold_s * 1000:.0f}\r\n"
            more = f"X-Instance-Id: {self.instance}\r\n{load}{cold}"
            await self._answer(writer, 200, "", more, b"")
            return
        if not attempt:
            await self._answer(writer, 400, "", "X-Not-Executed: 1\r\n", b"")
            return
        async with self._free:
            self._record.runs.append(Run(time.monotonic(), attempt, self.instance, headers))
            self.running += 1
            await asyncio.sleep(self.work_s * (COLD_FACTOR if self.cold_s else 1.0))
            self.running -= 1
        more = f"X-Response-Signature: s.{attempt}\r\n{load}"
        body = body_of(path, self.body_bytes)
        if not self.transfer_coding:
            await self._answer(writer, 200, attempt, more, body)
            return
        self._answers += 1
        is_cut = self.cut_every > 0 and self._answers % self.cut_every == 0
        lines = f"HTTP/1.1 200 Status\r\nX-Attempt-Id: {attempt}\r\n{more}"
        writer.write(f"{lines}Transfer-Encoding: {self.transfer_coding}\r\n\r\n".encode())
        sent = body[: len(body) // 2] if is_cut else body
        for at in range(0, len(sent), CHUNK_BYTES):
            chunk = sent[at : at + CHUNK_BYTES]
            writer.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
        if is_cut:
            self.cut.add(attempt)
            await writer.drain()
            raise ConnectionResetError
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _answer(
        self, writer: asyncio.StreamWriter, status: int, attempt: str, more: str, body: bytes
    ) -> None:
        lines = f"HTTP/1.1 {status} Status\r\nX-Attempt-Id: {attempt}\r\n{more}"
        writer.write(f"{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()


class Machine:
    """A machine: a daemon process and the target beside it."""

    def __init__(self, fleet: Fleet, name: str, zone: str, service: str) -> None:
        self.name = name
        self.zone = zone
        self.service = service
        self.addresses = {port: fleet.pool.take() for port in PORTS}
        self.target = Target(service, f"i-{name}", fleet.record, fleet.pool)
        self.process: asyncio.subprocess.Process | None = None
        self._fleet = fleet
        self._first = True
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the daemon with the command of the deploy file, and wait until it listens."""
        path = self._fleet.folder / f"{self.name}.ini"
        text = SETTINGS.format(
            name=self.name,
            zone=self.zone,
            service=self.service,
            address=self.target.address,
            log=self._fleet.log.endpoint(self.name).address,
            first="yes" if self._first else "no",
            retry_slack=self._fleet.retry_slack,
            cold=self._fleet.cold,
            **self.addresses,
        )
        path.write_text(text)
        with (self._fleet.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("python3", "-m", "foldhoist", "daemon", str(path)),
                cwd=ROOT,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                env={**os.environ, "PYTHONPATH": "target/deps"},
            )
        assert self.process.stdout is not None
        async with asyncio.timeout(START_TIMEOUT_S):
            line = await self.process.stdout.readline()
        if not line:
            raise CaseError(f"the daemon {self.name} did not start")
        self._first = False
        self._drain = asyncio.create_task(self._discard_output())

    async def _discard_output(self) -> None:
        assert self.process is not None
        assert self.process.stdout is not None
        while await self.process.stdout.read(65536):
            pass

    async def start_target(self) -> None:
        """Start the target and its heartbeats."""
        await self.target.start()
        self._beats = asyncio.create_task(self._beat(0.0))

    def crash_target(self) -> None:
        """End the target without a word."""
        if self._beats is not None:
            self._beats.cancel()
        self.target.stop()

    async def start_target_again(self, cold_s: float, late_s: float) -> None:
        """Start the target again, cold, under its id; its first heartbeat comes `late_s` late."""
        await self.target.start_again(cold_s)
        self._beats = asyncio.create_task(self._beat(late_s))

    async def _beat(self, late_s: float) -> None:
        await asyncio.sleep(late_s)
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self) -> int:
        """Send one heartbeat; returns the status, 0 without an answer within a second."""
        body = self.target.heartbeat()
        return await self._tell("PUT", body)

    async def remove_target(self) -> int:
        """Say that the target is gone, as a target does that never says `draining`."""
        if self._beats is not None:
            self._beats.cancel()
        return await self._tell("DELETE", self.target.departure())

    async def _tell(self, method: str, body: bytes) -> int:
        path = f"/foldhoist/instances/{self.target.instance}"
        try:
            async with asyncio.timeout(1.0):
                answer = await call(self.addresses["control"], method, path, body)
        except (OSError, TimeoutError):
            return 0
        return answer.status

    async def is_ready(self) -> bool:
        """Return whether the daemon says that it is ready."""
        try:
            async with asyncio.timeout(1.0):
                answer = await call(self.addresses["operators"], "GET", "/foldhoist/ready")
        except (OSError, TimeoutError):
            return False
        return answer.status == 200

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the daemon."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def ended(self, grace_s: float) -> None:
        """Wait for the end of the process; after the grace time it is killed."""
        assert self.process is not None
        try:
            async with asyncio.timeout(grace_s):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()

    async def restart(self, grace_s: float) -> None:
        """Stop the daemon by SIGTERM, and start it again; the target runs on."""
        self.signal(signal.SIGTERM)
        await self.ended(grace_s)
        await self.start()


class Fleet:
    """All machines, the store and the record."""

    def __init__(self, record: Path, retry_slack: int = 58, cold: str = "") -> None:
        self.record = Record(record)
        self.folder = Path(tempfile.mkdtemp())
        self.pool = AddressPool()
        self.log = KeyedLog()
        self.retry_slack = retry_slack
        self.cold = cold
        self.machines: dict[str, Machine] = {}
        self._next = 0

    async def add(self, name: str, zone: str, service: str) -> None:
        """Add a machine and start its daemon and its target."""
        machine = Machine(self, name, zone, service)
        self.machines[name] = machine
        await machine.start()
        await machine.start_target()

    async def configure(self, version: int, body: dict[str, Any]) -> None:
        """Store a configuration as the operator does."""
        content = json.dumps({"version": f"{version:08x}", **body}).encode()
        await self.log.put("keyed.op", "config", content)

    async def until_ready(self, names: Iterable[str] = ()) -> None:
        """Wait until these daemons are ready, without names all of them."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for name in names or self.machines:
                while not await self.machines[name].is_ready():
                    await asyncio.sleep(0.1)

    def new_attempt(self) -> str:
        """Return an id for a client's attempt."""
        self._next += 1
        return f"{self._next:016x}"

    async def send(
        self, name: str, label: str, path: str, deadline_ms: int, **more: Any
    ) -> tuple[Sent, Answer]:
        """Send a request on a new connection through a machine's daemon."""
        attempt = self.new_attempt()
        headers = {"X-Attempt-Id": attempt, "X-Deadline-Ms": str(deadline_ms)}
        headers.update(more.pop("headers", {}))
        at = time.monotonic()
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                address = self.machines[name].addresses["callers"]
                answer = await call(address, more.pop("method", "GET"), path, headers=headers)
        except (OSError, TimeoutError):
            answer = Answer(0, {}, b"", True)
        sent = Sent(at, time.monotonic(), name, attempt, label, answer.status)
        self.record.sent.append(sent)
        return sent, answer

    async def close(self) -> None:
        """End every process, and remove the temporary folder."""
        for machine in self.machines.values():
            if machine.process is not None and machine.process.returncode is None:
                machine.process.kill()
                await machine.process.wait()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs in", self.folder)
        self.pool.close()


def body_of(path: str, length: int) -> bytes:
    """Return the body of the answer to a path, at least `length` bytes long."""
    text = f"ran {path}\n".encode()
    return text * (1 + length // len(text))


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> Answer:
    """Send one request on a new connection and return the answer."""
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(request_bytes(method, path, body, headers, HOST))
    try:
        return await read_answer(reader)
    finally:
        writer.close()


def main(
    record: Path,
    trouble: bool,
    play: Callable[[Fleet, bool], Awaitable[bool]],
    **settings: Any,
) -> None:
    """Play a case, write its record and exit; `play` returns whether the rule held."""
    sys.exit(asyncio.run(_main(record, trouble, play, settings)))


async def _main(
    record: Path,
    trouble: bool,
    play: Callable[[Fleet, bool], Awaitable[bool]],
    settings: dict[str, Any],
) -> int:
    fleet = Fleet(record, **settings)
    playing = asyncio.ensure_future(play(fleet, trouble))
    # Whoever ends the case early must not leave its processes behind.
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
    try:
        async with asyncio.timeout(MAX_CASE_S):
            return HELD if await playing else BROKEN
    except (Exception, asyncio.CancelledError) as exc:
        # Any fault of the case itself must not pass for a broken rule.
        fleet.record.note(f"the case could not run: {exc!r}")
        return NOT_RUN
    finally:
        await fleet.close()
        fleet.record.write()
