"""Parses INI text against a schema and collects its faults."""

from __future__ import annotations

import re
from configparser import ConfigParser, Error
from typing import Any

from foldhoist.config.faults import Fault
from foldhoist.config.options import Invalid, Valid, parse_option, shorten, suggest_name


def read_sections(text: str, file: str) -> tuple[ConfigParser, list[Fault]]:
    """Return a parser that holds the sections; text that is not valid INI gives one fault."""
    parser = ConfigParser(interpolation=None, delimiters=("=",), comment_prefixes=("#", ";"))
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(text, source=file)
    except Error as exc:
        problem = " ".join(str(exc).split())
        hint = "write [section] lines and option = value lines, each name once"
        return ConfigParser(), [Fault(file, "", "", "", problem, hint)]
    return parser, []


def split_sections(text: str, file: str) -> tuple[list[str], list[Fault]]:
    """Return the text of each section, and faults for stray lines and duplicate sections."""
    parts = re.split(r"(?m)^(?=\[)", text)
    faults: list[Fault] = []
    for line in parts[0].splitlines():
        if line.strip() and not line.lstrip().startswith(("#", ";")):
            hint = "begin with a [section] line"
            faults.append(Fault(file, "", "", line.strip(), "is before the first section", hint))
    seen: set[str] = set()
    for part in parts[1:]:
        name = part[1:].partition("]")[0]
        if name in seen:
            hint = "keep one of them, or rename the other"
            faults.append(Fault(file, name, "", "", "is there twice", hint))
        seen.add(name)
    return parts[1:], faults


def read_section(
    parser: ConfigParser, section: str, entry: dict[str, Any], file: str
) -> tuple[dict[str, Any], list[Fault]]:
    """Return the option values of a section, defaults included, and its faults."""
    options: dict[str, Any] = entry["properties"]
    texts = dict(parser.items(section)) if parser.has_section(section) else {}
    faults = [
        _unknown_option(file, section, name, texts[name], options)
        for name in texts
        if name not in options
    ]
    values: dict[str, Any] = {}
    for name, option in options.items():
        if name not in texts:
            if "default" in option:
                values[name] = option["default"]
                continue
            faults.append(_missing_option(file, section, name, option))
            continue
        match parse_option(texts[name].strip(), option):
            case Valid(value):
                values[name] = value
            case Invalid(problem, hint):
                faults.append(Fault(file, section, name, shorten(texts[name]), problem, hint))
    return values, faults


def _unknown_option(
    file: str, section: str, name: str, value: str, options: dict[str, Any]
) -> Fault:
    hint = suggest_name(name, list(options))
    return Fault(file, section, name, shorten(value), "is no option of this section", hint)


def _missing_option(file: str, section: str, name: str, option: dict[str, Any]) -> Fault:
    hint = f"add `{name} = ...`: {option['description']}"
    return Fault(file, section, name, "", "is missing", hint)
