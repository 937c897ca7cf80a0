"""Parses the fleet configuration, and checks it and changes to it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple, cast

from foldhoist.config.faults import Fault
from foldhoist.config.ini import read_section, read_sections, split_sections
from foldhoist.config.options import load_schema, shorten, suggest_name
from foldhoist.customers.directory import shared_key
from foldhoist.routing.routes import parse_split

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foldhoist.schema.fleet import Fleet, FleetSection, Service, Target
    from foldhoist.schema.settings import Limits

SECTION_ENTRIES = {
    "service": "Service",
    "route": "Route",
    "customer": "Customer",
    "target": "Target",
}
"""Kinds of named sections, with their entry in the schema."""


class Section(NamedTuple):
    """A parsed section; its faults get the name of the file when the section is used."""

    name: str
    values: dict[str, Any]
    faults: tuple[Fault, ...]


class SectionCache:
    """Caches parsed sections by text, so that only changed sections are parsed again."""

    def __init__(self) -> None:
        self._sections: dict[str, Section] = {}

    def read(self, texts: list[str], file: str) -> list[Section]:
        """Return the parsed sections in order; drops cached sections that are not in `texts`."""
        schema = load_schema("fleet")
        kept: dict[str, Section] = {}
        for text in texts:
            section = self._sections.get(text)
            kept[text] = section if section is not None else _read_text(text, schema, file)
        self._sections = kept
        return [kept[text] for text in texts]


def parse_fleet(
    text: str, file: str, cache: SectionCache | None = None
) -> tuple[Fleet, list[Fault]]:
    """Return the configuration in a text and its faults; with errors it must not be used.

    Consistency between sections is checked only if no section has a fault of its own.
    """
    texts, faults = split_sections(text, file)
    sections = (cache or SectionCache()).read(texts, file)
    fleet: dict[str, Any] = {"fleet": {}, **{f"{kind}s": {} for kind in SECTION_ENTRIES}}
    for section in sections:
        faults += [fault._replace(file=file) for fault in section.faults]
        kind, _, name = section.name.partition(" ")
        if section.name == "fleet":
            fleet["fleet"] = section.values
        elif kind in SECTION_ENTRIES:
            fleet[f"{kind}s"][name.strip()] = section.values
    if not any(section.name == "fleet" for section in sections):
        hint = "add the section with name = ... and data_centres = ..."
        faults.append(Fault(file, "fleet", "", "", "is missing", hint))
    checked = cast("Fleet", fleet)
    if not faults:
        faults += check_consistency(checked, file)
    return checked, faults


def check_consistency(fleet: Fleet, file: str) -> list[Fault]:
    """Return the faults that are not found by parsing each section by itself."""
    faults = _check_references(fleet, file)
    targets_by_service = group_targets(fleet)
    for name, service in fleet["services"].items():
        faults += _check_service(fleet, targets_by_service.get(name, {}), name, service, file)
    faults += _check_prefixes(fleet, file)
    faults += _check_customers(fleet, file)
    faults += _check_addresses(fleet, file)
    return faults


def check_change(old: Fleet, new: Fleet, file: str) -> list[Fault]:
    """Return the faults of a change: only retired targets may be removed, and they stay retired.

    Otherwise a removed target that still runs calls with idempotency keys could not be
    distinguished from one that is switched off.
    """
    faults: list[Fault] = []
    for name, target in old["targets"].items():
        if name not in new["targets"] and target["state"] != "retired":
            problem = "is removed, but was not retired in the configuration in force"
            hint = "switch its host off, apply `state = retired`, then remove the section"
            faults.append(Fault(file, f"target {name}", "", "", problem, hint))
            continue
        if name not in new["targets"] or target["state"] != "retired":
            continue
        if new["targets"][name]["state"] != "retired":
            problem = "was retired and cannot come back"
            hint = "give the new target a new name"
            faults.append(Fault(file, f"target {name}", "state", "", problem, hint))
    return faults


def group_targets(fleet: Fleet) -> dict[str, dict[str, Target]]:
    """Return the targets that are not retired, by service and name."""
    grouped: dict[str, dict[str, Target]] = {}
    for name, target in fleet["targets"].items():
        if target["state"] != "retired":
            grouped.setdefault(target["service"], {})[name] = target
    return grouped


def targets_of(fleet: Fleet, service: str) -> dict[str, Target]:
    """Return the targets of a service that are not retired, by name."""
    return {
        name: target
        for name, target in fleet["targets"].items()
        if target["service"] == service and target["state"] != "retired"
    }


def homes_of(fleet: Fleet, service: str) -> tuple[str, ...]:
    """Return the targets of a service that may be homes of idempotency keys."""
    targets = targets_of(fleet, service)
    return tuple(name for name, target in targets.items() if target["state"] == "serving")


def data_centres(fleet: Fleet) -> list[str]:
    """Return the names of the data centres."""
    return [part.strip() for part in fleet["fleet"]["data_centres"].split(",") if part.strip()]


def evacuated(fleet: Fleet) -> frozenset[str]:
    """Return the names of the evacuated data centres, whose upstreams get no calls."""
    names = fleet["fleet"]["evacuated"].split(",")
    return frozenset(name.strip() for name in names if name.strip())


def with_evacuated(fleet: Fleet, names: Iterable[str]) -> Fleet:
    """Return the configuration with exactly these data centres evacuated."""
    section: FleetSection = {**fleet["fleet"], "evacuated": ", ".join(sorted(names))}
    return {**fleet, "fleet": section}


def limits_of(own: Limits, fleet: Fleet) -> Limits:
    """Return the limits for callers: `own`, replaced where the configuration sets one."""
    section = fleet["fleet"]
    limits: Limits = {**own}
    limits["header_bytes"] = section["header_bytes"] or own["header_bytes"]
    limits["body_bytes"] = section["body_bytes"] or own["body_bytes"]
    limits["request_ms"] = section["request_ms"] or own["request_ms"]
    limits["idle_ms"] = section["idle_ms"] or own["idle_ms"]
    return limits


def _read_text(text: str, schema: dict[str, Any], file: str) -> Section:
    parser, faults = read_sections(text, file)
    if faults:
        return Section("", {}, tuple(faults))
    name = parser.sections()[0]
    kind, _, rest = name.partition(" ")
    if name != "fleet" and (kind not in SECTION_ENTRIES or not rest.strip()):
        hint = (
            suggest_name(kind, list(SECTION_ENTRIES)) + " (a section is written as [target kasa-1])"
        )
        fault = Fault(file, name, "", "", "is not a section of a fleet configuration", hint)
        return Section(name, {}, (fault,))
    entry = schema["$defs"]["FleetSection" if name == "fleet" else SECTION_ENTRIES[kind]]
    values, faults = read_section(parser, name, entry, file)
    return Section(name, values, tuple(faults))


def _check_references(fleet: Fleet, file: str) -> list[Fault]:
    faults: list[Fault] = []
    services = list(fleet["services"])
    centres = data_centres(fleet)
    for kind, sections in (("route", fleet["routes"]), ("target", fleet["targets"])):
        for name, section in sections.items():
            service = str(section["service"])
            if service in services:
                continue
            hint = suggest_name(service, services) if services else "add a [service NAME] section"
            where = f"{kind} {name}"
            faults.append(Fault(file, where, "service", service, "is no service", hint))
    for name, route in fleet["routes"].items():
        for part in parse_split(route["split"]):
            if part.service in services:
                continue
            hint = (
                suggest_name(part.service, services) if services else "add a [service NAME] section"
            )
            where = f"route {name}"
            faults.append(Fault(file, where, "split", part.service, "is no service", hint))
    for centre in sorted(evacuated(fleet)):
        if centre not in centres:
            hint = suggest_name(centre, centres)
            faults.append(Fault(file, "fleet", "evacuated", centre, "is no data centre", hint))
    for name, target in fleet["targets"].items():
        centre = target["data_centre"]
        if centre in centres:
            continue
        hint = suggest_name(centre, centres)
        where = f"target {name}"
        faults.append(Fault(file, where, "data_centre", centre, "is no data centre", hint))
    return faults


def _check_prefixes(fleet: Fleet, file: str) -> list[Fault]:
    faults: list[Fault] = []
    seen: dict[str, str] = {}
    for name, service in fleet["services"].items():
        prefix = service["prefix"]
        if prefix in seen:
            problem = f"is the prefix of service {seen[prefix]}, too"
            hint = "give each service its own prefix"
            faults.append(Fault(file, f"service {name}", "prefix", prefix, problem, hint))
            continue
        seen[prefix] = name
    return faults


def _check_customers(fleet: Fleet, file: str) -> list[Fault]:
    faults: list[Fault] = []
    for name, customer in fleet["customers"].items():
        if not customer["keys"]:
            problem = "has no API key: nobody can call as it"
            hint = "add the digest that `foldhoist key` prints"
            faults.append(Fault(file, f"customer {name}", "keys", "", problem, hint, "warning"))
    if shared := shared_key(fleet["customers"]):
        problem = f"is a key of customer {shared.first}, too"
        hint = "give each customer its own keys"
        where = f"customer {shared.second}"
        faults.append(Fault(file, where, "keys", shorten(shared.digest[:8]), problem, hint))
    return faults


def _check_service(
    fleet: Fleet, targets: dict[str, Target], name: str, service: Service, file: str
) -> list[Fault]:
    faults: list[Fault] = []
    where = f"service {name}"
    if not targets:
        problem = "has no target that is not retired"
        faults.append(Fault(file, where, "", "", problem, "add a [target NAME] section", "warning"))
    for target_name, target in targets.items():
        if service["urgent_slots"] < target["slots"]:
            continue
        problem = f"leaves no slot of target {target_name} for ordinary calls"
        hint = f"write less than {target['slots']}"
        value = str(service["urgent_slots"])
        faults.append(Fault(file, where, "urgent_slots", value, problem, hint))
    return faults


def _check_addresses(fleet: Fleet, file: str) -> list[Fault]:
    faults: list[Fault] = []
    seen: dict[str, str] = {}
    for name, target in fleet["targets"].items():
        if target["state"] == "retired":
            continue
        for option in ("frames", "control", "operators"):
            address = str(target[option])
            if address in seen:
                problem = f"is the address of {seen[address]}, too"
                hint = "give each target its own addresses"
                faults.append(Fault(file, f"target {name}", option, address, problem, hint))
                continue
            seen[address] = f"target {name} ({option})"
    return faults
