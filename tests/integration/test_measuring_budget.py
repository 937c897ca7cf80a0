"""Promise 1: health probes and control traffic stay within their budgets, counted on arrival."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

from standins.proxy import FaultProxy
from tests.integration.harness import NAMES, load, make_fleet

PROBES_PER_S = 4.0
CONTROL_BYTES_PER_S = 10_000
CONTROL_BURST = 200_000
SETTINGS = f"""[measuring]
probes_per_s = {PROBES_PER_S}
control_bytes_per_s = {CONTROL_BYTES_PER_S}
control_burst_bytes = {CONTROL_BURST}
"""


class Usage(NamedTuple):
    """Probes received by each upstream, control bytes on the wire, and the time in seconds."""

    probes: dict[str, int]
    control_bytes: int
    seconds: float


def over_budget(usage: Usage) -> list[str]:
    """Return what exceeded its budget; depo-3 ran as two processes, each with a full bucket."""
    over = []
    for name in NAMES:
        processes = 2 if name == "depo-3" else 1
        if usage.probes[name] > usage.seconds * PROBES_PER_S + 2 * processes:
            over.append(f"{name}: {usage.probes[name]} probes in {usage.seconds:.1f} s")
    if usage.control_bytes > 3 * (CONTROL_BYTES_PER_S * usage.seconds + CONTROL_BURST):
        over.append(f"{usage.control_bytes} control bytes in {usage.seconds:.1f} s")
    return over


def measure(mutant: str = "") -> Usage:
    """Run a peak load with flapping upstreams and a restart; count probes and bytes on arrival."""
    with make_fleet(mutant, settings=SETTINGS, service_ms=1.0) as fleet:
        fleet.start_upstreams()
        fleet.start_daemons()
        control = {name: FaultProxy(fleet.addresses[name]["control"]) for name in NAMES}
        for name, proxy in control.items():
            fleet.overrides[name] = {"control": proxy.address}
        assert fleet.apply().returncode == 0
        fleet.wait_generation(1)
        before = {name: fleet.executions(name)["health_probes"] for name in NAMES}
        bytes_before = sum(proxy.bytes_forth for proxy in control.values())
        began = time.monotonic()

        async def flap() -> None:
            for turn in range(6):
                name = NAMES[turn % 3]
                state = "shedding" if turn % 2 else "warm"
                await asyncio.to_thread(fleet.control_upstream, name, health_state=state)
                await asyncio.sleep(0.3)
            await asyncio.to_thread(fleet.daemons["depo-3"].kill)
            await asyncio.to_thread(fleet.restart_daemon, "depo-3")

        results = asyncio.run(load(fleet, 3000, 40, during=flap, ingresses=("depo-1", "depo-2")))
        seconds = time.monotonic() - began
        probes = {name: fleet.executions(name)["health_probes"] - before[name] for name in NAMES}
        sent = sum(proxy.bytes_forth for proxy in control.values()) - bytes_before
        for proxy in control.values():
            proxy.close()
    assert len(results) >= 3000
    return Usage(probes, sent, seconds)


def test_probes_and_control_bytes_stay_within_budget_at_peak_with_flapping() -> None:
    usage = measure()
    assert over_budget(usage) == []
    assert min(usage.probes.values()) > 0


def test_without_the_probe_budget_the_check_fails() -> None:
    assert over_budget(measure("no-probe-budget"))
