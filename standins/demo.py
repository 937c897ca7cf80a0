"""The demonstration: the Istanbul example under load, while one upstream slows and one stops."""

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
"""Length of the load."""
SLOW_AT, STOP_AT = 4.0, 8.0
"""When one upstream slows down, and when another stops, seconds after the start."""
RATE = 150.0
"""Calls a second."""
SLOW, STOPPED = "kampanya-2", "depo-1"


class Kind(NamedTuple):
    """A kind of call that the donation office makes."""

    name: str
    method: str
    path: str
    share: float


KINDS = [
    Kind("campaign lookup", "GET", "/kampanya/needs", 0.5),
    Kind("warehouse lookup (urgent)", "GET", "/depo/van/17", 0.25),
    Kind("pledge", "POST", "/dagitim/pledge", 0.15),
    Kind("cash gift (key)", "POST", "/kasa/gift", 0.1),
]


class Call(NamedTuple):
    """A call that was made, and its end."""

    kind: Kind
    at: float
    ingress: str
    outcome: Outcome


async def run_load(fleet: LocalFleet) -> list[Call]:
    """Send calls at random times through every daemon, and break two upstreams meanwhile."""
    caller = Caller()
    rng = random.Random(7)
    loop = asyncio.get_running_loop()
    began = due = loop.time()
    made: list[Call] = []
    tasks: list[asyncio.Task[None]] = [loop.create_task(break_two(fleet))]
    names = list(fleet.targets)

    async def one(kind: Kind, ingress: str, number: int) -> None:
        headers = {"X-Request-Id": f"demo-{number}"}
        if kind.name.endswith("(key)"):
            issued = str(int(time.time() * 1000))
            headers |= {"Idempotency-Key": f"gift-{number}", "Foldhoist-Key-Issued-Ms": issued}
        body = f"{number}".encode() if kind.method == "POST" else b""
        address = fleet.addresses[ingress]["callers"]
        at = loop.time() - began
        outcome = await caller.call(address, kind.method, kind.path, body, headers)
        made.append(Call(kind, at, ingress, outcome))

    number = 0
    while due < began + SECONDS:
        due += rng.expovariate(RATE)
        number += 1
        await asyncio.sleep(max(0.0, due - loop.time()))
        kind = rng.choices(KINDS, [kind.share for kind in KINDS])[0]
        tasks.append(loop.create_task(one(kind, rng.choice(names), number)))
    await asyncio.gather(*tasks)
    caller.close()
    return made


async def break_two(fleet: LocalFleet) -> None:
    """Slow one upstream down twentyfold, later kill another."""
    await asyncio.sleep(SLOW_AT)
    print(f"{SLOW_AT:.0f} s: {SLOW} becomes 20 times slower", flush=True)
    await asyncio.to_thread(fleet.control_upstream, SLOW, service_ms=80.0)
    await asyncio.sleep(STOP_AT - SLOW_AT)
    print(f"{STOP_AT:.0f} s: {STOPPED} is killed", flush=True)
    await asyncio.to_thread(fleet.upstreams[STOPPED].kill)


def show_table(made: list[Call]) -> None:
    """Print verdicts and latencies for each kind of call and each phase."""
    phases = [("all well", 0.0, SLOW_AT), (f"{SLOW} slow", SLOW_AT, STOP_AT)]
    phases.append((f"and {STOPPED} dead", STOP_AT, SECONDS + 1))
    print(f"\n{'phase':22}{'call':28}{'answered':>9}{'not-run':>8}{'may-have-run':>13}", end="")
    print(f"{'p50 ms':>8}{'p99 ms':>8}")
    for phase, begin, end in phases:
        for kind in KINDS:
            calls = [each for each in made if each.kind is kind and begin <= each.at < end]
            counts = {name: 0 for name in ("answered", "not-run", "may-have-run", "none")}
            for each in calls:
                counts[each.outcome.verdict] += 1
            times = sorted(each.outcome.seconds * 1000 for each in calls) or [0.0]
            p50, p99 = times[len(times) // 2], times[int(len(times) * 0.99)]
            print(
                f"{phase:22}{kind.name:28}{counts['answered']:9}{counts['not-run']:8}"
                f"{counts['may-have-run']:13}{p50:8.1f}{p99:8.1f}"
            )


def choose_to_explain(made: list[Call]) -> Call:
    """Return a call that needed a second attempt's worth of decisions: the slowest answered one."""
    answered = [each for each in made if each.outcome.status == 200 and each.at > SLOW_AT]
    return max(answered, key=lambda each: each.outcome.seconds)


def main() -> None:
    """Run the demonstration and end."""
    with load_example("istanbul") as fleet:
        print(f"starting {len(fleet.targets)} daemons, their upstreams and a platform", flush=True)
        fleet.start_upstreams()
        fleet.start_daemons()
        applied = fleet.apply()
        print(applied.stdout.strip(), flush=True)
        fleet.wait_generation(1)
        time.sleep(2.2)
        made = asyncio.run(run_load(fleet))
        show_table(made)
        call = choose_to_explain(made)
        print(f"\nThe slowest answered call since {SLOW} slowed down, explained:\n")
        operators = fleet.addresses[call.ingress]["operators"]
        print(fleet.command("explain", call.outcome.trace, "--daemon", operators).stdout)


if __name__ == "__main__":
    main()
