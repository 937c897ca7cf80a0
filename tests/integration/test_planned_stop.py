"""Promise 6: a graceful shutdown cuts no request in flight, at ingress or owner."""

from __future__ import annotations

import asyncio
import signal

import pytest

from standins.caller import Caller, Outcome
from tests.integration import harness
from tests.integration.harness import NAMES, CallResult, MutantFleet, load, make_fleet

SERVICES = harness.SERVICES.replace("deadline_ms = 3000", "deadline_ms = 20000")
"""The deadline is long, so that a call that fails was cut and did not time out."""
BUSY = 3
"""Concurrent calls at one upstream from which on it counts as busy."""
MAX_CALLS = 60
"""Long calls that are sent at most until the upstream is busy."""
EXIT_TIMEOUT_S = 120
"""Longest wait for the exit of a process, in seconds; only guards against a hang."""
SEND_INTERVAL_S = 0.1
"""Interval between calls sent until the upstream is busy, in seconds."""


class LongCalls:
    """Calls of one second each that run in background tasks."""

    def __init__(self, fleet: MutantFleet) -> None:
        self._fleet = fleet
        self._caller = Caller()
        self._tasks: list[asyncio.Task[Outcome]] = []

    def send(self, ingress: str, count: int) -> None:
        """Start `count` calls through one daemon."""
        for _ in range(count):
            self._tasks.append(asyncio.create_task(self._send(ingress, len(self._tasks))))

    async def until_busy(self, target: str) -> None:
        """Send calls until the upstream has run `BUSY` of them at once.

        The daemons choose the upstream of a call, so a fixed number of calls may miss it. The
        maximum waited for never decreases, so that polling cannot miss it.
        """
        while True:
            counts = await asyncio.to_thread(self._fleet.executions, target)
            if counts["most_running"] >= BUSY:
                return
            assert len(self._tasks) < MAX_CALLS, counts
            self.send(target, 1)
            await asyncio.sleep(SEND_INTERVAL_S)

    async def ended(self) -> list[Outcome]:
        """Wait for all calls and return their outcomes."""
        return list(await asyncio.gather(*self._tasks))

    async def _send(self, ingress: str, number: int) -> Outcome:
        address = self._fleet.addresses[ingress]["callers"]
        path = "/depo/gift?sleep_ms=1000"
        return await self._caller.call(address, "POST", path, f"{number}".encode(), {}, 20.0)


def failed(outcomes: list[Outcome]) -> list[Outcome]:
    """Return the outcomes other than status 200."""
    return [outcome for outcome in outcomes if outcome.status != 200]


@pytest.mark.parametrize("how", ["SIGTERM", "drain"])
def test_a_graceful_shutdown_completes_long_calls_in_both_roles(how: str) -> None:
    with make_fleet(services=SERVICES) as fleet:
        fleet.start()

        async def scenario() -> list[Outcome]:
            calls = LongCalls(fleet)
            calls.send("depo-1", 12)
            calls.send("depo-2", 12)
            await calls.until_busy("depo-1")
            if how == "drain":
                operators = fleet.addresses["depo-1"]["operators"]
                done = await asyncio.to_thread(fleet.command, "drain", operators)
                assert done.returncode == 0, done.stderr
            else:
                fleet.daemons["depo-1"].signal(signal.SIGTERM)
            return await calls.ended()

        outcomes = asyncio.run(scenario())
        assert fleet.daemons["depo-1"].wait(EXIT_TIMEOUT_S) == 0
    assert len(outcomes) >= 24
    assert failed(outcomes) == []


def test_a_killed_daemon_cuts_calls() -> None:
    with make_fleet(services=SERVICES) as fleet:
        fleet.start()

        async def scenario() -> list[Outcome]:
            calls = LongCalls(fleet)
            calls.send("depo-1", 12)
            await calls.until_busy("depo-1")
            await asyncio.to_thread(fleet.daemons["depo-1"].kill)
            return await calls.ended()

        outcomes = asyncio.run(scenario())
    assert failed(outcomes)


def test_rolling_restart_of_every_daemon_fails_no_call() -> None:
    """Callers use the daemons that are not being restarted."""
    with make_fleet(services=SERVICES) as fleet:
        fleet.start()
        results: list[CallResult] = []

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
    assert [result for result in results if result.outcome.verdict != "answered"] == []
    assert len(results) >= 4500
    assert harness.executed_twice(results, ran) == []


def test_a_draining_daemon_serves_nested_calls_until_its_own_calls_end() -> None:
    """A call that enters a draining daemon is served while long calls run at its upstream."""
    with make_fleet(services=SERVICES) as fleet:
        fleet.start()

        async def scenario() -> tuple[list[Outcome], Outcome]:
            calls = LongCalls(fleet)
            calls.send("depo-1", 30)
            await calls.until_busy("depo-1")
            fleet.daemons["depo-1"].signal(signal.SIGTERM)
            while not fleet.status("depo-1")["draining"]:
                await asyncio.sleep(0.02)
            address = fleet.addresses["depo-1"]["callers"]
            nested = await Caller().call(address, "POST", "/depo/gift", b"nested", {}, 20.0)
            return await calls.ended(), nested

        outcomes, nested = asyncio.run(scenario())
        assert fleet.daemons["depo-1"].wait(EXIT_TIMEOUT_S) == 0
    assert (nested.status, nested.body) == (200, b"nested")
    assert len(outcomes) >= 30
    assert failed(outcomes) == []
