"""The demonstration: the Istanbul example under load; one upstream slows down, another dies."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, NamedTuple

from standins.caller import Caller, Outcome
from standins.examples import load_example

if TYPE_CHECKING:
    from standins.processes import LocalFleet

SECONDS = 12.0
"""Duration of the load, seconds."""
SLOW_AT, STOP_AT = 4.0, 8.0
"""When one upstream slows down and another is killed, seconds after the start."""
RATE = 150.0
"""Mean call rate, calls per second."""
SLOW, STOPPED = "kampanya-2", "depo-1"


class CallKind(NamedTuple):
    """A kind of call and its share of the load."""

    name: str
    method: str
    path: str
    share: float


KINDS = [
    CallKind("campaign lookup", "GET", "/kampanya/needs", 0.5),
    CallKind("warehouse lookup (urgent)", "GET", "/depo/van/17", 0.25),
    CallKind("pledge", "POST", "/dagitim/pledge", 0.15),
    CallKind("cash gift (key)", "POST", "/kasa/gift", 0.1),
]


class Call(NamedTuple):
    """A call: its start, seconds after the start of the load, its ingress and its outcome."""

    kind: CallKind
    at: float
    ingress: str
    outcome: Outcome


async def run_load(fleet: LocalFleet) -> list[Call]:
    """Send calls at random times through every daemon while two upstreams fail."""
    caller = Caller()
    rng = random.Random(7)
    loop = asyncio.get_running_loop()
    began = due = loop.time()
    calls_made: list[Call] = []
    tasks: list[asyncio.Task[None]] = [loop.create_task(inject_faults(fleet))]
    names = list(fleet.targets)

    async def send_call(kind: CallKind, ingress: str, number: int) -> None:
        headers = {"X-Request-Id": f"demo-{number}"}
        if kind.name.endswith("(key)"):
            issued = str(int(time.time() * 1000))
            headers |= {"Idempotency-Key": f"gift-{number}", "Foldhoist-Key-Issued-Ms": issued}
        body = f"{number}".encode() if kind.method == "POST" else b""
        address = fleet.addresses[ingress]["callers"]
        at = loop.time() - began
        outcome = await caller.call(address, kind.method, kind.path, body, headers)
        calls_made.append(Call(kind, at, ingress, outcome))

    number = 0
    while due < began + SECONDS:
        due += rng.expovariate(RATE)
        number += 1
        await asyncio.sleep(max(0.0, due - loop.time()))
        kind = rng.choices(KINDS, [kind.share for kind in KINDS])[0]
        tasks.append(loop.create_task(send_call(kind, rng.choice(names), number)))
    await asyncio.gather(*tasks)
    caller.close()
    return calls_made


async def inject_faults(fleet: LocalFleet) -> None:
    """Slow one upstream down by a factor of 20, then kill another."""
    await asyncio.sleep(SLOW_AT)
    print(f"{SLOW_AT:.0f} s: {SLOW} becomes 20 times slower", flush=True)
    await asyncio.to_thread(fleet.control_upstream, SLOW, service_ms=80.0)
    await asyncio.sleep(STOP_AT - SLOW_AT)
    print(f"{STOP_AT:.0f} s: {STOPPED} is killed", flush=True)
    await asyncio.to_thread(fleet.upstreams[STOPPED].kill)


def show_table(calls_made: list[Call]) -> None:
    """Print verdicts and latencies by phase and kind of call."""
    phases = [("all well", 0.0, SLOW_AT), (f"{SLOW} slow", SLOW_AT, STOP_AT)]
    phases.append((f"and {STOPPED} dead", STOP_AT, SECONDS + 1))
    print(f"\n{'phase':22}{'call':28}{'answered':>9}{'not-run':>8}{'may-have-run':>13}", end="")
    print(f"{'p50 ms':>8}{'p99 ms':>8}")
    for phase, begin, end in phases:
        for kind in KINDS:
            calls = [each for each in calls_made if each.kind is kind and begin <= each.at < end]
            counts = {name: 0 for name in ("answered", "not-run", "may-have-run", "none")}
            for each in calls:
                counts[each.outcome.verdict] += 1
            times = sorted(each.outcome.seconds * 1000 for each in calls) or [0.0]
            p50, p99 = times[len(times) // 2], times[int(len(times) * 0.99)]
            print(
                f"{phase:22}{kind.name:28}{counts['answered']:9}{counts['not-run']:8}"
                f"{counts['may-have-run']:13}{p50:8.1f}{p99:8.1f}"
            )


def slowest_answered(calls_made: list[Call]) -> Call:
    """Return the slowest call with status 200 that began after the slowdown."""
    answered = [each for each in calls_made if each.outcome.status == 200 and each.at > SLOW_AT]
    return max(answered, key=lambda each: each.outcome.seconds)


def main() -> None:
    """Run the demonstration."""
    with load_example("istanbul") as fleet:
        print(f"starting {len(fleet.targets)} daemons, their upstreams and a platform", flush=True)
        fleet.start_upstreams()
        fleet.start_daemons()
        applied = fleet.apply()
        print(applied.stdout.strip(), flush=True)
        fleet.wait_generation(1)
        time.sleep(2.2)
        calls_made = asyncio.run(run_load(fleet))
        show_table(calls_made)
        call = slowest_answered(calls_made)
        print(f"\nThe slowest answered call since {SLOW} slowed down, explained:\n")
        operators = fleet.addresses[call.ingress]["operators"]
        print(fleet.command("explain", call.outcome.trace, "--daemon", operators).stdout)


if __name__ == "__main__":
    main()
