"""Promise 3 and, without keys, promise 4: a not-run call did not run, and no call runs twice."""

from __future__ import annotations

import asyncio
import signal

import pytest

from tests.integration import harness
from tests.integration.harness import NAMES, load, make_fleet, with_proxies

CALLS = 1500
AT_ONCE = 60
SERVICE_MS = 20.0
"""Long enough that all slots are in use and calls run during every failure."""
LONG_FREEZE_S = 4.0
"""Longer than the service's deadline, the fate timeout and every connection timeout."""
OWNER_ONLY_FAULTS = ("kill owner", "freeze owner", "freeze owner long")
"""Failures of depo-1 as an owner only: no caller uses it as its ingress."""


def find_violations(results: list[harness.CallResult], ran: dict[str, int]) -> dict[str, list[str]]:
    return {
        "not run, but executed": harness.not_run_but_executed(results, ran),
        "executed twice": harness.executed_twice(results, ran),
        "answered, but not executed": harness.answered_but_not_executed(results, ran),
    }


def violations_under(fault: str, mutant: str = "") -> tuple[dict[str, list[str]], dict[str, int]]:
    """Run a load with one kind of failure; return violations by kind and the verdicts."""
    with make_fleet(mutant, service_ms=SERVICE_MS) as fleet:
        proxies = with_proxies(fleet)

        async def inject_faults() -> None:
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
                        await asyncio.sleep(LONG_FREEZE_S)
                        fleet.daemons["depo-1"].signal(signal.SIGCONT)
                    case "freeze ingress long":
                        fleet.daemons["depo-2"].signal(signal.SIGSTOP)
                        await asyncio.sleep(LONG_FREEZE_S)
                        fleet.daemons["depo-2"].signal(signal.SIGCONT)
                    case "kill owner":
                        await asyncio.to_thread(fleet.daemons["depo-1"].kill)
                        await asyncio.to_thread(fleet.restart_daemon, "depo-1")
                    case "kill upstream":
                        await asyncio.to_thread(fleet.upstreams["depo-1"].kill)
                        await asyncio.sleep(0.1)
                        await asyncio.to_thread(fleet.launch_upstream("depo-1").ready)
                await asyncio.sleep(0.1)

        ingresses = ("depo-2", "depo-3") if fault in OWNER_ONLY_FAULTS else NAMES
        results = asyncio.run(
            load(fleet, CALLS, AT_ONCE, during=inject_faults, ingresses=ingresses)
        )
        ran = harness.executions(fleet)
        for proxy in proxies.values():
            proxy.close()
    return find_violations(results, ran), harness.verdicts(results)


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
    violations, verdicts = violations_under(fault)
    assert not any(violations.values()), violations
    assert verdicts["answered"] > CALLS / 2, verdicts


def test_without_the_fate_request_a_cut_reports_executed_calls_as_not_run() -> None:
    violations, _ = violations_under("cut", "no-fate-request")
    assert violations["not run, but executed"]


def test_retrying_unrepeatable_calls_executes_them_twice() -> None:
    violations, _ = violations_under("cut", "retry-all")
    assert violations["executed twice"]
