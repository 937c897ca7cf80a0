"""Lists all commands and parses their arguments."""

from __future__ import annotations

import defopt

from foldhoist.commands.apply import apply
from foldhoist.commands.check import check
from foldhoist.commands.config import config
from foldhoist.commands.daemon import daemon
from foldhoist.commands.drain import drain
from foldhoist.commands.evacuate import evacuate
from foldhoist.commands.explain import explain
from foldhoist.commands.key import key
from foldhoist.commands.status import status
from foldhoist.commands.version import version
from foldhoist.commands.watch import watch

COMMANDS = [daemon, check, apply, status, config, watch, explain, drain, evacuate, key, version]
"""Commands in the order of the help."""


def run_command() -> int:
    """Run the command that the arguments name and return its exit code."""
    code: int = defopt.run(COMMANDS, cli_options="has_default", no_negated_flags=True)
    return code
