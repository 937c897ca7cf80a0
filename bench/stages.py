"""Measures the time of each stage of a call without sockets.

Protocol and core objects are those of a daemon; fake transports collect what is written.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any, cast

from bench.figures import spread, write_results
from foldhoist.admission.slots import QueueLimits
from foldhoist.config.fleet import parse_fleet
from foldhoist.config.options import load_schema
from foldhoist.daemon.caller_state import ServerState
from foldhoist.daemon.callers import CallerConnection
from foldhoist.daemon.frames import FrameConnection
from foldhoist.daemon.ingress_task import IngressTask
from foldhoist.daemon.owner_task import OwnerTask
from foldhoist.daemon.upstream_connection import UpstreamConnection
from foldhoist.delivery.codec import SCHEMA_VERSION
from foldhoist.delivery.ingress import Ingress
from foldhoist.delivery.owner import Owner
from foldhoist.membership.view import homes, tracked
from foldhoist.observe.latencies import Latencies
from foldhoist.observe.records import Hop, RecordBuffer
from foldhoist.observe.spans import SpanExporter

if TYPE_CHECKING:
    from collections.abc import Mapping

    from foldhoist.schema.messages import Hello
    from foldhoist.schema.settings import Settings

ROUNDS = 5
"""Number of rounds; results are medians over them."""
CALLS = 4000
"""Calls of a round."""
TARGETS = 12
"""Number of upstreams that the ingress chooses from."""
STAGES = ("caller to frame", "frame to upstream", "upstream to frame", "frame to caller")


class FakeTransport(asyncio.Transport):
    """Collects what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.written: list[bytes] = []
        self.aborted = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written.append(bytes(data))

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        return

    def get_write_buffer_size(self) -> int:
        return sum(len(data) for data in self.written)

    def is_closing(self) -> bool:
        return False

    def abort(self) -> None:
        self.aborted = True

    def close(self) -> None:
        return

    def resume_reading(self) -> None:
        return

    def take(self) -> bytes:
        """Return what was written and clear it."""
        data = b"".join(self.written)
        self.written.clear()
        return data


class FakeLinks:
    """Sends frames for every owner on one connection."""

    def __init__(self, conn: FrameConnection) -> None:
        self.conn = conn

    def send(self, name: str, kind: str, body: Mapping[str, Any]) -> bool:
        self.conn.send(kind, body)
        return True

    def connect(self, names: Any) -> None:
        return


def default_settings() -> Settings:
    """Return settings with every default filled in."""
    schema = load_schema("settings")
    settings: dict[str, Any] = {}
    for section, ref in schema["properties"].items():
        options = schema["$defs"][ref["$ref"].rpartition("/")[2]]["properties"]
        settings[section] = {name: option.get("default", "") for name, option in options.items()}
    settings["upstream"]["address"] = "127.0.0.1:1"
    return cast("Settings", settings)


def fleet_text(targets: int) -> str:
    """Return a configuration with one service."""
    parts = ["[fleet]\nname = bench\ndata_centres = a\n", "[service depo]\nprefix = /depo/\n"]
    parts.append("[route r]\nservice = depo\nprefix = /depo/\nrepeatable = yes\n")
    for number in range(targets):
        ports = [f"127.0.0.1:{10000 + 3 * number + i}" for i in range(3)]
        parts.append(
            f"[target depo-{number}]\nservice = depo\ndata_centre = a\nslots = 12\n"
            f"frames = {ports[0]}\ncontrol = {ports[1]}\noperators = {ports[2]}\n"
        )
    return "\n".join(parts)


