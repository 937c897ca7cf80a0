"""The fleet configuration: loads it, checks it as a whole, and checks what a change may do."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple, cast

from foldhoist.config.faults import Fault
from foldhoist.config.ini import read_section, read_sections, split_sections
from foldhoist.config.options import close_to, load_schema, shown
from foldhoist.customers.directory import shared_key
from foldhoist.routing.routes import parse_split

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foldhoist.schema.fleet import Fleet, FleetSection, Service, Target
    from foldhoist.schema.settings import Limits

KINDS = {"service": "Service", "route": "Route", "customer": "Customer", "target": "Target"}
"""Kinds of sections that carry a name, with their entry in the schema."""


class Section(NamedTuple):
    """A section as read: its values, and its faults without the file's name."""

    name: str
    values: dict[str, Any]
    faults: tuple[Fault, ...]


class SectionCache:
    """Sections by their text: most of a changed configuration has been read before."""

    def __init__(self) -> None:
        self._sections: dict[str, Section] = {}

    def read(self, texts: list[str], file: str) -> list[Section]:
        """Return the sections, in order; forgets those that are no longer there."""
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
    """Return the configuration and faults of a text; with errors it is not to be used."""
    texts, faults = split_sections(text, file)
    sections = (cache or SectionCache()).read(texts, file)
    fleet: dict[str, Any] = {"fleet": {}, **{f"{kind}s": {} for kind in KINDS}}
    for section in sections:
        faults += [fault._replace(file=file) for fault in section.faults]
        kind, _, name = section.name.partition(" ")
        if section.name == "fleet":
            fleet["fleet"] = section.values
        elif kind in KINDS:
            fleet[f"{kind}s"][name.strip()] = section.values
    if not any(section.name == "fleet" for section in sections):
        mend = "add it with name = ... and data_centres = ..."
        faults.append(Fault(file, "fleet", "", "", "is missing", mend))
    checked = cast("Fleet", fleet)
    if not faults:
        faults += check_whole(checked, file)
    return checked, faults


def check_whole(fleet: Fleet, file: str) -> list[Fault]:
    """Return the faults that show only when sections are seen together."""
    faults = _check_references(fleet, file)
    by_service = group_targets(fleet)
    for name, service in fleet["services"].items():
        faults += _check_service(fleet, by_service.get(name, {}), name, service, file)
    faults += _check_prefixes(fleet, file)
    faults += _check_customers(fleet, file)
    faults += _check_addresses(fleet, file)
    return faults


def check_change(old: Fleet, new: Fleet, file: str) -> list[Fault]:
    """Return the faults of a change: a target goes only after it was retired.

    A daemon that still runs keys of a vanished target could not be told from one that is off.
    """
    faults: list[Fault] = []
    for name, target in old["targets"].items():
        if name not in new["targets"] and target["state"] != "retired":
            problem = "is removed, but was not retired in the configuration in force"
            mend = "switch its host off, apply `state = retired`, then remove the section"
            faults.append(Fault(file, f"target {name}", "", "", problem, mend))
            continue
        if name not in new["targets"] or target["state"] != "retired":
            continue
        if new["targets"][name]["state"] != "retired":
            problem = "was retired and cannot come back"
            mend = "give the new target a new name"
            faults.append(Fault(file, f"target {name}", "state", "", problem, mend))
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
    """Return the targets that may be homes of idempotency keys."""
    targets = targets_of(fleet, service)
    return tuple(name for name, target in targets.items() if target["state"] == "serving")


def data_centres(fleet: Fleet) -> list[str]:
    """Return the names of the data centres."""
    return [part.strip() for part in fleet["fleet"]["data_centres"].split(",") if part.strip()]


def evacuated(fleet: Fleet) -> frozenset[str]:
    """Return the names of the data centres whose upstreams get no calls."""
    names = fleet["fleet"]["evacuated"].split(",")
    return frozenset(name.strip() for name in names if name.strip())


def with_evacuated(fleet: Fleet, names: Iterable[str]) -> Fleet:
    """Return the configuration with these data centres evacuated."""
    section: FleetSection = {**fleet["fleet"], "evacuated": ", ".join(sorted(names))}
    return {**fleet, "fleet": section}


