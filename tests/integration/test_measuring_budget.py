"""Promise 1: the work of measuring stays in its budget, counted where it arrives."""

from __future__ import annotations

import asyncio
import time

from standins.proxy import FaultProxy
from tests.integration.harness import NAMES, load, make_fleet

PROBES_PER_S = 4.0
SETTINGS = f"""[measuring]
probes_per_s = {PROBES_PER_S}
control_bytes_per_s = 10000
control_burst_bytes = 200000
"""


def test_probes_and_control_bytes_stay_in_budget_at_peak_with_flapping() -> None:
    with make_fleet(settings=SETTINGS, service_ms=1.0) as fleet:
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
        spent_s = time.monotonic() - began
        probes = {name: fleet.executions(name)["health_probes"] - before[name] for name in NAMES}
        sent = sum(proxy.bytes_forth for proxy in control.values()) - bytes_before
        for proxy in control.values():
            proxy.close()
    assert len(ended) >= 3000
    for name in ("depo-1", "depo-2"):
        assert probes[name] <= spent_s * PROBES_PER_S + 2
    assert probes["depo-3"] <= spent_s * PROBES_PER_S + 4
    assert sent <= 3 * (10000 * spent_s + 200000)
    assert min(probes.values()) > 0
