"""Promise 4: a call with an idempotency key runs at most once, however often it is sent."""

from __future__ import annotations

import asyncio
import random
import time
import uuid
from typing import NamedTuple

from foldhoist.routing.rendezvous import home
from standins.caller import Caller, Outcome
from standins.processes import wait_until
from tests.integration import harness
from tests.integration.harness import NAMES, MutantFleet, make_fleet, with_proxies

KEYS = 150
TRIES = 6
SETTLE_S = 2.2
"""Seconds after a home's start from which a new key counts as newer, clock skew included."""


class KeyOutcomes(NamedTuple):
    """A key and the outcomes of all calls with it, in order."""

    key: str
    outcomes: list[Outcome]


def new_key(rng: random.Random) -> str:
    """Return a UUIDv7 with the current time."""
    number = int(time.time() * 1000) << 80 | rng.getrandbits(80)
    number = number & ~(0xF << 76) | 0x7 << 76
    number = number & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=number))


async def send(fleet: MutantFleet, caller: Caller, key: str, ingress: str) -> Outcome:
    address = fleet.addresses[ingress]["callers"]
    headers = {"X-Request-Id": key, "Idempotency-Key": key}
    return await caller.call(address, "POST", "/depo/gift", key.encode(), headers, 10.0)


async def send_until_answered(
    fleet: MutantFleet, caller: Caller, rng: random.Random
) -> KeyOutcomes:
    """Send a key through random daemons, at least twice, until it is answered.

    Stops after `TRIES` calls.
    """
    key = new_key(rng)
    outcomes: list[Outcome] = []
    for _ in range(TRIES):
        outcome = await send(fleet, caller, key, rng.choice(NAMES))
        outcomes.append(outcome)
        if outcome.status == 200 and len(outcomes) > 1:
            break
        await asyncio.sleep(0.05 * rng.random())
    return KeyOutcomes(key, outcomes)


async def send_many(fleet: MutantFleet, fault: str) -> list[KeyOutcomes]:
    caller = Caller()
    rng = random.Random(3)
    gate = asyncio.Semaphore(20)

    async def one() -> KeyOutcomes:
        async with gate:
            return await send_until_answered(fleet, caller, rng)

    tasks = [asyncio.create_task(one()) for _ in range(KEYS)]
    if fault == "kill":
        await asyncio.sleep(0.1)
        await asyncio.to_thread(fleet.daemons["depo-1"].kill)
        await asyncio.to_thread(fleet.restart_daemon, "depo-1")
    sent = await asyncio.gather(*tasks)
    caller.close()
    return list(sent)


def start(fleet: MutantFleet) -> None:
    fleet.start()
    for name in NAMES:
        wait_until(lambda name=name: not fleet.status(name)["keys_pending"])
    time.sleep(SETTLE_S)


def repeated_keys(runs: dict[str, int]) -> list[str]:
    return [key for key, times in runs.items() if times > 1]


def test_keys_run_once_through_any_daemon() -> None:
    with make_fleet() as fleet:
        start(fleet)
        sent = asyncio.run(send_many(fleet, ""))
        runs = harness.executions(fleet)
    assert repeated_keys(runs) == []
    assert all(each.outcomes[-1].status == 200 for each in sent)


def test_keys_run_once_while_their_home_is_killed_and_restarted() -> None:
    with make_fleet() as fleet:
        start(fleet)
        sent = asyncio.run(send_many(fleet, "kill"))
        runs = harness.executions(fleet)
    assert repeated_keys(runs) == []
    for each in sent:
        last = each.outcomes[-1]
        assert last.verdict in ("answered", "may-have-run", "not-run", "none"), last
        if all(outcome.verdict == "not-run" for outcome in each.outcomes):
            assert each.key not in runs


def test_without_the_key_table_keys_run_twice() -> None:
    with make_fleet("no-key-table") as fleet:
        start(fleet)
        asyncio.run(send_many(fleet, ""))
        runs = harness.executions(fleet)
    assert repeated_keys(runs)


def resend_after_restart(mutant: str) -> tuple[list[str], Outcome]:
    """Run a key, kill and restart its home without state, and send the key again.

    Returns the keys that ran more than once and the outcome of the second call.
    """
    with make_fleet(mutant) as fleet:
        start(fleet)
        key = new_key(random.Random(5))
        owner = home(NAMES, key)
        assert owner is not None
        ingress = next(name for name in NAMES if name != owner)

        async def once() -> Outcome:
            return await send(fleet, Caller(), key, ingress)

        assert asyncio.run(once()).status == 200
        fleet.daemons[owner].kill()
        fleet.restart_daemon(owner)
        fleet.wait_generation(1)
        wait_until(lambda: not fleet.status(owner)["keys_pending"])
        again = asyncio.run(once())
        return repeated_keys(harness.executions(fleet)), again


def test_a_restarted_home_answers_may_have_run_for_an_older_key() -> None:
    repeated, again = resend_after_restart("")
    assert repeated == []
    assert (again.verdict, again.reason) == ("may-have-run", "key-older-than-its-home")


def test_without_the_key_history_check_a_restarted_home_runs_a_key_twice() -> None:
    repeated, _ = resend_after_restart("no-key-history")
    assert repeated


def test_key_history_moves_to_the_new_home_when_a_target_leaves() -> None:
    with make_fleet() as fleet:
        start(fleet)
        rng = random.Random(7)
        keys = [new_key(rng) for _ in range(30)]

        async def send_all() -> list[Outcome]:
            caller = Caller()
            return [await send(fleet, caller, key, "depo-2") for key in keys]

        assert all(outcome.status == 200 for outcome in asyncio.run(send_all()))
        fleet.states["depo-1"] = "leaving"
        assert fleet.apply().returncode == 0
        fleet.wait_generation(2)
        for name in ("depo-2", "depo-3"):
            wait_until(lambda name=name: not fleet.status(name)["keys_pending"])
        again = asyncio.run(send_all())
        runs = harness.executions(fleet)
    assert repeated_keys(runs) == []
    assert [outcome.status for outcome in again] == [200] * len(keys)


def test_keys_run_once_when_answers_of_their_home_are_lost() -> None:
    with make_fleet() as fleet:
        proxies = with_proxies(fleet)
        for name in NAMES:
            wait_until(lambda name=name: not fleet.status(name)["keys_pending"])
        time.sleep(SETTLE_S)
        rng = random.Random(9)
        keys = [key for key in (new_key(rng) for _ in range(60)) if home(NAMES, key) == "depo-1"]

        async def send_all(ingress: str) -> list[Outcome]:
            caller = Caller()
            return list(await asyncio.gather(*(send(fleet, caller, key, ingress) for key in keys)))

        proxies["depo-1"].faults.drop_back = True
        first = asyncio.run(send_all("depo-2"))
        proxies["depo-1"].faults.drop_back = False
        proxies["depo-1"].cut()
        wait_until(lambda: fleet.status("depo-3")["upstreams"][0]["linked"])
        second = asyncio.run(send_all("depo-3"))
        runs = harness.executions(fleet)
        for proxy in proxies.values():
            proxy.close()
    assert keys
    assert repeated_keys(runs) == []
    assert all(outcome.verdict == "may-have-run" for outcome in first)
    assert [outcome.status for outcome in second] == [200] * len(keys)
