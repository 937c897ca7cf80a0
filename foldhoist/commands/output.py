"""Exit codes and printing shared by the commands."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import msgspec

from foldhoist.config.faults import report, show

if TYPE_CHECKING:
    from foldhoist.config.faults import Fault

EXIT_OK = 0
"""Success."""
EXIT_FAULTS = 1
"""A file or the command line must be changed; nothing was done."""
EXIT_REJECTED = 2
"""The configuration was rejected and did not come into force."""
EXIT_UNKNOWN = 3
"""It is unknown whether the configuration was accepted: apply it again with the same id."""
EXIT_UNREACHABLE = 4
"""A daemon or the platform did not answer, or an address could not be listened on."""
EXIT_FAILED = 1
"""The daemon met an error that nothing expects; its log tells which."""
EXIT_NOT_FOUND = 5
"""There is no configuration in force, or no record of the call."""


def print_json(body: Any) -> None:
    """Print a value as indented JSON."""
    sys.stdout.write(msgspec.json.format(msgspec.json.encode(body), indent=2).decode() + "\n")


def print_faults(faults: list[Fault], as_json: bool) -> None:
    """Print all faults: as text to standard error, as JSON to standard output."""
    if as_json:
        print_json({"faults": [report(fault) for fault in faults]})
        return
    for fault in faults:
        sys.stderr.write(show(fault) + "\n")


def print_table(rows: list[dict[str, Any]]) -> None:
    """Print rows that have the same keys as a table with a header."""
    if not rows:
        return
    names = list(rows[0])
    widths = {name: max(len(name), *(len(str(row[name])) for row in rows)) for name in names}
    print("  ".join(name.ljust(widths[name]) for name in names).rstrip())
    for row in rows:
        print("  ".join(str(row[name]).ljust(widths[name]) for name in names).rstrip())
