"""`foldhoist watch`: prints the calls of one daemon as they end."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from foldhoist.commands.fetch import fetch_json
from foldhoist.commands.output import EXIT_OK

POLL_INTERVAL_S = 0.5
"""Pause between two requests to the daemon, seconds."""


def watch(daemon: str, *, calls: int = 0, json: bool = False) -> int:
    """Print each call that ends at a daemon, until interrupted.

    :param daemon: Operators address of the daemon, as IP:port.
    :param calls: Stop after this many calls; 0 for no limit.
    :param json: Print one JSON object per line.
    """
    try:
        asyncio.run(_watch(daemon, calls, json))
    except KeyboardInterrupt:
        return EXIT_OK
    return EXIT_OK


async def _watch(daemon: str, calls: int, json: bool) -> None:
    body = await fetch_json(daemon, "/records?after=0")
    last_number, printed = body["number"], 0
    while True:
        body = await fetch_json(daemon, f"/records?after={last_number}")
        last_number = body["number"]
        for record in body["records"]:
            print(
                msgspec.json.encode(record).decode() if json else format_record(record), flush=True
            )
            printed += 1
            if calls and printed >= calls:
                return
        await asyncio.sleep(POLL_INTERVAL_S)


def format_record(record: dict[str, Any]) -> str:
    """Return the record of a call as one line of text."""
    attempts = ", ".join(f"{each['target']} ({each['result']})" for each in record["attempts"])
    reason = f" ({record['reason']})" if record["reason"] else ""
    return (
        f"{record['trace']} {record['method']} {record['path']} {record['verdict']}{reason} "
        f"{record['status']} {record['total_us'] / 1000:.2f} ms: {attempts or 'no upstream tried'}"
    )
