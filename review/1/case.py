"""QUOTA: after a machine was taken away, restarted daemons choose another quota server."""

from __future__ import annotations

import asyncio
import os
import signal
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
ZONE = "zona-uno"
MACHINES = [f"sidecar-{ZONE}-{number}" for number in range(1, 11)]
REMOVED = MACHINES[0]
RESTARTED = [MACHINES[number] for number in (5, 7, 8, 9)]
HOT = "comune-03"
RATE_PER_S = 40.0
BURST = 10.0
WINDOW_S = 5.0
"""`quota_window_s` of rilevazioni-bs-grown."""
OVERAGE = 0.1
"""`quota_overage` of rilevazioni-bs-grown."""
SLACK = 20.0
"""`quota_slack` of rilevazioni-bs-grown."""
GRACE_S = 6.0
FORGOTTEN_AFTER_S = 70.0
"""From the removal of the machine until the planned restarts, seconds."""
USUAL_PER_S = RATE_PER_S / 1.6
"""What the tenant sends usually; the site file has quotas of 1.6 times that."""
HOT_PER_S = 7.2 * USUAL_PER_S
"""Requests of the hot tenant a second; the site file has up to 7.5 times the usual."""
HOT_FOR_S = 8.0
SERVICE = "sportello-web"


def configuration() -> dict[str, Any]:
    """Return a configuration with one route and tenants with quotas."""
    route = {
        "path_prefix": "/modulo/",
        "route_type": "safe",
        "timeout_s": 1.5,
        "slo_latency_s": 0.5,
        "attempts": 2,
        "priority": 1,
        "service": SERVICE,
    }
    tenants = [
        {
            "name": f"comune-{number:02}",
            "api_keys": [f"key-of-comune-{number:02}"],
            "rate_per_s": RATE_PER_S,
            "burst": BURST,
        }
        for number in range(1, 9)
    ]
    return {
        "services": [{"name": SERVICE, "health_path": "/health", "max_connections": 1000}],
        "limits": {"max_body_bytes": 100000, "idle_timeout_s": 15, "header_timeout_s": 3},
        "virtual_hosts": [{"host": "shop.example", "route_paths": [route]}],
        "tenants": tenants,
    }


async def send(fleet: Fleet, name: str, tenant: str) -> None:
    """Send a request of a tenant."""
    headers = {"Authorization": f"Token key-of-{tenant}"}
    await fleet.send(name, tenant, "/modulo/1", 1500, headers=headers)


async def send_evenly(fleet: Fleet, names: list[str], per_s: float, for_s: float) -> None:
    """Send requests of the hot tenant at a constant rate, to each machine in turn."""
    began = time.monotonic()
    sending: set[asyncio.Task[None]] = set()
    for number in range(int(per_s * for_s)):
        await asyncio.sleep(max(0.0, began + number / per_s - time.monotonic()))
        task = asyncio.create_task(send(fleet, names[number % len(names)], HOT))
        sending.add(task)
        task.add_done_callback(sending.discard)
    await asyncio.gather(*sending)


def most_in_window(record: Record) -> int:
    """Return the most requests of the hot tenant both sent and run within one window."""
    sent_at = {sent.attempt: sent.at for sent in record.sent if sent.label == HOT}
    runs = sorted(
        (sent_at[run.attempt], run.at)
        for run in record.runs
        if run.headers.get("x-tenant") == HOT and run.attempt in sent_at
    )
    starts = [at for at, _ in runs]
    most = 0
    for index, start in enumerate(starts):
        until = bisect_left(starts, start + WINDOW_S)
        most = max(most, sum(1 for _, at in runs[index:until] if at < start + WINDOW_S))
    return most


async def restart_in_turn(fleet: Fleet) -> None:
    """Stop and start four machines' daemons, the next one 0.3 s after the one before."""
    restarts: list[asyncio.Task[None]] = []
    for name in RESTARTED:
        restarts.append(asyncio.create_task(fleet.machines[name].restart(GRACE_S)))
        await asyncio.sleep(0.3)
    await asyncio.gather(*restarts)


async def play(fleet: Fleet, trouble: bool) -> bool:
    """Take a machine away, restart others more than a minute later, then send the load."""
    note = fleet.record.note
    await asyncio.gather(*(fleet.add(name, ZONE, SERVICE) for name in MACHINES))
    await fleet.configure(12, configuration())
    await fleet.until_ready()
    note("all machines are ready")
    removed = fleet.machines[REMOVED]
    if trouble:
        status = await removed.remove_target()
        note(f"the target of {REMOVED} says that it leaves: {status}")
        await asyncio.sleep(3.0)
        removed.target.stop()
        removed.signal(signal.SIGTERM)
        await removed.ended(GRACE_S)
        note(f"the daemon of {REMOVED} has ended, the machine is taken away")
    await asyncio.sleep(FORGOTTEN_AFTER_S)
    names = [name for name in MACHINES if name != REMOVED]
    if trouble:
        await restart_in_turn(fleet)
        note(f"restarted: {', '.join(RESTARTED)}")
    await fleet.until_ready(names)
    await asyncio.sleep(3.0)
    note(f"{HOT} sends {HOT_PER_S:g} requests a second through all machines")
    await send_evenly(fleet, names, HOT_PER_S, HOT_FOR_S)
    most = most_in_window(fleet.record)
    allowed = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
    note(f"most requests of {HOT} that ran in {WINDOW_S:g} s: {most}, allowed: {allowed:g}")
    return most <= allowed


if __name__ == "__main__":
    main(RECORD, TROUBLE, play, retry_slack=188)
