"""Shared by the failure tests: a small fleet with proxies, load with unique ids, and checks."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import TYPE_CHECKING, NamedTuple

from standins.caller import Caller, Outcome
from standins.processes import LocalFleet, Process, Target, wait_until
from standins.proxy import FaultProxy

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

SERVICES = """[service depo]
prefix = /depo/
deadline_ms = 3000
queue = 200
urgent_slots = 0
key_window_s = 600

[route depo-lookup]
service = depo
prefix = /depo/lookup
methods = GET
repeatable = yes
"""
FAST_SETTINGS = """[measuring]
probes_per_s = 5

[limits]
drain_ms = 10000
"""
NAMES = ("depo-1", "depo-2", "depo-3")


class CallResult(NamedTuple):
    """One call of a load: its id, its ingress and its outcome."""

    request_id: str
    ingress: str
    outcome: Outcome


class MutantFleet(LocalFleet):
    """A fleet whose daemons run with one mechanism disabled."""

    mutant = ""

    def launch_daemon(self, name: str) -> Process:
        """Start one daemon, patched if `mutant` is set."""
        if not self.mutant:
            return super().launch_daemon(name)
        path = self.folder / f"{name}.ini"
        path.write_text(self.settings_of(name))
        args = ["tests.integration.mutants", self.mutant, "daemon", str(path)]
        process = Process(args, self.folder / f"{name}.log")
        self.daemons[name] = process
        return process


def make_fleet(
    mutant: str = "",
    services: str = SERVICES,
    settings: str = FAST_SETTINGS,
    service_ms: float = 5.0,
) -> MutantFleet:
    """Return a started fleet of one service with three targets in three data centres."""
    targets = [
        Target(name, "depo", f"ist-{at + 1}", slots=12, service_ms=service_ms)
        for at, name in enumerate(NAMES)
    ]
    fleet = MutantFleet("istanbul", targets, services, settings)
    fleet.mutant = mutant
    return fleet


def with_proxies(fleet: LocalFleet) -> dict[str, FaultProxy]:
    """Start the fleet with a proxy in front of the frames address of each daemon."""
    fleet.start_upstreams()
    fleet.start_daemons()
    proxies: dict[str, FaultProxy] = {}
    for name in fleet.targets:
        proxies[name] = FaultProxy(fleet.addresses[name]["frames"])
        fleet.overrides[name] = {"frames": proxies[name].address}
    assert fleet.apply().returncode == 0
    fleet.wait_generation(1)
    return proxies


async def load(
    fleet: LocalFleet,
    calls: int,
    at_once: int,
    path: str = "/depo/pledge",
    method: str = "POST",
    during: Callable[[], Awaitable[None]] | None = None,
    ingresses: tuple[str, ...] = NAMES,
    prefix: str = "r",
) -> list[CallResult]:
    """Send calls with unique ids and bodies through the ingresses in turn; return their results.

    At least `calls` are sent, and more until `during` has ended; `at_once` run concurrently.
    """
    caller = Caller()
    results: list[CallResult] = []
    numbers = itertools.count()
    during_ended = asyncio.Event()
    rng = random.Random(1)

    async def worker() -> None:
        for number in numbers:
            if number >= calls and during_ended.is_set():
                return
            request_id = f"{prefix}{number}"
            ingress = ingresses[number % len(ingresses)]
            body = b"" if method == "GET" else f"{request_id}:{rng.random()}".encode()
            headers = {"X-Request-Id": request_id}
            address = fleet.addresses[ingress]["callers"]
            outcome = await caller.call(address, method, path, body, headers, 20.0)
            results.append(CallResult(request_id, ingress, check_body(outcome, body)))

    tasks = [asyncio.create_task(worker()) for _ in range(at_once)]
    if during is not None:
        await during()
    during_ended.set()
    await asyncio.gather(*tasks)
    caller.close()
    return results


def check_body(outcome: Outcome, sent: bytes) -> Outcome:
    """Fail unless a successful answer echoes the whole body of its own request."""
    if outcome.status == 200 and sent:
        assert outcome.body == sent, f"answer {outcome.body!r} to {sent!r}"
    return outcome


def executions(fleet: LocalFleet) -> dict[str, int]:
    """Return how often each request id ran, over all upstreams, once no owner is busy."""
    for name in fleet.targets:
        wait_until(lambda name=name: fleet.status(name)["gauges"]["owner_busy"] == 0)
    return fleet.runs()


def verdicts(results: list[CallResult]) -> dict[str, int]:
    """Return the number of calls by verdict."""
    counts: dict[str, int] = {}
    for result in results:
        counts[result.outcome.verdict] = counts.get(result.outcome.verdict, 0) + 1
    return counts


def not_run_but_executed(results: list[CallResult], ran: dict[str, int]) -> list[str]:
    """Return the ids whose verdict is not-run although they ran."""
    not_run = [result.request_id for result in results if result.outcome.verdict == "not-run"]
    return [request_id for request_id in not_run if ran.get(request_id, 0)]


def executed_twice(results: list[CallResult], ran: dict[str, int]) -> list[str]:
    """Return the ids that ran more than once."""
    return [result.request_id for result in results if ran.get(result.request_id, 0) > 1]


def answered_but_not_executed(results: list[CallResult], ran: dict[str, int]) -> list[str]:
    """Return the ids that were answered with 200 although they did not run."""
    answered = [result.request_id for result in results if result.outcome.status == 200]
    return [request_id for request_id in answered if not ran.get(request_id, 0)]
