"""`foldhoist status`: prints the state of one daemon."""

from __future__ import annotations

import asyncio
from typing import Any

from foldhoist.commands.fetch import fetch_json
from foldhoist.commands.output import EXIT_OK, print_json, print_table


def status(daemon: str, *, json: bool = False) -> int:
    """Show a daemon's state, and what it knows of each upstream with the age of its load report.

    :param daemon: Operators address of the daemon, as IP:port.
    :param json: Print JSON.
    """
    body = asyncio.run(fetch_json(daemon, "/status"))
    if json:
        print_json(body)
        return EXIT_OK
    _print_status(body)
    return EXIT_OK


def _print_status(body: dict[str, Any]) -> None:
    cfg = body["configuration"]
    load = body["load"]
    print(f"daemon {body['name']} {body['version']}, incarnation {body['incarnation']}")
    log = "reachable" if body["log_reachable"] else "not reachable or not read here"
    print(f"generation {cfg['generation']}, platform log {log}")
    why = f" ({', '.join(body['leaving_why'])})" if body["leaving_why"] else ""
    print(
        f"upstream {load['state']}{why}: {load['busy']} of {load['slots']} slots busy, "
        f"{load['queued']} waiting"
    )
    limit = body["limit"]
    if limit["per_s"] >= 0:
        print(
            f"rate limit of the upstream: {limit['per_s']:g} calls/s for {limit['age_s']:.1f} s; "
            f"{limit['used_per_s']:g} calls/s are sent"
        )
    for row in body["quotas"]:
        print(
            f"quota of {row['customer']}, counted here: {row['left']:.0f} of a burst of "
            f"{row['burst']:.0f} left, refilled at {row['rate_per_s']:g} calls/s"
        )
    for name, entry in body["latencies_us"].items():
        print(
            f"{name}: {int(entry['count'])} values, p50 {entry['p50'] / 1000:.2f} ms, "
            f"p99 {entry['p99'] / 1000:.2f} ms, p99.9 {entry['p99.9'] / 1000:.2f} ms"
        )
    print_table(body["upstreams"])
