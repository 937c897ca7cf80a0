"""`foldhoist drain`: shuts a daemon down gracefully."""

from __future__ import annotations

import asyncio

from foldhoist.commands.fetch import fetch_json
from foldhoist.commands.output import EXIT_OK, print_json


def drain(daemon: str, *, json: bool = False) -> int:
    """Stop a daemon: refuse calls to its upstream, serve callers until those in flight end, exit.

    :param daemon: Operators address of the daemon, as IP:port.
    :param json: Print JSON.
    """
    body = asyncio.run(fetch_json(daemon, "/drain", method="POST"))
    if json:
        print_json(body)
    else:
        print("draining")
    return EXIT_OK
