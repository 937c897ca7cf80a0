"""`foldhoist check`: checks a settings file or a fleet configuration."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from foldhoist.commands.output import EXIT_FAULTS, EXIT_OK, print_faults
from foldhoist.config.faults import Fault, errors
from foldhoist.config.fleet import parse_fleet
from foldhoist.config.settings import parse_settings

if TYPE_CHECKING:
    from foldhoist.schema.fleet import Fleet


def check(file: str, *, json: bool = False) -> int:
    """Check a fleet configuration, or a daemon's settings, and list its faults.

    A file with a [daemon] section is checked as settings. References between sections are checked
    once no section has a fault of its own. Exits with 1 if there are errors.

    :param file: Path of the file.
    :param json: Print JSON.
    """
    faults = check_file(file)
    if json:
        print_faults(faults, as_json=True)
    else:
        print_faults(faults, as_json=False)
        if not errors(faults):
            print(f"{file}: good")
    return EXIT_FAULTS if errors(faults) else EXIT_OK


def check_file(file: str) -> list[Fault]:
    """Return the faults of a settings or configuration file."""
    text, faults = read_text(file)
    if faults:
        return faults
    if "[daemon]" in text:
        return parse_settings(text, file)[1]
    return parse_fleet(text, file)[1]


def read_text(file: str) -> tuple[str, list[Fault]]:
    """Return the text of a file, or the fault that it cannot be read."""
    try:
        return Path(file).read_text(encoding="utf-8"), []
    except (OSError, UnicodeDecodeError) as exc:
        problem = f"cannot be read: {exc.__class__.__name__}"
        return "", [Fault(file, "", "", "", problem, "name a readable UTF-8 file")]


def load_fleet(file: str) -> tuple[str, Fleet | None, list[Fault]]:
    """Return text, configuration and faults of a file; the configuration is None on errors."""
    text, faults = read_text(file)
    if faults:
        return "", None, faults
    fleet, faults = parse_fleet(text, file)
    return text, None if errors(faults) else fleet, faults