def limits_of(own: Limits, fleet: Fleet) -> Limits:
    """Return what callers may send: the daemon's own limits, and what the configuration says."""
    said = fleet["fleet"]
    limits: Limits = {**own}
    limits["header_bytes"] = said["header_bytes"] or own["header_bytes"]
    limits["body_bytes"] = said["body_bytes"] or own["body_bytes"]
    limits["request_ms"] = said["request_ms"] or own["request_ms"]
    limits["idle_ms"] = said["idle_ms"] or own["idle_ms"]
    return limits


def _read_text(text: str, schema: dict[str, Any], file: str) -> Section:
    parser, faults = read_sections(text, file)
    if faults:
        return Section("", {}, tuple(faults))
    name = parser.sections()[0]
    kind, _, rest = name.partition(" ")
    if name != "fleet" and (kind not in KINDS or not rest.strip()):
        mend = close_to(kind, list(KINDS)) + " (a section is written as [target kasa-1])"
        fault = Fault(file, name, "", "", "is no section of a configuration", mend)
        return Section(name, {}, (fault,))
    entry = schema["$defs"]["FleetSection" if name == "fleet" else KINDS[kind]]
    values, faults = read_section(parser, name, entry, file)
    return Section(name, values, tuple(faults))


def _check_references(fleet: Fleet, file: str) -> list[Fault]:
    faults: list[Fault] = []
    services = list(fleet["services"])
    centres = data_centres(fleet)
    for kind, named in (("route", fleet["routes"]), ("target", fleet["targets"])):
        for name, section in named.items():
            service = str(section["service"])
            if service in services:
                continue
            mend = close_to(service, services) if services else "add a [service NAME] section"
            where = f"{kind} {name}"
            faults.append(Fault(file, where, "service", service, "is no service", mend))
    for name, route in fleet["routes"].items():
        for part in parse_split(route["split"]):
            if part.service in services:
                continue
            mend = close_to(part.service, services) if services else "add a [service NAME] section"
            where = f"route {name}"
            faults.append(Fault(file, where, "split", part.service, "is no service", mend))
    for centre in sorted(evacuated(fleet)):
        if centre not in centres:
            mend = close_to(centre, centres)
            faults.append(Fault(file, "fleet", "evacuated", centre, "is no data centre", mend))
    for name, target in fleet["targets"].items():
        centre = target["data_centre"]
        if centre in centres:
            continue
        mend = close_to(centre, centres)
        where = f"target {name}"
        faults.append(Fault(file, where, "data_centre", centre, "is no data centre", mend))
    return faults


def _check_prefixes(fleet: Fleet, file: str) -> list[Fault]:
    faults: list[Fault] = []
    seen: dict[str, str] = {}
    for name, service in fleet["services"].items():
        prefix = service["prefix"]
        if prefix in seen:
            problem = f"is the prefix of service {seen[prefix]}, too"
            mend = "give each service a prefix of its own"
            faults.append(Fault(file, f"service {name}", "prefix", prefix, problem, mend))
            continue
        seen[prefix] = name
    return faults


def _check_customers(fleet: Fleet, file: str) -> list[Fault]:
    faults: list[Fault] = []
    for name, customer in fleet["customers"].items():
        if not customer["keys"]:
            problem = "has no API key: nobody can call as it"
            mend = "add the digest that `foldhoist key` prints"
            faults.append(Fault(file, f"customer {name}", "keys", "", problem, mend, "warning"))
    if shared := shared_key(fleet["customers"]):
        problem = f"is a key of customer {shared.first}, too"
        mend = "give each customer keys of its own"
        where = f"customer {shared.second}"
        faults.append(Fault(file, where, "keys", shown(shared.digest[:8]), problem, mend))
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
        mend = f"write less than {target['slots']}"
        value = str(service["urgent_slots"])
        faults.append(Fault(file, where, "urgent_slots", value, problem, mend))
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
                mend = "give each target addresses of its own"
                faults.append(Fault(file, f"target {name}", option, address, problem, mend))
                continue
            seen[address] = f"target {name} ({option})"
    return faults
