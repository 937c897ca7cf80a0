"""Lists the differences between two fleet configurations for an operator."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

if TYPE_CHECKING:
    from collections.abc import Mapping

    from foldhoist.schema.fleet import Fleet

SECTION_FIELDS = (
    ("service", "services"),
    ("route", "routes"),
    ("customer", "customers"),
    ("target", "targets"),
)
"""Kinds of named sections in a file, with the field of the configuration that holds them."""


def changes(old: Fleet, new: Fleet) -> list[str]:
    """Return a line for each added or removed section and for each changed option."""
    lines = _option_changes("fleet", cast("Any", old["fleet"]), cast("Any", new["fleet"]))
    for kind, field in SECTION_FIELDS:
        before, after = cast("Any", old)[field], cast("Any", new)[field]
        for name in [*before, *(name for name in after if name not in before)]:
            section = f"{kind} {name}"
            if name not in after:
                lines.append(f"[{section}]: removed")
                continue
            if name not in before:
                lines.append(f"[{section}]: added")
                continue
            lines += _option_changes(section, before[name], after[name])
    return lines


def changed_options(before: Mapping[str, Any], after: Mapping[str, Any]) -> list[str]:
    """Return the options whose values differ, including those that only one section has."""
    options = [*before, *(option for option in after if option not in before)]
    return [option for option in options if before.get(option) != after.get(option)]


def _option_changes(section: str, before: Mapping[str, Any], after: Mapping[str, Any]) -> list[str]:
    return [
        f"[{section}] {option}: {before.get(option)}, now {after.get(option)}"
        for option in changed_options(before, after)
    ]
