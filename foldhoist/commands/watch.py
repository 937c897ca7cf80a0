"""`foldhoist watch`: follows the decisions of one daemon."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from foldhoist.commands.fetch import fetch_json
from foldhoist.commands.output import EXIT_OK

AGAIN_S = 0.5
"""Pause between two questions, seconds."""


def watch(daemon: str, *, calls: int = 0, json: bool = False) -> int:
    """Print each call that ends at a daemon, until interrupted.

    :param daemon: Operators address of the daemon, as IP:port.
    :param calls: End after this many calls; 0 for never.
    :param json: Print one JSON object a line.
    """
    try:
        asyncio.run(_watch(daemon, calls, json))
    except KeyboardInterrupt:
        return EXIT_OK
    return EXIT_OK


async def _watch(daemon: str, calls: int, json: bool) -> None:
    body = await fetch_json(daemon, "/records?after=0")
    number, shown = body["number"], 0
    while True:
        body = await fetch_json(daemon, f"/records?after={number}")
        number = body["number"]
        for record in body["records"]:
            print(msgspec.json.encode(record).decode() if json else line_of(record), flush=True)
            shown += 1
            if calls and shown >= calls:
                return
        await asyncio.sleep(AGAIN_S)


def line_of(record: dict[str, Any]) -> str:
    """Return a call's record as a line."""
    tried = ", ".join(f"{each['target']} ({each['result']})" for each in record["attempts"])
    reason = f" ({record['reason']})" if record["reason"] else ""
    return (
        f"{record['trace']} {record['method']} {record['path']} {record['verdict']}{reason} "
        f"{record['status']} {record['total_us'] / 1000:.2f} ms: {tried or 'no upstream tried'}"
    )
