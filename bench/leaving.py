"""Measures the time from a signal that an upstream is leaving until its last call starts."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from bench.figures import spread, write_results
from standins.caller import Caller
from standins.processes import LocalFleet, Target

SERVICES = """[service depo]
prefix = /depo/
urgent_slots = 0

[route depo-lookup]
service = depo
prefix = /depo/
repeatable = yes
"""
NAMES = ("depo-1", "depo-2", "depo-3")
SOURCES = ("upstream health", "upstream answer", "host list", "configuration", "drain command")
ROUNDS = 3
OBSERVE_S = 5.0
"""Time that the leaving upstream is observed, seconds."""
RATE = 150.0
"""Call rate, per second."""


async def time_to_last_call(fleet: LocalFleet, source: str) -> float:
    """Return the time from the start of the signal until the last new call was seen, seconds."""
    caller = Caller()
    loop = asyncio.get_running_loop()
    began = loop.time()
    tasks: list[asyncio.Task[Any]] = []
    signalled_at = 0.0
    last, runs, number = 0.0, -1, 0
    signal: asyncio.Task[Any] | None = None
    while loop.time() < began + 1.0 + OBSERVE_S:
        number += 1
        address = fleet.addresses[NAMES[1 + number % 2]]["callers"]
        tasks.append(loop.create_task(caller.call(address, "GET", "/depo/a")))
        await asyncio.sleep(1 / RATE)
        if signal is None and loop.time() > began + 1.0:
            signalled_at = time.monotonic()
            signal = loop.create_task(asyncio.to_thread(fleet.signal_leaving, "depo-1", source))
        if number % 3 == 0:
            found = await asyncio.to_thread(fleet.executions, "depo-1")
            count = sum(found["executions"].values())
            if count != runs:
                runs, last = count, time.monotonic()
    await asyncio.gather(*tasks)
    caller.close()
    return max(0.0, last - signalled_at)


def main() -> None:
    """Measure every source, print and write the results."""
    found: dict[str, Any] = {}
    for source in SOURCES:
        times: list[float] = []
        for _ in range(ROUNDS):
            targets = [Target(name, "depo", "ist-1", service_ms=3.0) for name in NAMES]
            with LocalFleet("bench", targets, SERVICES) as fleet:
                fleet.start()
                times.append(asyncio.run(time_to_last_call(fleet, source)))
        found[source] = spread(times)
        figures = found[source]
        span = f"{figures['least']:.2f}..{figures['most']:.2f}"
        print(f"{source:18} {figures['median']:.2f} s ({span})", flush=True)
    write_results("leaving", {"at": time.strftime("%Y-%m-%d"), "seconds": found})


if __name__ == "__main__":
    main()
