"""Starts stand-ins and daemons as processes on loopback, and stops those processes only."""

from __future__ import annotations

import json
import os
import selectors
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path
from typing import Any, NamedTuple

from standins.ports import AddressPool

START_TIMEOUT_S = 60.0
"""Longest wait for a process to listen and for a command to finish, seconds."""


class Target(NamedTuple):
    """A target of a local fleet and the mean service time and spread of its upstream."""

    name: str
    service: str
    data_centre: str
    slots: int = 12
    connections: int = 200
    service_ms: float = 2.0
    spread: float = 0.0


class Process:
    """A process that prints one JSON line when it is ready."""

    def __init__(self, args: list[str], log: Path) -> None:
        self._log = log.open("ab")
        self.popen = subprocess.Popen(
            [sys.executable, "-m", *args], stdout=subprocess.PIPE, stderr=self._log
        )

    def ready(self) -> dict[str, Any]:
        """Wait for the line and return it decoded; raises RuntimeError if it does not come."""
        assert self.popen.stdout is not None
        with selectors.DefaultSelector() as selector:
            selector.register(self.popen.stdout, selectors.EVENT_READ)
            if not selector.select(START_TIMEOUT_S):
                raise RuntimeError("process printed no ready line in time")
        line = self.popen.stdout.readline()
        if not line:
            raise RuntimeError(
                f"process exited before it was ready: {Path(self._log.name).read_text()}"
            )
        message: dict[str, Any] = json.loads(line)
        return message

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.popen.poll() is None:
            os.kill(self.popen.pid, number)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.popen.wait()
        self._log.close()
        if self.popen.stdout is not None:
            self.popen.stdout.close()

    def wait(self, timeout_s: float) -> int:
        """Wait for the process to exit; returns its exit code."""
        return self.popen.wait(timeout_s)


def request_json(url: str, body: Any = None) -> Any:
    """Send a GET, or a POST if a body is given; returns the decoded JSON answer."""
    data = json.dumps(body).encode() if body is not None else None
    with urllib.request.urlopen(urllib.request.Request(url, data=data), timeout=10) as answer:
        return json.loads(answer.read())