class CallPath:
    """The path of a call in four stages, connected by fake transports."""

    def __init__(self) -> None:
        cfg = default_settings()
        hello: Hello = {"name": "in", "incarnation": "i", "epoch": 1, "schema": SCHEMA_VERSION}
        fleet, _ = parse_fleet(fleet_text(TARGETS), "bench")
        ingress = Ingress("a", 4000, random.Random(1))
        spans = SpanExporter("in", "a", "", 0.0)
        self.latencies = Latencies()
        self.records = RecordBuffer(4096)
        self.task = IngressTask(ingress, self.records, self.latencies, spans)
        self.to_owner, self.from_ingress = FakeTransport(), FakeTransport()
        self.link = FrameConnection(1 << 20, lambda c, k, b: self.task.message("x", k, b), print)
        self.link.connection_made(self.to_owner)
        self.owner = Owner("depo-1", "depo", QueueLimits(12, 24, 1, 8), 600.0)
        self.owner_task = OwnerTask(self.owner, cfg, hello, lambda k, b: None, self.hop)
        self.task.attach("in", cast("Any", FakeLinks(self.link)), self.owner_task)
        ingress.adopt(0.0, 1, fleet, tracked(fleet, "in", "a"), homes(fleet))
        for name in fleet["targets"]:
            self.task.link_up(name, "o")
        self.accepted = self.owner_task.connection()
        self.accepted.connection_made(self.from_ingress)
        self.accepted.data_received(_hello_bytes(hello))
        self.link.data_received(self.from_ingress.take())
        self.upstream_wire = FakeTransport()
        self.upstream = UpstreamConnection(1 << 20, self.owner_task.pool._on_call_end)
        self.upstream.connection_made(self.upstream_wire)
        self.upstream.idle_since = float("inf")
        self.owner_task.pool._idle.append(self.upstream)
        self.callers = ServerState(cfg["limits"], self.task.arrive, self.task.caller_disconnected)
        self.caller_wire = FakeTransport()
        self.caller = CallerConnection(self.callers)
        self.caller.connection_made(self.caller_wire)

    def hop(self, call: Any) -> None:
        """Record a finished call of the owner as a daemon does."""
        self.records.add_hop(Hop("depo-1", 0.0, call))
        self.latencies.record("queue", call.waited_us)
        self.latencies.record("upstream", call.served_us)

    def run(self) -> dict[str, float]:
        """Run a round; returns the mean time of each stage, microseconds."""
        request = b"GET /depo/a HTTP/1.1\r\nHost: x\r\nX-Pad: " + b"x" * 300 + b"\r\n\r\n"
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n" + b"y" * 20
        spent = dict.fromkeys(STAGES, 0.0)
        clock = time.perf_counter
        for _ in range(CALLS):
            t0 = clock()
            self.caller.data_received(request)
            t1 = clock()
            frame = self.to_owner.take()
            t2 = clock()
            self.accepted.data_received(frame)
            t3 = clock()
            assert self.upstream_wire.take()
            t4 = clock()
            self.upstream.data_received(answer)
            t5 = clock()
            frame = self.from_ingress.take()
            t6 = clock()
            self.link.data_received(frame)
            t7 = clock()
            assert self.caller_wire.take()
            for stage, part in zip(STAGES, (t1 - t0, t3 - t2, t5 - t4, t7 - t6), strict=True):
                spent[stage] += part
        return {stage: part / CALLS * 1e6 for stage, part in spent.items()}


def _hello_bytes(hello: Hello) -> bytes:
    from foldhoist.delivery.codec import encode

    return encode("Hello", hello)


async def measure() -> dict[str, dict[str, float]]:
    """Return median and range of each stage, microseconds."""
    path = CallPath()
    path.run()
    rounds = [path.run() for _ in range(ROUNDS)]
    return {stage: spread([one[stage] for one in rounds]) for stage in STAGES}


def main() -> None:
    """Measure, print and write the results."""
    stages = asyncio.run(measure())
    for stage, figures in stages.items():
        span = f"{figures['least']:.1f}..{figures['most']:.1f}"
        print(f"{stage:20} {figures['median']:6.1f} us ({span})")
    total = sum(figures["median"] for figures in stages.values())
    print(f"{'all':20} {total:6.1f} us")
    write_results("stages", {"targets": TARGETS, "stages_us": stages, "total_us": total})


if __name__ == "__main__":
    main()
