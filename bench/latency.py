"""Measures added latency: calls through foldhoist against direct calls to the same upstreams.

Each round interleaves both kinds at the same rate, with Poisson arrivals.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from typing import Any

import psutil

from bench.capacity_slopes import SERVICES
from bench.figures import percentile, spread, write_results
from standins.caller import Caller
from standins.processes import LocalFleet, Target

ROUNDS = 5
"""Rounds of each rate; results are medians over the rounds."""
CALLS = 1500
"""Calls of each kind in a round."""
LOW_RATE, LOW_RATE_CALLS = 10.0, 40
"""Below this rate, per second, a round has fewer calls of each kind."""
BODY = "x" * 300
"""Value of a padding header of each call."""
SHARES = (50, 99, 99.9)
"""Percentiles compared."""


async def measure_round(
    fleet: LocalFleet, daemons: list[str], rate: float, calls: int, seed: int
) -> dict[str, list[float]]:
    """Return the times of direct calls and of calls through foldhoist, microseconds."""
    rng = random.Random(seed)
    caller = Caller()
    times: dict[str, list[float]] = {"direct": [], "through": []}
    upstreams = [fleet.upstream_address[name] for name in daemons]
    ingresses = [fleet.addresses[name]["callers"] for name in daemons]
    tasks: list[asyncio.Task[None]] = []

    async def send_call(kind: str, address: str) -> None:
        outcome = await caller.call(address, "GET", "/depo/a?sleep_ms=0", b"", {"X-Pad": BODY})
        if outcome.status == 200:
            times[kind].append(outcome.seconds * 1e6)

    await asyncio.gather(
        *(send_call(k, a) for k, s in (("direct", upstreams), ("through", ingresses)) for a in s)
    )
    times["direct"].clear()
    times["through"].clear()
    loop = asyncio.get_running_loop()
    due = loop.time()
    for number in range(2 * calls):
        due += rng.expovariate(2 * rate * len(daemons))
        kind = "direct" if number % 2 else "through"
        address = (upstreams if kind == "direct" else ingresses)[number // 2 % len(daemons)]
        await asyncio.sleep(max(0.0, due - loop.time()))
        tasks.append(loop.create_task(send_call(kind, address)))
    await asyncio.gather(*tasks)
    caller.close()
    return times


def processor_s(fleet: LocalFleet, daemons: list[str]) -> float:
    """Return the processor time of the daemons so far, seconds."""
    total = 0.0
    for name in daemons:
        used = psutil.Process(fleet.daemons[name].popen.pid).cpu_times()
        total += used.user + used.system
    return total


def measure_rate(fleet: LocalFleet, daemons: list[str], rate: float, calls: int) -> dict[str, Any]:
    """Return the added latency at one rate, calls per second for each daemon."""
    added: dict[str, list[float]] = {f"p{share:g}": [] for share in SHARES}
    direct: dict[str, list[float]] = {f"p{share:g}": [] for share in SHARES}
    per_call: list[float] = []
    failed = 0
    for number in range(ROUNDS):
        before = processor_s(fleet, daemons)
        times = asyncio.run(measure_round(fleet, daemons, rate, calls, number))
        failed += 2 * calls - len(times["direct"]) - len(times["through"])
        per_call.append((processor_s(fleet, daemons) - before) / calls * 1e6)
        for share in SHARES:
            name = f"p{share:g}"
            base = percentile(times["direct"], share)
            direct[name].append(base)
            added[name].append(percentile(times["through"], share) - base)
    return {
        "rate": rate,
        "calls": calls * ROUNDS,
        "failed": failed,
        "added_us": {name: spread(values) for name, values in added.items()},
        "direct_us": {name: spread(values) for name, values in direct.items()},
        "processor_us_per_call": spread(per_call),
    }


def main(rates: tuple[float, ...] = (1, 100, 300, 450, 600)) -> None:
    """Measure every rate, print a table and write the results."""
    names = ["depo-1", "depo-2"]
    targets = [Target(name, "depo", "ist-1", slots=64, service_ms=0.0) for name in names]
    rows: list[dict[str, Any]] = []
    with LocalFleet("bench", targets, SERVICES) as fleet:
        fleet.start()
        asyncio.run(measure_round(fleet, names, 200, 500, 99))
        print("calls/s  added p50  p99 (least..most)  p99.9 us  direct p99  cpu us/call  failed")
        for rate in rates:
            calls = LOW_RATE_CALLS if rate < LOW_RATE else CALLS
            row = measure_rate(fleet, names, rate, calls)
            rows.append(row)
            show(row)
    print(write_results("latency", {"at": time.strftime("%Y-%m-%d"), "rows": rows}))


def show(row: dict[str, Any]) -> None:
    """Print the row of a rate."""
    added, direct = row["added_us"], row["direct_us"]
    print(
        f"{row['rate']:7g}  {added['p50']['median']:9.0f}  {added['p99']['median']:5.0f} "
        f"({added['p99']['least']:.0f}..{added['p99']['most']:.0f})  "
        f"{added['p99.9']['median']:8.0f}  {direct['p99']['median']:10.0f}  "
        f"{row['processor_us_per_call']['median']:11.0f}  {row['failed']:6d}",
        flush=True,
    )


if __name__ == "__main__":
    main(tuple(float(rate) for rate in sys.argv[1:]) or (1, 100, 300, 450, 600))
