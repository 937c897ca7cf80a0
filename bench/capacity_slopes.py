"""Measures processor time, memory and bytes, each over one growing size."""

from __future__ import annotations

import asyncio
import random
import resource
import time
import tracemalloc
import zlib
from functools import partial
from typing import TYPE_CHECKING, Any

import psutil

from bench.fitting import points
from bench.publish import publish
from foldhoist.config.fleet import SectionCache, parse_fleet
from foldhoist.configlog.fold import State, digest_of, to_snapshot
from foldhoist.configlog.spread import role_of
from foldhoist.delivery.codec import encode
from foldhoist.delivery.keys import KeyTable
from foldhoist.delivery.verdict import Response
from foldhoist.membership.view import homes
from foldhoist.membership.view import tracked as tracked_by
from foldhoist.routing.picker import Choice, Member, Picker
from foldhoist.routing.policies import Mixed
from standins.caller import Caller
from standins.processes import LocalFleet, Target, wait_until

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICES = """[service depo]
prefix = /depo/

[route depo-lookup]
service = depo
prefix = /depo/
repeatable = yes
"""
RATES = [0.0, 100.0, 200.0, 300.0, 400.0, 600.0]
"""Call rates through one ingress to one owner, per second."""
RATE_S = 8.0
"""Duration of the load at each rate, seconds."""
FLEETS = [14, 140, 350, 700, 1400]
"""Sizes of the configurations, targets."""
SERVICES_AT_TARGET = 100


def large_configuration(targets: int) -> str:
    """Return a configuration with this many targets in 7 data centres, 14 for each service."""
    count = max(1, targets // 14)
    parts = ["[fleet]\nname = big\ndata_centres = a, b, c, d, e, f, g\n"]
    for number in range(count):
        parts.append(f"[service s{number}]\nprefix = /s{number}/\n")
        parts.append(
            f"[route r{number}]\nservice = s{number}\nprefix = /s{number}/\nrepeatable = yes\n"
        )
    for number in range(targets):
        host = f"10.{number // 250}.{number % 250}.7"
        parts.append(
            f"[target s{number % count}-{number}]\nservice = s{number % count}\n"
            f"data_centre = {'abcdefg'[number // count % 7]}\nslots = 12\n"
            f"frames = {host}:7001\ncontrol = {host}:7002\noperators = {host}:7003\n"
        )
    return "\n".join(parts)


def cpu_s(fleet: LocalFleet, name: str) -> float:
    """Return the processor time that a daemon has used, seconds."""
    times = psutil.Process(fleet.daemons[name].popen.pid).cpu_times()
    return float(times.user + times.system)


def rss_mb(fleet: LocalFleet, name: str) -> float:
    """Return the resident memory of a daemon, megabytes."""
    return float(psutil.Process(fleet.daemons[name].popen.pid).memory_info().rss) / 1e6


def calls() -> dict[str, Any]:
    """Measure processor time of an ingress and of an owner over the call rate."""
    targets = [Target("kasa-1", "kasa", "ist-1"), Target("depo-1", "depo", "ist-1", slots=64)]
    services = SERVICES + "\n[service kasa]\nprefix = /kasa/\n"
    used: dict[str, list[float]] = {"kasa-1": [], "depo-1": []}
    with LocalFleet("bench", targets, services) as fleet:
        fleet.start()
        fleet.control_upstream("depo-1", service_ms=1.0)
        done: list[float] = []
        for rate in RATES:
            before = {name: cpu_s(fleet, name) for name in used}
            began = time.monotonic()
            count = asyncio.run(send_calls(fleet.addresses["kasa-1"]["callers"], rate))
            spent = time.monotonic() - began
            done.append(count / spent)
            for name in used:
                used[name].append((cpu_s(fleet, name) - before[name]) / spent * 1e6)
        memory = {name: rss_mb(fleet, name) for name in used}
    return {
        "ingress_us_per_s": points(done, used["kasa-1"]),
        "owner_us_per_s": points(done, used["depo-1"]),
        "rss_mb_after": memory,
    }


async def send_calls(address: str, rate: float) -> int:
    """Send calls with Poisson arrivals for `RATE_S`; returns how many had status 200."""
    if not rate:
        await asyncio.sleep(RATE_S)
        return 0
    caller = Caller()
    rng = random.Random(1)
    loop = asyncio.get_running_loop()
    due = began = loop.time()
    tasks: list[asyncio.Task[Any]] = []
    while due < began + RATE_S:
        due += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, due - loop.time()))
        pad = {"X-Pad": "x" * 300}
        tasks.append(loop.create_task(caller.call(address, "GET", "/depo/a", b"", pad)))
    outcomes = await asyncio.gather(*tasks)
    caller.close()
    return sum(1 for outcome in outcomes if outcome.status == 200)


