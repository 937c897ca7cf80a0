"""Entry point of the command line; imports little until the signals of a daemon are recorded."""

from __future__ import annotations

import sys

from foldhoist.commands.launch_time import LAUNCH_TIME_S
from foldhoist.commands.process_signals import SIGNALS
from foldhoist.commands.standard_streams import open_missing_streams


def main() -> None:
    """Run the command and exit with its code."""
    if sys.argv[1:2] == ["daemon"]:
        SIGNALS.install()
        open_missing_streams()
    code = _run_reporting_errors()
    if SIGNALS.installed:
        SIGNALS.ignore()
    sys.exit(code)


def _run_reporting_errors() -> int:
    from foldhoist.commands.output import EXIT_FAULTS, EXIT_UNREACHABLE
    from foldhoist.exceptions import FoldhoistError, UsageError

    try:
        return _run()
    except UsageError as exc:
        sys.stderr.write(f"error: {exc}\n")
        return EXIT_FAULTS
    except FoldhoistError as exc:
        sys.stderr.write(f"error: {exc}\n")
        return EXIT_UNREACHABLE


def _run() -> int:
    """Run the command that the arguments name and return its code.

    `daemon SETTINGS` does not import the other commands, so that a daemon restarts sooner.
    """
    args = sys.argv[1:]
    if len(args) == 2 and args[0] == "daemon" and not args[1].startswith("-"):
        from foldhoist.commands.daemon import run_daemon

        return run_daemon(args[1], LAUNCH_TIME_S)
    from foldhoist.commands.all import run_command

    return run_command()


if __name__ == "__main__":
    main()