class LocalFleet:
    """A platform, upstreams and daemons as local processes, and their configuration."""

    def __init__(
        self,
        name: str,
        targets: list[Target],
        services: str,
        settings: str = "",
        keep_s: float = 86400,
    ) -> None:
        self.name = name
        self.targets = {target.name: target for target in targets}
        self.services = services
        self.settings = settings
        self.scratch = tempfile.TemporaryDirectory(prefix="foldhoist-")
        self.folder = Path(self.scratch.name)
        self.pool = AddressPool()
        self.upstreams: dict[str, Process] = {}
        self.upstream_address: dict[str, str] = {}
        self.daemons: dict[str, Process] = {}
        self.addresses: dict[str, dict[str, str]] = {}
        self.overrides: dict[str, dict[str, str]] = {}
        self.upstream_proxies: dict[str, str] = {}
        self.states: dict[str, str] = {}
        self.platform_address = ""
        self.platform_proxy = ""
        args = ["standins.platform", "--keep-s", str(keep_s)]
        self.platform = Process(args, self.folder / "platform.log")

    def __enter__(self) -> LocalFleet:
        """Return the fleet."""
        return self

    def __exit__(self, *exc: object) -> None:
        """Stop every process."""
        self.stop()

    def start(self) -> None:
        """Start everything and apply the configuration."""
        self.start_upstreams()
        self.start_daemons()
        self.apply()
        self.wait_generation(1)

    def start_upstreams(self) -> None:
        """Start the upstreams."""
        self.platform_address = self.platform.ready()["address"]
        for name in self.targets:
            self.launch_upstream(name)
        for name, process in self.upstreams.items():
            self.upstream_address[name] = process.ready()["address"]

    def start_daemons(self) -> None:
        """Start the daemons."""
        for name in self.targets:
            self.launch_daemon(name)
        for name, process in self.daemons.items():
            self.addresses[name] = process.ready()["addresses"]

    def launch_upstream(self, name: str) -> Process:
        """Start one upstream, on its previous address after a restart."""
        target = self.targets[name]
        listen = self.upstream_address.get(name) or self.pool.take()
        args = ["standins.upstream", "--listen", listen]
        args += ["--service-ms", str(target.service_ms), "--spread", str(target.spread)]
        args += ["--journal", str(self.folder / f"{name}.journal")]
        process = Process(args, self.folder / f"{name}.upstream.log")
        self.upstreams[name] = process
        return process

    def launch_daemon(self, name: str) -> Process:
        """Start one daemon, on its previous addresses after a restart."""
        path = self.folder / f"{name}.ini"
        path.write_text(self.settings_of(name))
        process = Process(["foldhoist", "daemon", str(path)], self.folder / f"{name}.log")
        self.daemons[name] = process
        return process

    def restart_daemon(self, name: str) -> None:
        """Start a daemon again, with no state, and wait until it listens."""
        self.launch_daemon(name).ready()

    def settings_of(self, name: str) -> str:
        """Return the settings of a daemon."""
        known = self.addresses.get(name, {})
        listen = {key: known.get(key) or self.pool.take() for key in LISTEN}
        lines = "\n".join(f"{key} = {value}" for key, value in listen.items())
        seeds = ", ".join(
            found["control"] for other, found in self.addresses.items() if other != name
        )
        platform = self.platform_proxy or self.platform_address
        upstream = self.upstream_proxies.get(name, self.upstream_address[name])
        return SETTINGS.format(
            name=name,
            data_centre=self.targets[name].data_centre,
            listen=lines,
            upstream=upstream,
            platform=platform,
            seeds=seeds,
            more=self.settings,
        )

    def configuration(self) -> str:
        """Return the fleet configuration as INI."""
        centres = dict.fromkeys(target.data_centre for target in self.targets.values())
        parts = [f"[fleet]\nname = {self.name}\ndata_centres = {', '.join(centres)}\n"]
        parts.append(self.services)
        for name, target in self.targets.items():
            found = {**self.addresses[name], **self.overrides.get(name, {})}
            parts.append(
                f"[target {name}]\nservice = {target.service}\ndata_centre = {target.data_centre}\n"
                f"frames = {found['frames']}\ncontrol = {found['control']}\n"
                f"operators = {found['operators']}\nslots = {target.slots}\n"
                f"connections = {target.connections}\nstate = {self.states.get(name, 'serving')}\n"
            )
        return "\n".join(parts)

    def apply(self, text: str | None = None, *more: str) -> subprocess.CompletedProcess[str]:
        """Run `foldhoist apply`."""
        path = self.folder / f"fleet-{time.monotonic_ns()}.ini"
        path.write_text(text if text is not None else self.configuration())
        return self.command("apply", str(path), "--log", self.platform_address, *more)

    def command(self, *args: str) -> subprocess.CompletedProcess[str]:
        """Run a command of the command line."""
        return subprocess.run(
            [sys.executable, "-m", "foldhoist", *args],
            capture_output=True,
            text=True,
            check=False,
            timeout=START_TIMEOUT_S,
        )

    def status(self, name: str) -> Any:
        """Return the status of a daemon."""
        return request_json(f"http://{self.addresses[name]['operators']}/status")

    def wait_generation(self, generation: int, names: list[str] | None = None) -> None:
        """Wait until the daemons, by default all, have a generation in force and their links up."""
        for name in names if names is not None else list(self.daemons):
            wait_until(lambda name=name: self._is_ready(name, generation))

    def _is_ready(self, name: str, generation: int) -> bool:
        status = self.status(name)
        connected = all(row["linked"] for row in status["upstreams"])
        return bool(status["configuration"]["generation"] >= generation and connected)

    def control_upstream(self, name: str, **fields: Any) -> None:
        """Set fields of the behaviour of an upstream."""
        request_json(f"http://{self.upstream_address[name]}/_control", fields)

    def executions(self, name: str) -> Any:
        """Return the execution counts of an upstream."""
        return request_json(f"http://{self.upstream_address[name]}/_executions")

    def runs(self) -> dict[str, int]:
        """Return the number of executions by request id, over all upstreams and their restarts."""
        counts: dict[str, int] = {}
        for name in self.targets:
            path = self.folder / f"{name}.journal"
            for request_id in path.read_text().split() if path.exists() else []:
                counts[request_id] = counts.get(request_id, 0) + 1
        return counts

    def control_platform(self, **fields: Any) -> None:
        """Set fields of the platform stand-in."""
        request_json(f"http://{self.platform_address}/control", fields)

    def post(self, url: str, data: bytes) -> None:
        """Append a record to a stream of the platform."""
        with urllib.request.urlopen(urllib.request.Request(url, data=data), timeout=10):
            return

    def signal_leaving(self, name: str, source: str) -> None:
        """Make one source report that a target is leaving; the other sources keep their state."""
        match source:
            case "upstream health":
                self.control_upstream(name, health_state="leaving")
            case "upstream answer":
                self.control_upstream(name, leave_header=True)
            case "host list":
                self.control_platform(hosts={name: "leaving"})
            case "drain command":
                self.command("drain", self.addresses[name]["operators"])
            case "configuration":
                self.states[name] = "leaving"
                self.apply()

    def stop(self) -> None:
        """Stop every process that this fleet started."""
        for process in [*self.daemons.values(), *self.upstreams.values(), self.platform]:
            process.kill()
        self.pool.close()
        self.scratch.cleanup()


def wait_until(is_true: Any, timeout_s: float = 60.0, pause_s: float = 0.02) -> None:
    """Poll until a condition holds; OSError, ValueError and KeyError count as not yet.

    Raises TimeoutError with the last error as its cause.
    """
    limit = time.monotonic() + timeout_s
    last: Exception | None = None
    while time.monotonic() < limit:
        try:
            if is_true():
                return
            last = None
        except (OSError, ValueError, KeyError) as exc:
            last = exc
        time.sleep(pause_s)
    raise TimeoutError(f"condition not met in {timeout_s} s") from last


LISTEN = ("callers", "frames", "control", "operators")
SETTINGS = """[daemon]
name = {name}
data_centre = {data_centre}

[listen]
{listen}

[upstream]
address = {upstream}

[platform]
log = {platform}
hosts = {platform}

[peers]
seeds = {seeds}

{more}
"""