def tracked() -> dict[str, Any]:
    """Measure the time of one choice over the number of tracked upstreams."""
    sizes = [3, 6, 12, 24, 48]
    spent: list[float] = []
    for size in sizes:
        picker = Picker(Mixed("a"), "a", 0.5, random.Random(1))
        picker.members([Member(f"t{i}", "a", 12) for i in range(size)], 0.0)
        for name in picker.tracks:
            picker.linked(name, 0.0, True, fresh=True)
        spent.append(best_us(partial(_pick_once, picker)))
    return {"pick_us": points([float(size) for size in sizes], spent)}


def _pick_once(picker: Picker) -> None:
    choice = picker.pick(10.0, ())
    assert isinstance(choice, Choice)
    picker.sent(choice.name, 1, 10.0)
    picker.abandoned(choice.name, 1, 10.0)


def best_us(run: Callable[[], object], times: int = 3000, rounds: int = 5) -> float:
    """Return the time of one call of `run` in the best round, microseconds."""
    best = float("inf")
    for _ in range(rounds):
        began = time.perf_counter()
        for _ in range(times):
            run()
        best = min(best, (time.perf_counter() - began) / times * 1e6)
    return best


def fleet_size() -> dict[str, Any]:
    """Measure time, memory and bytes of a configuration over its number of targets."""
    parse_ms: list[float] = []
    change_ms: list[float] = []
    place_ms: list[float] = []
    kept_mb: list[float] = []
    snapshot_sizes: list[float] = []
    for size in FLEETS:
        text = large_configuration(size)
        parse_ms.append(best_us(partial(parse_fleet, text, "big"), 1, 3) / 1000)
        change_ms.append(_change_ms(text))
        tracemalloc.start()
        fleet, faults = parse_fleet(text, "big")
        kept_mb.append(tracemalloc.get_traced_memory()[0] / 1e6)
        tracemalloc.stop()
        assert not faults, faults[0]
        name = next(iter(fleet["targets"]))
        by_centre: dict[str, list[str]] = {}
        for each, target in fleet["targets"].items():
            by_centre.setdefault(target["data_centre"], []).append(each)

        def place(fleet: Any = fleet, name: str = name, by_centre: Any = by_centre) -> None:
            tracked_by(fleet, name, "a")
            homes(fleet)
            role_of(name, by_centre, "a", 2, 8)

        place_ms.append(best_us(place, 1, 3) / 1000)
        state = State(1, digest_of(text), text, 1)
        snapshot_sizes.append(float(len(zlib.compress(encode("Snapshot", to_snapshot(state)), 1))))
    sizes = [float(size) for size in FLEETS]
    return {
        "parse_ms": points(sizes, parse_ms),
        "change_ms": points(sizes, change_ms),
        "place_ms": points(sizes, place_ms),
        "kept_mb": points(sizes, kept_mb),
        "snapshot_bytes": points(sizes, snapshot_sizes),
    }


def _change_ms(text: str) -> float:
    """Return the time to parse a configuration after one option changed, milliseconds."""
    cache = SectionCache()
    parse_fleet(text, "big", cache)
    best = float("inf")
    for number in range(5):
        changed = text.replace("slots = 12", f"slots = {13 + number}", 1)
        began = time.perf_counter()
        parse_fleet(changed, "big", cache)
        best = min(best, time.perf_counter() - began)
    return best * 1000


def links() -> dict[str, Any]:
    """Measure a daemon's memory over its connections from ingresses and from callers."""
    sizes = [0.0, 200.0, 500.0, 1000.0]
    memory: dict[str, list[float]] = {"frames": [], "callers": []}
    targets = [Target("depo-1", "depo", "ist-1")]
    with LocalFleet("bench", targets, SERVICES) as fleet:
        fleet.start()
        for kind in memory:
            opened: list[Any] = []
            for size in sizes:
                while len(opened) < size:
                    opened.append(_open(fleet.addresses["depo-1"][kind], kind, len(opened)))
                time.sleep(0.5)
                memory[kind].append(rss_mb(fleet, "depo-1"))
            for conn in opened:
                conn.close()
    return {f"{kind}_mb": points(sizes, values) for kind, values in memory.items()}


def _open(address: str, kind: str, number: int) -> Any:
    import socket

    host, _, port = address.rpartition(":")
    conn = socket.create_connection((host, int(port)))
    if kind == "frames":
        hello = {"name": f"in-{number}", "incarnation": f"i{number}", "epoch": 1, "schema": 1}
        conn.sendall(encode("Hello", hello))
    return conn


