"""The command line: one function for each command."""

from __future__ import annotations

import sys

import defopt

from foldhoist.commands.apply import apply
from foldhoist.commands.check import check
from foldhoist.commands.config import config
from foldhoist.commands.daemon import daemon
from foldhoist.commands.drain import drain
from foldhoist.commands.explain import explain
from foldhoist.commands.output import EXIT_FAULTS, EXIT_UNREACHABLE
from foldhoist.commands.status import status
from foldhoist.commands.version import version
from foldhoist.commands.watch import watch
from foldhoist.exceptions import FoldhoistError, UsageError

COMMANDS = [daemon, check, apply, status, config, watch, explain, drain, version]
"""Commands in the order in which help lists them."""


def main() -> None:
    """Run the command line and exit with the command's code."""
    try:
        code = defopt.run(COMMANDS, cli_options="has_default", no_negated_flags=True)
    except UsageError as exc:
        sys.stderr.write(f"error: {exc}\n")
        code = EXIT_FAULTS
    except FoldhoistError as exc:
        sys.stderr.write(f"error: {exc}\n")
        code = EXIT_UNREACHABLE
    sys.exit(code)


if __name__ == "__main__":
    main()
