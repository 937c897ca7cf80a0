"""Loads and checks the settings of one daemon."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any, cast

from expression import Error, Ok, Result

from foldhoist.config.faults import Fault, errors
from foldhoist.config.ini import read_section, read_sections
from foldhoist.config.options import load_schema, suggest_name

if TYPE_CHECKING:
    from foldhoist.schema.settings import Settings


def load_settings(path: str) -> Result[Settings, list[Fault]]:
    """Return the settings in a file, or all its faults if one of them is an error."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        problem = f"cannot be read: {exc.__class__.__name__}"
        return Error([Fault(path, "", "", "", problem, "name a readable UTF-8 file")])
    settings, faults = parse_settings(text, path)
    if errors(faults):
        return Error(faults)
    return Ok(settings)


def parse_settings(text: str, file: str) -> tuple[Settings, list[Fault]]:
    """Return the settings in a text and its faults; with errors they must not be used."""
    schema = load_schema("settings")
    parser, faults = read_sections(text, file)
    if faults:
        return cast("Settings", {}), faults
    settings: dict[str, Any] = {}
    for section in parser.sections():
        if section not in schema["properties"]:
            hint = suggest_name(section, list(schema["properties"]))
            faults.append(Fault(file, section, "", "", "is not a section of the settings", hint))
    for section, ref in schema["properties"].items():
        entry = schema["$defs"][ref["$ref"].rpartition("/")[2]]
        values, section_faults = read_section(parser, section, entry, file)
        settings[section] = values
        faults += section_faults
    return cast("Settings", settings), faults
