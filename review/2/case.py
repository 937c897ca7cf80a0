"""FAILBACK: targets that crashed come back cold under their ids; the first heartbeat is late."""

from __future__ import annotations

import asyncio
import os
import time
from bisect import bisect_left
from pathlib import Path
from typing import TYPE_CHECKING, Any

from review.harness import Fleet, main

if TYPE_CHECKING:
    from review.harness import Record

RECORD = Path(__file__).resolve().parent / "record.txt"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption happens; without it everything else is the same."""
FRONT = "sportello-web"
BACK = "deposito-dati"
ZONE = "zona-tre"
FRONT_MACHINES = [f"sidecar-{ZONE}-{number}" for number in range(1, 5)]
BACK_MACHINES = [f"sidecar-{ZONE}-{number}" for number in range(5, 8)]
COLD_PER_S = 11.0
"""`cold_per_s` of the service in rilevazioni-bs-grown."""
COLD_PERIOD_S = 3.0
"""`cold_period_s` of the service there."""
COLD_OVERAGE = 1.5
"""`cold_overage` there."""
COLD_SLACK = 8.0
"""`cold_slack` there."""
COLD_SETTINGS = f"cold_overage = {COLD_OVERAGE}\ncold_slack = {COLD_SLACK}"
DOWN_S = 4.0
"""How long the targets are down; `cold_return` there has 4.5 s."""
LATE_S = float(os.environ.get("LATE_S", "1.0"))
"""From a target's start until its first heartbeat comes, seconds."""
CALLS_PER_S = 200.0
BEFORE_S = 8.0
AFTER_S = 6.0
WORK_S = 0.03
SLOTS = 6


def configuration() -> dict[str, Any]:
    """Return a configuration with one route to the service that crashes."""
    route = {
        "path_prefix": "/codice/",
        "route_type": "safe",
        "timeout_s": 0.7,
        "slo_latency_s": 0.2,
        "attempts": 2,
        "priority": 1,
        "service": BACK,
    }
    services = [
        {
            "name": name,
            "health_path": "/health",
            "max_connections": 1000,
            "cold_per_s": COLD_PER_S,
            "cold_period_s": COLD_PERIOD_S,
        }
        for name in (FRONT, BACK)
    ]
    return {
        "services": services,
        "limits": {"max_body_bytes": 100000, "idle_timeout_s": 15, "header_timeout_s": 3},
        "virtual_hosts": [{"host": "shop.example", "route_paths": [route]}],
    }


async def send_evenly(fleet: Fleet, for_s: float) -> None:
    """Send calls at a constant rate through the machines of the calling service."""
    began = time.monotonic()
    sending: set[asyncio.Task[Any]] = set()
    for number in range(int(CALLS_PER_S * for_s)):
        await asyncio.sleep(max(0.0, began + number / CALLS_PER_S - time.monotonic()))
        name = FRONT_MACHINES[number % len(FRONT_MACHINES)]
        task = asyncio.create_task(fleet.send(name, "call", f"/codice/{number}", 700))
        sending.add(task)
        task.add_done_callback(sending.discard)
    await asyncio.gather(*sending)


def most_in_a_second(record: Record, instance: str, since: float, until: float) -> int:
    """Return the most requests both sent and received by a target within one second."""
    sent_at = {sent.attempt: sent.at for sent in record.sent}
    found = sorted(
        (sent_at[run.attempt], run.at)
        for run in record.runs
        if run.target == instance and since <= run.at < until
    )
    starts = [at for at, _ in found]
    most = 0
    for index, start in enumerate(starts):
        end = bisect_left(starts, start + 1.0)
        most = max(most, sum(1 for _, at in found[index:end] if at < start + 1.0))
    return most


async def play(fleet: Fleet, trouble: bool) -> bool:
    """Let all targets of a service crash and come back cold while calls go on.

    Without the disruption, the same targets run on and turn cold at that moment, and say so.
    """
    note = fleet.record.note
    for names, service in ((FRONT_MACHINES, FRONT), (BACK_MACHINES, BACK)):
        await asyncio.gather(*(fleet.add(name, ZONE, service) for name in names))
    backs = [fleet.machines[name] for name in BACK_MACHINES]
    for back in backs:
        back.target.work_s = WORK_S
        back.target.set_slots(SLOTS)
    await fleet.configure(12, configuration())
    await fleet.until_ready()
    await asyncio.sleep(3.0)
    note("all machines are ready, calls begin")
    sending = asyncio.create_task(send_evenly(fleet, BEFORE_S + DOWN_S + AFTER_S))
    await asyncio.sleep(BEFORE_S)
    if trouble:
        for back in backs:
            back.crash_target()
        note("the targets crash")
    await asyncio.sleep(DOWN_S)
    cold_at = time.monotonic()
    if trouble:
        for back in backs:
            await back.start_target_again(COLD_PERIOD_S, LATE_S)
        note(f"the targets are back under their ids, cold, heartbeats from {LATE_S:g} s on")
    else:
        for back in backs:
            back.target.cold_until = cold_at + COLD_PERIOD_S
            await back.beat()
        cold_at = time.monotonic()
        note("the targets turn cold and say so")
    await sending
    allowed = COLD_PER_S * COLD_OVERAGE + COLD_SLACK
    held = True
    for back in backs:
        until = back.target.cold_until
        most = most_in_a_second(fleet.record, back.target.instance, cold_at, until)
        note(f"most in a second at {back.target.instance} while cold: {most}, allowed: {allowed}")
        held = held and most <= allowed
    return held


if __name__ == "__main__":
    main(RECORD, TROUBLE, play, retry_slack=188, cold=COLD_SETTINGS)
