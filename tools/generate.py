"""Generates code and reference pages from the JSON Schemas; --check only compares them."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

SCHEMAS = Path(__file__).resolve().parent.parent / "foldhoist" / "schema"
HEADER = '"""Generated from {name}.json by tools/generate.py; edit that and run `make generate`."""'
NAMES = ("messages", "settings", "fleet")


def generate(name: str, out: Path) -> None:
    """Generate the code of one schema into a file."""
    command = [
        *(sys.executable, "-m", "datamodel_code_generator"),
        *("--input", str(SCHEMAS / f"{name}.json"), "--input-file-type", "jsonschema"),
        *("--output", str(out), "--output-model-type", "typing.TypedDict"),
        *("--use-schema-description", "--use-field-description"),
        *(
            "--target-python-version",
            "3.11",
            "--disable-timestamp",
            "--enum-field-as-literal",
            "all",
        ),
        *("--use-standard-collections", "--use-union-operator", "--use-double-quotes"),
        *(
            "--custom-file-header",
            HEADER.format(name=name),
            "--formatters",
            "ruff-check",
            "ruff-format",
        ),
    ]
    subprocess.run(command, check=True)


PAGES = {
    "settings": ("settings.md", "Settings", "Each daemon reads one INI file with these sections."),
    "fleet": ("fleet-options.md", "Fleet options", "The fleet configuration has these sections."),
}
"""File, title and first sentence of the reference pages, by schema."""


def reference(name: str) -> str:
    """Return the reference page of a schema."""
    schema = json.loads((SCHEMAS / f"{name}.json").read_text())
    _, title, first = PAGES[name]
    lines = [f"# {title}", "", f"{first} Generated from `foldhoist/schema/{name}.json`.", ""]
    for section, entry in schema["$defs"].items():
        lines += [f"## {section_title(name, section)}", "", entry["description"], ""]
        lines += ["| option | kind | default | meaning |", "|---|---|---|---|"]
        for option, option_schema in entry["properties"].items():
            cells = (
                f"`{option}`",
                kind_of(option_schema),
                default_of(option_schema),
                option_schema["description"],
            )
            lines.append(f"| {' | '.join(cells)} |")
        lines.append("")
    return "\n".join(lines)


def section_title(name: str, section: str) -> str:
    """Return the header of a section as written in a file."""
    if section == "FleetSection":
        return "[fleet]"
    if name == "fleet":
        return f"[{section.lower()} NAME]"
    return f"[{section.lower()}]"


def kind_of(option_schema: dict) -> str:
    """Return the accepted values of an option."""
    if "enum" in option_schema:
        return ", ".join(option_schema["enum"])
    if "minimum" in option_schema:
        return f"{option_schema['type']}, {option_schema['minimum']} to {option_schema['maximum']}"
    return str(option_schema.get("x-kind", option_schema["type"]))


def default_of(option_schema: dict) -> str:
    """Return the default of an option for display."""
    if "default" not in option_schema:
        return "must be given"
    value = option_schema["default"]
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"`{value}`" if value != "" else "empty"


def stale_pages(check: bool) -> list[str]:
    """Write the outdated reference pages, or with `check` return their names instead."""
    stale = []
    for name, (file, _, _) in PAGES.items():
        page = SCHEMAS.parent.parent / "docs" / "operators" / file
        text = reference(name)
        if page.exists() and page.read_text() == text:
            continue
        if check:
            stale.append(str(page.name))
            continue
        page.write_text(text)
    return stale


def main() -> int:
    """Generate all files; with --check returns 1 if one is outdated and writes none."""
    stale = []
    with tempfile.TemporaryDirectory() as scratch:
        for name in NAMES:
            generated = Path(scratch) / f"{name}.py"
            generate(name, generated)
            current = SCHEMAS / f"{name}.py"
            if current.exists() and current.read_text() == generated.read_text():
                continue
            if "--check" in sys.argv:
                stale.append(name)
                continue
            current.write_text(generated.read_text())
    stale = [f"foldhoist/schema/{name}.py" for name in stale] + stale_pages("--check" in sys.argv)
    for name in stale:
        print(f"{name} differs from its schema: run `make generate`")
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
