"""Promise 6: a planned stop cuts no request in flight, in either role."""

from __future__ import annotations

import asyncio
import signal

import pytest

from standins.caller import Caller, Outcome
from tests.integration import harness
from tests.integration.harness import NAMES, Ended, MutantFleet, load, make_fleet


async def long_calls(fleet: MutantFleet, ingress: str, count: int) -> list[Outcome]:
    caller = Caller()
    address = fleet.addresses[ingress]["callers"]
    calls = [
        caller.call(address, "POST", "/depo/gift?sleep_ms=1000", f"{i}".encode(), {}, 20.0)
        for i in range(count)
    ]
    return list(await asyncio.gather(*calls))


async def until_busy(fleet: MutantFleet) -> None:
    """Wait until the upstream of depo-1 has been at work on some calls; the loop goes on meanwhile.

    What is waited for does not go away again, so that it cannot be missed.
    """
    while True:
        told = await asyncio.to_thread(fleet.executions, "depo-1")
        if told["most_running"] >= 3:
            return
        await asyncio.sleep(0.02)


@pytest.mark.parametrize("how", ["SIGTERM", "drain"])
def test_long_calls_end_whole_in_both_roles(how: str) -> None:
    with make_fleet() as fleet:
        fleet.start()

        async def scenario() -> list[list[Outcome]]:
            as_ingress = asyncio.create_task(long_calls(fleet, "depo-1", 12))
            as_owner = asyncio.create_task(long_calls(fleet, "depo-2", 12))
            await until_busy(fleet)
            if how == "drain":
                operators = fleet.addresses["depo-1"]["operators"]
                await asyncio.to_thread(fleet.command, "drain", operators)
            else:
                fleet.daemons["depo-1"].signal(signal.SIGTERM)
            return [await as_ingress, await as_owner]

        outcomes = asyncio.run(scenario())
        assert fleet.daemons["depo-1"].wait(20) == 0
    for part in outcomes:
        assert [outcome.status for outcome in part] == [200] * 12


def test_a_killed_daemon_does_cut_calls() -> None:
    with make_fleet() as fleet:
        fleet.start()

        async def scenario() -> list[Outcome]:
            running = asyncio.create_task(long_calls(fleet, "depo-1", 12))
            await until_busy(fleet)
            await asyncio.to_thread(fleet.daemons["depo-1"].kill)
            return await running

        outcomes = asyncio.run(scenario())
    assert any(outcome.status != 200 for outcome in outcomes)


def test_rolling_restart_of_every_daemon_fails_no_call() -> None:
    """Callers use the daemons that are not being restarted."""
    with make_fleet() as fleet:
        fleet.start()
        results: list[Ended] = []

        async def one_daemon(name: str) -> None:
            others = tuple(each for each in NAMES if each != name)

            async def restart() -> None:
                await asyncio.sleep(0.1)
                fleet.daemons[name].signal(signal.SIGTERM)
                assert await asyncio.to_thread(fleet.daemons[name].wait, 20) == 0
                await asyncio.to_thread(fleet.restart_daemon, name)

            results.extend(
                await load(fleet, 1500, 15, during=restart, ingresses=others, prefix=name)
            )

        for name in NAMES:
            asyncio.run(one_daemon(name))
            fleet.wait_generation(1)
        ran = harness.executions(fleet)
    assert set(harness.verdicts(results)) == {"answered"}
    assert len(results) >= 4500
    assert harness.run_twice(results, ran) == []


def test_a_draining_daemon_serves_its_upstreams_own_calls_until_those_are_done() -> None:
    """While a long call runs at the upstream, a call of it to another service must get through."""
    with make_fleet() as fleet:
        fleet.start()

        async def scenario() -> tuple[list[Outcome], Outcome]:
            long = asyncio.create_task(long_calls(fleet, "depo-1", 30))
            await until_busy(fleet)
            fleet.daemons["depo-1"].signal(signal.SIGTERM)
            while not fleet.status("depo-1")["draining"]:
                await asyncio.sleep(0.02)
            address = fleet.addresses["depo-1"]["callers"]
            nested = await Caller().call(address, "POST", "/depo/gift", b"nested", {}, 20.0)
            return await long, nested

        outcomes, nested = asyncio.run(scenario())
        assert fleet.daemons["depo-1"].wait(20) == 0
    assert (nested.status, nested.body) == (200, b"nested")
    assert [outcome.status for outcome in outcomes] == [200] * 30
