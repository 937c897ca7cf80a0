"""`foldhoist config`: prints the configuration in force at one daemon."""

from __future__ import annotations

import asyncio

from foldhoist.commands.fetch import fetch_json
from foldhoist.commands.output import EXIT_NOT_FOUND, EXIT_OK, print_json


def config(daemon: str, *, json: bool = False) -> int:
    """Show the configuration in force at a daemon, as it was applied.

    :param daemon: Operators address of the daemon, as IP:port.
    :param json: Print JSON.
    """
    body = asyncio.run(fetch_json(daemon, "/configuration"))
    if json:
        print_json(body)
        return EXIT_OK
    if not body["generation"]:
        print("no configuration is in force: run `foldhoist apply`")
        return EXIT_NOT_FOUND
    generation = body["generation"]
    print(f"# generation {generation}, digest {body['digest'][:12]}")
    print(f"# apply an edited copy with --base {generation}")
    print(body["content"])
    return EXIT_OK
