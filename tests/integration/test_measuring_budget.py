"""Promise 1: the work of measuring stays in its budget, counted where it arrives."""

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


class Spent(NamedTuple):
    """What measuring cost: probes that each upstream got, control bytes on the wire, seconds."""

    probes: dict[str, int]
    control_bytes: int
    seconds: float


def over_budget(spent: Spent) -> list[str]:
    """Return what cost more than its budget; depo-3 had two lives, each with a full bucket."""
    over = []
    for name in NAMES:
        lives = 2 if name == "depo-3" else 1
        if spent.probes[name] > spent.seconds * PROBES_PER_S + 2 * lives:
            over.append(f"{name}: {spent.probes[name]} probes in {spent.seconds:.1f} s")
    if spent.control_bytes > 3 * (CONTROL_BYTES_PER_S * spent.seconds + CONTROL_BURST):
        over.append(f"{spent.control_bytes} control bytes in {spent.seconds:.1f} s")
    return over


def measure(mutant: str = "") -> Spent:
    """Run a peak of calls with flapping upstreams and a restart; count where things arrive."""
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

        ended = asyncio.run(load(fleet, 3000, 40, during=flap, ingresses=("depo-1", "depo-2")))
        seconds = time.monotonic() - began
        probes = {name: fleet.executions(name)["health_probes"] - before[name] for name in NAMES}
        sent = sum(proxy.bytes_forth for proxy in control.values()) - bytes_before
        for proxy in control.values():
            proxy.close()
    assert len(ended) >= 3000
    return Spent(probes, sent, seconds)


def test_probes_and_control_bytes_stay_in_budget_at_peak_with_flapping() -> None:
    spent = measure()
    assert over_budget(spent) == []
    assert min(spent.probes.values()) > 0


def test_probing_without_a_budget_is_found() -> None:
    assert over_budget(measure("no-probe-budget"))
