"""Reads an INI text by a schema and reports every fault at once."""

from __future__ import annotations

import re
from configparser import ConfigParser, Error
from typing import Any

from foldhoist.config.faults import Fault
from foldhoist.config.options import Bad, Good, close_to, parse, shown


def read_sections(text: str, file: str) -> tuple[ConfigParser, list[Fault]]:
    """Return the sections of an INI text; a text that is none gives one fault."""
    parser = ConfigParser(interpolation=None, delimiters=("=",), comment_prefixes=("#", ";"))
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(text, source=file)
    except Error as exc:
        problem = " ".join(str(exc).split())
        mend = "write [section] lines and option = value lines, each name once"
        return ConfigParser(), [Fault(file, "", "", "", problem, mend)]
    return parser, []


def split_sections(text: str, file: str) -> tuple[list[str], list[Fault]]:
    """Return the text of each section, and faults of what is between or twice."""
    parts = re.split(r"(?m)^(?=\[)", text)
    faults: list[Fault] = []
    for line in parts[0].splitlines():
        if line.strip() and not line.lstrip().startswith(("#", ";")):
            mend = "begin with a [section] line"
            faults.append(Fault(file, "", "", line.strip(), "stands before any section", mend))
    seen: set[str] = set()
    for part in parts[1:]:
        name = part[1:].partition("]")[0]
        if name in seen:
            mend = "keep one of them, or give the other a name of its own"
            faults.append(Fault(file, name, "", "", "is there twice", mend))
        seen.add(name)
    return parts[1:], faults


def read_section(
    parser: ConfigParser, section: str, entry: dict[str, Any], file: str
) -> tuple[dict[str, Any], list[Fault]]:
    """Return the options of a section with defaults filled in, and its faults."""
    options: dict[str, Any] = entry["properties"]
    given = dict(parser.items(section)) if parser.has_section(section) else {}
    faults = [
        _unknown(file, section, name, given[name], options) for name in given if name not in options
    ]
    values: dict[str, Any] = {}
    for name, option in options.items():
        if name not in given:
            if "default" in option:
                values[name] = option["default"]
                continue
            faults.append(_missing(file, section, name, option))
            continue
        match parse(given[name].strip(), option):
            case Good(value):
                values[name] = value
            case Bad(problem, mend):
                faults.append(Fault(file, section, name, shown(given[name]), problem, mend))
    return values, faults


def _unknown(file: str, section: str, name: str, value: str, options: dict[str, Any]) -> Fault:
    mend = close_to(name, list(options))
    return Fault(file, section, name, shown(value), "is no option of this section", mend)


def _missing(file: str, section: str, name: str, option: dict[str, Any]) -> Fault:
    mend = f"add `{name} = ...`: {option['description']}"
    return Fault(file, section, name, "", "is missing", mend)
