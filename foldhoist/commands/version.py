"""`foldhoist version`: prints the versions of the program and of its message schema."""

from __future__ import annotations

from foldhoist import __version__
from foldhoist.commands.output import EXIT_OK, print_json
from foldhoist.delivery.codec import SCHEMA_VERSION


def version(*, json: bool = False) -> int:
    """Show the version of the program and of its message schema.

    :param json: Print JSON.
    """
    if json:
        print_json({"version": __version__, "message_schema": SCHEMA_VERSION})
    else:
        print(f"foldhoist {__version__}, message schema {SCHEMA_VERSION}")
    return EXIT_OK
