"""Promise 3 and, without keys, promise 4: told not run means not run; nothing runs twice."""

from __future__ import annotations

import asyncio
import signal

import pytest

from tests.integration import harness
from tests.integration.harness import NAMES, load, make_fleet, with_proxies

CALLS = 1500
AT_ONCE = 60
SERVICE_MS = 20.0
"""Long enough that all slots are taken, and every failure meets calls that run."""
LONGER_THAN_DEADLINES_S = 4.0
"""Longer than the service's deadline, the wait for a fate, and every timeout of a connection."""
WITHOUT_FIRST = ("kill owner", "freeze owner", "freeze owner long")
"""Failures of depo-1 as an owner only: no caller uses it as its ingress."""


def find_faults(ended: list[harness.Ended], ran: dict[str, int]) -> dict[str, list[str]]:
    return {
        "told not run, but ran": harness.untrue_not_run(ended, ran),
        "ran twice": harness.run_twice(ended, ran),
        "answered, but did not run": harness.answered_without_run(ended, ran),
    }


def faults_under(fault: str, mutant: str = "") -> tuple[dict[str, list[str]], dict[str, int]]:
    """Run a load with one kind of failure in its middle; return the faults and the verdicts."""
    with make_fleet(mutant, service_ms=SERVICE_MS) as fleet:
        proxies = with_proxies(fleet)

        async def break_things() -> None:
            await asyncio.sleep(0.3)
            proxy = proxies["depo-1"]
            for _ in range(1 if fault.endswith("long") else 3):
                match fault:
                    case "cut":
                        for each in proxies.values():
                            each.cut()
                    case "lost answers":
                        proxy.faults.drop_back = True
                        await asyncio.sleep(0.15)
                        proxy.cut()
                        proxy.faults.drop_back = False
                    case "one way":
                        proxy.faults.drop_forth = True
                        await asyncio.sleep(0.15)
                        proxy.cut()
                        proxy.faults.drop_forth = False
                    case "freeze owner":
                        fleet.daemons["depo-1"].signal(signal.SIGSTOP)
                        await asyncio.sleep(0.4)
                        fleet.daemons["depo-1"].signal(signal.SIGCONT)
                    case "freeze owner long":
                        fleet.daemons["depo-1"].signal(signal.SIGSTOP)
                        await asyncio.sleep(LONGER_THAN_DEADLINES_S)
                        fleet.daemons["depo-1"].signal(signal.SIGCONT)
                    case "freeze ingress long":
                        fleet.daemons["depo-2"].signal(signal.SIGSTOP)
                        await asyncio.sleep(LONGER_THAN_DEADLINES_S)
                        fleet.daemons["depo-2"].signal(signal.SIGCONT)
                    case "kill owner":
                        await asyncio.to_thread(fleet.daemons["depo-1"].kill)
                        await asyncio.to_thread(fleet.restart_daemon, "depo-1")
                    case "kill upstream":
                        await asyncio.to_thread(fleet.upstreams["depo-1"].kill)
                        await asyncio.sleep(0.1)
                        await asyncio.to_thread(fleet.launch_upstream("depo-1").ready)
                await asyncio.sleep(0.1)

        ingresses = ("depo-2", "depo-3") if fault in WITHOUT_FIRST else NAMES
        ended = asyncio.run(load(fleet, CALLS, AT_ONCE, during=break_things, ingresses=ingresses))
        ran = harness.executions(fleet)
        for proxy in proxies.values():
            proxy.close()
    return find_faults(ended, ran), harness.verdicts(ended)


FAULTS = [
    "cut",
    "lost answers",
    "one way",
    "freeze owner",
    "freeze owner long",
    "freeze ingress long",
    "kill owner",
    "kill upstream",
]


@pytest.mark.parametrize("fault", FAULTS)
def test_verdicts_are_true_under(fault: str) -> None:
    faults, verdicts = faults_under(fault)
    assert not any(faults.values()), faults
    assert verdicts["answered"] > CALLS / 2, verdicts


def test_cut_without_asking_for_the_fate_is_found() -> None:
    faults, _ = faults_under("cut", "fate-says-no")
    assert faults["told not run, but ran"]


def test_retrying_what_may_not_be_repeated_is_found() -> None:
    faults, _ = faults_under("cut", "retry-all")
    assert faults["ran twice"]
