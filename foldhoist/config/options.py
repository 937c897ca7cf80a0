"""Parses the text of one INI option as its schema entry requires."""

from __future__ import annotations

import re
from difflib import get_close_matches
from importlib.resources import files
from typing import Any, NamedTuple, TypeAlias

import msgspec

from foldhoist.addresses import is_ip, parse_address
from foldhoist.customers.keys import parse_digests
from foldhoist.exceptions import DecodingError
from foldhoist.routing.routes import parse_split

MAX_SHOWN_CHARS = 80
"""Longest part of an invalid value that a message repeats, characters."""
METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
"""HTTP methods that a route may list."""
BOOLEANS = {"yes": True, "true": True, "on": True, "no": False, "false": False, "off": False}
"""Texts of a boolean option, in lower case."""


class Valid(NamedTuple):
    """The parsed value of an option."""

    value: Any


class Invalid(NamedTuple):
    """The problem with the text of an option, and how to correct it."""

    problem: str
    hint: str


ParseResult: TypeAlias = Valid | Invalid


def load_schema(name: str) -> dict[str, Any]:
    """Return the JSON schema of this name from the package `foldhoist.schema`."""
    text = files("foldhoist.schema").joinpath(f"{name}.json").read_bytes()
    schema: dict[str, Any] = msgspec.json.decode(text)
    return schema


def parse_option(text: str, option: dict[str, Any]) -> ParseResult:
    """Parse the text of an option; `option` is its schema entry."""
    match option:
        case {"enum": choices}:
            return _choice(text, choices)
        case {"type": "boolean"}:
            return _boolean(text)
        case {"type": "integer"}:
            return _number(text, option, int, "a whole number")
        case {"type": "number"}:
            return _number(text, option, float, "a number")
        case {"x-kind": "address"}:
            return _address(text, option)
        case {"x-kind": "addresses"}:
            return _addresses(text)
        case {"x-kind": "split"}:
            return _split(text)
        case {"x-kind": "methods"}:
            return _methods(text)
        case {"x-kind": "digests"}:
            return _digests(text)
        case {"pattern": pattern}:
            return _pattern(text, pattern)
    return Valid(text)


def suggest_name(name: str, known: list[str]) -> str:
    """Return a hint for an unknown name: the closest known name, or all known names."""
    matches = get_close_matches(name, known, n=1)
    if matches:
        return f"did you mean {matches[0]}?"
    return f"known are {', '.join(sorted(known))}"


def shorten(text: str) -> str:
    """Return a value on one line, cut to MAX_SHOWN_CHARS for a message."""
    line = " ".join(text.split())
    return line if len(line) <= MAX_SHOWN_CHARS else line[:MAX_SHOWN_CHARS] + "..."


def _choice(text: str, choices: list[str]) -> ParseResult:
    if text in choices:
        return Valid(text)
    return Invalid("is not an allowed value", f"write one of {', '.join(choices)}")


def _boolean(text: str) -> ParseResult:
    value = BOOLEANS.get(text.lower())
    if value is None:
        return Invalid("is not a boolean", "write yes or no")
    return Valid(value)


def _number(text: str, option: dict[str, Any], kind: type, noun: str) -> ParseResult:
    try:
        value = kind(text)
    except ValueError:
        return Invalid(f"is not {noun}", f"write {noun}{_range(option)}")
    minimum, maximum = option.get("minimum"), option.get("maximum")
    in_range = (minimum is None or value >= minimum) and (maximum is None or value <= maximum)
    if not in_range:
        return Invalid("is out of range", f"write {noun}{_range(option)}")
    return Valid(value)


def _range(option: dict[str, Any]) -> str:
    if "minimum" in option and "maximum" in option:
        return f" from {option['minimum']} to {option['maximum']}"
    return ""


def _address(text: str, option: dict[str, Any]) -> ParseResult:
    if not text and option.get("default") == "":
        return Valid(text)
    try:
        is_valid = is_ip(parse_address(text, option.get("x-min-port", 0)).host)
    except DecodingError:
        is_valid = False
    if not is_valid:
        return Invalid("is not an IP address and a port", "write it as 127.0.0.1:8000")
    return Valid(text)


def _addresses(text: str) -> ParseResult:
    parts = [part.strip() for part in text.split(",") if part.strip()]
    for part in parts:
        match _address(part, {}):
            case Invalid(problem, hint):
                return Invalid(f"holds {part}, which {problem}", hint)
    return Valid(", ".join(parts))


def _methods(text: str) -> ParseResult:
    parts = [part.strip().upper() for part in text.split(",") if part.strip()]
    unknown = [part for part in parts if part not in METHODS]
    if unknown or not parts:
        return Invalid("is not a list of HTTP methods", f"use {', '.join(sorted(METHODS))}")
    return Valid(", ".join(parts))


def _split(text: str) -> ParseResult:
    try:
        parse_split(text)
    except ValueError as exc:
        return Invalid(f"is no split: {exc}", "write services with weights, as a:90, b:10")
    return Valid(text)


def _digests(text: str) -> ParseResult:
    try:
        return Valid(", ".join(parse_digests(text)))
    except ValueError as exc:
        return Invalid(f"holds an invalid digest: {exc}", "write what `foldhoist key` prints")


def _pattern(text: str, pattern: str) -> ParseResult:
    if re.search(pattern, text):
        return Valid(text)
    if pattern == "^/":
        return Invalid("does not begin with /", "write it with a leading /")
    return Invalid(
        "is not a valid name", "use lowercase letters, digits and hyphens, a letter first"
    )
