"""Loads an example deployment to run it on this machine, on free ports."""

from __future__ import annotations

from pathlib import Path

from foldhoist.config.faults import errors, show
from foldhoist.config.fleet import parse_fleet
from foldhoist.config.ini import split_sections
from standins.processes import LocalFleet, Target

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
"""Folder of the example deployments."""


def load_example(name: str, settings: str = "", service_ms: float = 4.0) -> LocalFleet:
    """Return a fleet with an example's configuration; upstreams and daemons are not started.

    `service_ms` is the mean service time. Raises ValueError if the configuration has errors.
    """
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