def idle() -> dict[str, Any]:
    """Measure processor time, memory and control traffic of idle daemons."""
    count = 12
    seconds = 20.0
    targets = [Target(f"depo-{i}", "depo", f"ist-{i % 3 + 1}") for i in range(count)]
    with LocalFleet("bench", targets, SERVICES) as fleet:
        fleet.start()
        time.sleep(3)
        before = {name: (cpu_s(fleet, name), _control(fleet, name)) for name in fleet.targets}
        time.sleep(seconds)
        rows = []
        for name in fleet.targets:
            used, control = before[name]
            now = _control(fleet, name)
            rows.append(
                {
                    "core_share": (cpu_s(fleet, name) - used) / seconds,
                    "rss_mb": rss_mb(fleet, name),
                    "sent_bytes_per_s": (now["sent_bytes"] - control["sent_bytes"]) / seconds,
                    "received_bytes_per_s": (now["received_bytes"] - control["received_bytes"])
                    / seconds,
                    "asks_per_s": (now["sent"] - control["sent"]) / seconds,
                }
            )
        reads = {name: fleet.status(name)["counters"] for name in fleet.targets}
    names = list(rows[0])
    middle = {name: sorted(row[name] for row in rows)[count // 2] for name in names}
    most = {name: max(row[name] for row in rows) for name in names}
    readers = [r for r in reads.values() if r["configuration"]["log_reads"] > 20]
    return {"daemons": count, "median": middle, "most": most, "readers": len(readers)}


def _control(fleet: LocalFleet, name: str) -> dict[str, Any]:
    counters: dict[str, Any] = fleet.status(name)["counters"]["control"]
    return counters


def messages() -> dict[str, Any]:
    """Measure the sizes of typical messages, bytes."""
    load = {"busy": 5, "queued": 2, "slots": 12, "service_us": 2000, "errors": 0.0, "state": "warm"}
    ask = {"have": 1000, "name": "s1-100", "answer_to": "10.1.100.7:7002"}
    held = {"generation": 1000, "name": "s1-100", "reader": "s1-200", "age_ms": 300}
    handover = {"service": "s1", "generation": 9, "target": "s1-100", "answer_to": ask["answer_to"]}
    sizes = {
        "Ask": len(zlib.compress(encode("Ask", ask), 1)) + 8,
        "Held": len(zlib.compress(encode("Held", held), 1)) + 8,
        "Handover": len(zlib.compress(encode("Handover", handover), 1)) + 8,
        "Report": len(encode("Report", {"load": load})),
    }
    return {"bytes": sizes}


def keys() -> dict[str, Any]:
    """Measure memory and claim time of a key table over its number of idempotency keys."""
    sizes = [5000.0, 10000.0, 20000.0, 40000.0]
    memory: list[float] = []
    claim_us: list[float] = []
    for size in sizes:
        tracemalloc.start()
        table = KeyTable("a", 600.0)
        table.adopt(0, 1, ["a"], ["a"])
        answer = Response(200, [[b"content-type", b"text/plain"]], b"y" * 100)
        for number in range(int(size)):
            table.claim(0.0, 10_000, f"0190-{number:020d}", 9_000, "m")
            table.ended(f"0190-{number:020d}", answer, ran=True)
        memory.append(tracemalloc.get_traced_memory()[0] / 1e6)
        tracemalloc.stop()
        key = "0190-" + "0" * 20
        claim_us.append(best_us(partial(table.claim, 0.0, 10_000, key, 9_000, "m"), 2000))
    return {
        "memory_mb": points(sizes, memory),
        "claim_us": points(sizes, claim_us),
        "own_rss_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000,
    }


def adoption() -> dict[str, Any]:
    """Measure memory and adoption time of a daemon over the targets of its configuration."""
    memory: list[float] = []
    adopt_ms: list[float] = []
    targets = [Target("depo-1", "depo", "a")]
    with LocalFleet("bench", targets, SERVICES) as fleet:
        fleet.start()
        for size in FLEETS:
            text = _with_other_targets(fleet, size)
            times: list[float] = []
            for number in range(4):
                changed = text.replace("slots = 12", f"slots = {12 + number}", 1)
                _, generation = asyncio.run(publish(fleet, changed))
                wait_until(partial(_is_in_force, fleet, generation))
                time.sleep(1.0)
                times.append(fleet.status("depo-1")["adopt_ms"])
            adopt_ms.append(min(times))
            memory.append(rss_mb(fleet, "depo-1"))
    sizes = [float(size) for size in FLEETS]
    return {"rss_mb": points(sizes, memory), "adopt_ms": points(sizes, adopt_ms)}


def _is_in_force(fleet: LocalFleet, generation: int) -> bool:
    found = fleet.status("depo-1")["configuration"]["generation"]
    return bool(found >= generation)


def _with_other_targets(fleet: LocalFleet, size: int) -> str:
    """Return a large configuration that includes the running daemon."""
    text = large_configuration(size - 1)
    own = fleet.configuration()
    return text + "\n" + SERVICES + "\n" + own[own.index("[target depo-1]") :]
