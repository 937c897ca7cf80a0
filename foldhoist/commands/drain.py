"""`foldhoist drain`: stops a daemon as planned."""

from __future__ import annotations

import asyncio

from foldhoist.commands.fetch import fetch_json
from foldhoist.commands.output import EXIT_OK, print_json


def drain(daemon: str, *, json: bool = False) -> int:
    """Let a daemon finish what it has in flight, take no new work, and end.

    :param daemon: Operators address of the daemon, as IP:port.
    :param json: Print for a program.
    """
    body = asyncio.run(fetch_json(daemon, "/drain", method="POST"))
    if json:
        print_json(body)
    else:
        print("draining")
    return EXIT_OK
