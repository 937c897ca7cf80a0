"""Writes foldhoist/schema/*.py from the JSON Schemas beside them; --check only compares."""

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
    for name in stale:
        print(f"foldhoist/schema/{name}.py is not what its schema gives: run `make generate`")
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
