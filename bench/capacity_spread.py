"""Measures the time from the acceptance of a change by the log until every daemon adopts it.

Runs fleets of several sizes in seven data centres beside one upstream stand-in; the largest again
with dead daemons and with a lost data centre.
"""

from __future__ import annotations

import asyncio
import time
from concurrent.futures import ThreadPoolExecutor
from statistics import median
from typing import Any

from bench.capacity_slopes import rss_mb
from bench.figures import spread
from bench.fitting import points
from bench.publish import publish
from standins.processes import LocalFleet, Process, Target, wait_until

SIZES = [35, 70, 140]
"""Sizes of the fleets, daemons."""
CHANGES = 5
"""Number of changes in each case."""
DEAD = 6
"""Number of daemons killed in the cases with losses."""
CENTRES = 7
PARALLEL_STARTS = 12
"""Number of daemons started at the same time."""
DEADLINE_LINE = "deadline_ms = 2000"


class SharedUpstreamFleet(LocalFleet):
    """A fleet whose daemons share one upstream."""

    def start_upstreams(self) -> None:
        """Start the shared upstream."""
        self.platform_address = self.platform.ready()["address"]
        first = next(iter(self.targets))
        address = self.launch_upstream(first).ready()["address"]
        self.upstream_address = dict.fromkeys(self.targets, address)

    def start_daemons(self) -> None:
        """Start the daemons in batches."""
        names = list(self.targets)
        for at in range(0, len(names), PARALLEL_STARTS):
            started: dict[str, Process] = {}
            for name in names[at : at + PARALLEL_STARTS]:
                started[name] = self.launch_daemon(name)
            for name, process in started.items():
                self.addresses[name] = process.ready()["addresses"]


def statuses(fleet: LocalFleet, names: list[str]) -> list[Any]:
    """Fetch the status of the named daemons in parallel."""
    with ThreadPoolExecutor(16) as pool:
        return list(pool.map(fleet.status, names))


def make(size: int) -> SharedUpstreamFleet:
    """Return a fleet of this size in seven data centres; it is not started."""
    services = max(1, size // 14)
    targets = [
        Target(f"s{i % services}-{i}", f"s{i % services}", f"dc-{i // services % CENTRES}")
        for i in range(size)
    ]
    text = "\n".join(f"[service s{i}]\nprefix = /s{i}/\n{DEADLINE_LINE}\n" for i in range(services))
    settings = "[measuring]\nprobes_per_s = 0.2\n"
    return SharedUpstreamFleet("big", targets, text, settings)


def propagation_times(fleet: LocalFleet, names: list[str], first: int) -> dict[str, Any]:
    """Return the time until the median and the last named daemon adopt a change, seconds."""
    last: list[float] = []
    middle: list[float] = []
    for number in range(CHANGES):
        text = fleet.configuration().replace(
            DEADLINE_LINE, f"deadline_ms = {2000 + first + number}"
        )
        at, generation = asyncio.run(publish(fleet, text))
        time.sleep(4)
        wait_until(lambda want=generation: _all_in_force(fleet, names, want), 60, 1.0)
        times = [status["adopted_at"] - at for status in statuses(fleet, names)]
        last.append(max(times))
        middle.append(median(times))
    return {"last_s": spread(last), "median_s": spread(middle)}


def _all_in_force(fleet: LocalFleet, names: list[str], generation: int) -> bool:
    found = statuses(fleet, names)
    return all(status["configuration"]["generation"] >= generation for status in found)


def propagation() -> dict[str, Any]:
    """Measure every size, and the largest also with losses."""
    cases: list[dict[str, Any]] = []
    for size in SIZES:
        with make(size) as fleet:
            fleet.start_upstreams()
            fleet.start_daemons()
            assert fleet.apply().returncode == 0
            names = list(fleet.targets)
            wait_until(lambda n=names, f=fleet: _all_in_force(f, n, 1), 120, 1.0)
            cases.append({"daemons": size, "case": "all", **propagation_times(fleet, names, 1)})
            print(cases[-1], flush=True)
            if size == SIZES[-1]:
                cases += with_losses(fleet, names)
    without_losses = [case for case in cases if case["case"] == "all"]
    sizes = [float(case["daemons"]) for case in without_losses]
    return {
        "cases": cases,
        "last_s": points(sizes, [case["last_s"]["median"] for case in without_losses]),
    }


def with_losses(fleet: LocalFleet, names: list[str]) -> list[dict[str, Any]]:
    """Measure with `DEAD` daemons killed, readers and relays first, then also one data centre."""
    found = {name: fleet.status(name) for name in names}
    order = sorted(
        names, key=lambda name: (not found[name]["reader"], -_relayed_count(found[name]))
    )
    dead = order[:DEAD]
    memory = max(rss_mb(fleet, name) for name in names)
    for name in dead:
        fleet.daemons[name].kill()
    alive = [name for name in names if name not in dead]
    cases = [
        {"daemons": len(alive), "case": f"{DEAD} dead", **propagation_times(fleet, alive, 100)}
    ]
    print(cases[-1], flush=True)
    for name in alive:
        if fleet.targets[name].data_centre == "dc-0":
            fleet.daemons[name].kill()
    left = [name for name in alive if fleet.targets[name].data_centre != "dc-0"]
    cases.append(
        {
            "daemons": len(left),
            "case": "a data centre gone, too",
            **propagation_times(fleet, left, 200),
        }
    )
    print(cases[-1], flush=True)
    cases[-1]["most_rss_mb"] = memory
    return cases


def _relayed_count(status: Any) -> int:
    return int(status["counters"]["configuration"]["passed_on"])
