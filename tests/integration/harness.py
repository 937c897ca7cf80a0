"""What the failure tests share: a small fleet with proxies, load with unique ids, and checks."""

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
QUICK = """[measuring]
probes_per_s = 5

[limits]
drain_ms = 10000
"""
NAMES = ("depo-1", "depo-2", "depo-3")


class Ended(NamedTuple):
    """One call of a load: its id, where it entered, what became of it."""

    request_id: str
    ingress: str
    outcome: Outcome


class MutantFleet(LocalFleet):
    """A fleet whose daemons run with one mechanism taken out."""

    mutant = ""

    def launch_daemon(self, name: str) -> Process:
        """Start one daemon, changed if a mutant is named."""
        if not self.mutant:
            return super().launch_daemon(name)
        path = self.folder / f"{name}.ini"
        path.write_text(self.settings_of(name))
        args = ["tests.integration.mutants", self.mutant, "daemon", str(path)]
        process = Process(args, self.folder / f"{name}.log")
        self.daemons[name] = process
        return process


def make_fleet(
    mutant: str = "", services: str = SERVICES, settings: str = QUICK, service_ms: float = 5.0
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
    """Start the fleet with a proxy in front of the frames of each daemon."""
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
) -> list[Ended]:
    """Send calls with unique ids and bodies through the ingresses in turn; tell their ends.

    At least `calls` are sent, and as many more as come until `during` has ended.
    """
    caller = Caller()
    ended: list[Ended] = []
    numbers = itertools.count()
    broken = asyncio.Event()
    rng = random.Random(1)

    async def worker() -> None:
        for number in numbers:
            if number >= calls and broken.is_set():
                return
            request_id = f"{prefix}{number}"
            ingress = ingresses[number % len(ingresses)]
            body = b"" if method == "GET" else f"{request_id}:{rng.random()}".encode()
            headers = {"X-Request-Id": request_id}
            address = fleet.addresses[ingress]["callers"]
            outcome = await caller.call(address, method, path, body, headers, 20.0)
            ended.append(Ended(request_id, ingress, check_body(outcome, body)))

    tasks = [asyncio.create_task(worker()) for _ in range(at_once)]
    if during is not None:
        await during()
    broken.set()
    await asyncio.gather(*tasks)
    caller.close()
    return ended


def check_body(outcome: Outcome, sent: bytes) -> Outcome:
    """Fail if an answer is not the whole answer to its own request: upstreams echo the body."""
    if outcome.status == 200 and sent:
        assert outcome.body == sent, f"answer {outcome.body!r} to {sent!r}"
    return outcome


def executions(fleet: LocalFleet) -> dict[str, int]:
    """Return how often each request id was run, over all upstreams, once all has come to rest."""
    for name in fleet.targets:
        wait_until(lambda name=name: fleet.status(name)["gauges"]["owner_busy"] == 0)
    return fleet.runs()


def verdicts(ended: list[Ended]) -> dict[str, int]:
    """Return how often each verdict was given."""
    counts: dict[str, int] = {}
    for end in ended:
        counts[end.outcome.verdict] = counts.get(end.outcome.verdict, 0) + 1
    return counts


def untrue_not_run(ended: list[Ended], ran: dict[str, int]) -> list[str]:
    """Return the ids that were told not-run and yet ran."""
    told = [end.request_id for end in ended if end.outcome.verdict == "not-run"]
    return [request_id for request_id in told if ran.get(request_id, 0)]


def run_twice(ended: list[Ended], ran: dict[str, int]) -> list[str]:
    """Return the ids that ran more than once."""
    return [end.request_id for end in ended if ran.get(end.request_id, 0) > 1]


def answered_without_run(ended: list[Ended], ran: dict[str, int]) -> list[str]:
    """Return the ids that were answered and yet did not run."""
    told = [end.request_id for end in ended if end.outcome.status == 200]
    return [request_id for request_id in told if not ran.get(request_id, 0)]
