"""Runs an example deployment on this machine, on ports that the system chooses."""

from __future__ import annotations

from pathlib import Path

from foldhoist.config.faults import errors, show
from foldhoist.config.fleet import parse_fleet
from foldhoist.config.ini import split_sections
from standins.processes import LocalFleet, Target

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
"""Where the example deployments are."""


def load_example(name: str, settings: str = "", service_ms: float = 4.0) -> LocalFleet:
    """Return a fleet made from an example's configuration; it is not started yet."""
    path = EXAMPLES / name / "fleet.ini"
    text = path.read_text(encoding="utf-8")
    fleet, faults = parse_fleet(text, str(path))
    if errors(faults):
        raise ValueError("; ".join(show(fault) for fault in faults))
    targets = [
        Target(
            each,
            target["service"],
            target["data_centre"],
            target["slots"],
            target["connections"],
            service_ms,
            spread=0.5,
        )
        for each, target in fleet["targets"].items()
    ]
    sections, _ = split_sections(text, str(path))
    services = "\n".join(part for part in sections if part.startswith(("[service", "[route")))
    return LocalFleet(fleet["fleet"]["name"], targets, services, settings)
