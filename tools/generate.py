"""Writes code and reference pages from the JSON Schemas; --check only compares."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

SCHEMAS = Path(__file__).resolve().parent.parent / "foldhoist" / "schema"
HEADER = '"""Generated from {name}.json by tools/generate.py; edit that and run `make generate`."""'
NAMES = ("messages", "settings", "fleet")


def generate(name: str, out: Path) -> None:
    """Run the generator for one schema."""
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
"""Reference pages: file, title and first sentence, by schema."""


def reference(name: str) -> str:
    """Return the reference page of a schema."""
    schema = json.loads((SCHEMAS / f"{name}.json").read_text())
    _, title, first = PAGES[name]
    lines = [f"# {title}", "", f"{first} Generated from `foldhoist/schema/{name}.json`.", ""]
    for section, entry in schema["$defs"].items():
        lines += [f"## {section_title(name, section)}", "", entry["description"], ""]
        lines += ["| option | kind | default | meaning |", "|---|---|---|---|"]
        for option, about in entry["properties"].items():
            cells = (f"`{option}`", kind_of(about), default_of(about), about["description"])
            lines.append(f"| {' | '.join(cells)} |")
        lines.append("")
    return "\n".join(lines)


def section_title(name: str, section: str) -> str:
    """Return the section as it is written in a file."""
    if section == "FleetSection":
        return "[fleet]"
    if name == "fleet":
        return f"[{section.lower()} NAME]"
    return f"[{section.lower()}]"


def kind_of(about: dict) -> str:
    """Return what an option takes."""
    if "enum" in about:
        return ", ".join(about["enum"])
    if "minimum" in about:
        return f"{about['type']}, {about['minimum']} to {about['maximum']}"
    return str(about.get("x-kind", about["type"]))


def default_of(about: dict) -> str:
    """Return the default of an option."""
    if "default" not in about:
        return "must be given"
    value = about["default"]
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"`{value}`" if value != "" else "empty"


def stale_pages(check: bool) -> list[str]:
    """Write the reference pages, or return those that are not current."""
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
    """Return 1 if --check is given and a file differs from what would be generated."""
    stale = []
    with tempfile.TemporaryDirectory() as scratch:
        for name in NAMES:
            made = Path(scratch) / f"{name}.py"
            generate(name, made)
            kept = SCHEMAS / f"{name}.py"
            if kept.exists() and kept.read_text() == made.read_text():
                continue
            if "--check" in sys.argv:
                stale.append(name)
                continue
            kept.write_text(made.read_text())
    stale = [f"foldhoist/schema/{name}.py" for name in stale] + stale_pages("--check" in sys.argv)
    for name in stale:
        print(f"{name} is not what its schema gives: run `make generate`")
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
