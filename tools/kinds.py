"""Plays one day for each kind of trouble on the users' bench and prints a table.

The bench is no part of the repository: its program and the site files are given as arguments.
"""

import re
import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

DAYS = Path(__file__).resolve().parent.parent / "bench" / "days"
AT_ONCE = 4
"""Days played at the same time."""


class Outcome(NamedTuple):
    """What became of one day at one site."""

    day: str
    site: str
    line: str
    broken: str
    served: str
    failed: str
    score: str


def day_text(site: dict, name: str, trouble: str) -> str:
    """Return a day with this trouble, in the shape of the site's first standard day."""
    base = site["day"][0]
    lines = ["[[day]]", f'name = "{name}"', 'slot = "trouble"', "seed = 7"]
    lines += [f"one = {base['one']}", f"zero = {base['zero']}", "goal = { floor = 0.0 }"]
    lines += ["floor_classes = [0.0]", "floor_zones = [0.0]", "labels = []", "wall = 3.0"]
    return "\n".join([*lines, "light = true", trouble, ""])


def play(bench: str, site_path: Path, name: str, trouble: str) -> Outcome:
    """Play one day and return its outcome."""
    site = tomllib.loads(site_path.read_text())
    with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as file:
        file.write(day_text(site, name, trouble))
    why = f"map of the kinds of trouble, one at a time: {name}"
    command = [bench, "run", str(site_path), file.name, "--why", why]
    text = subprocess.run(command, capture_output=True, text=True, check=False).stdout
    Path(file.name).unlink()
    rows = [line for line in text.splitlines() if line.startswith(f"{name} ")]
    broken = sorted(set(re.findall(r"^\\s*([A-Z]{4,})\\b.*", text, re.M)))
    row = rows[0].split() if rows else []
    said = re.findall(r"broken[^\\n]*", text)
    return Outcome(
        name,
        site_path.stem,
        rows[0] if rows else text[-300:],
        "; ".join(broken + said[:3]) or "none",
        row[4] if len(row) > 4 else "?",
        row[6] if len(row) > 6 else "?",
        row[2] if len(row) > 2 else "?",
    )


def main(bench: str, only: str, sites: list[str]) -> int:
    """Play every day whose name begins with `only` at every site; returns 1 if a rule broke."""
    days = tomllib.loads((DAYS / "kinds.toml").read_text())
    jobs = [
        (Path(site), name, str(trouble))
        for name, trouble in days.items()
        for site in sites
        if name.startswith(only)
    ]
    with ThreadPoolExecutor(AT_ONCE) as pool:
        outcomes = list(pool.map(lambda job: play(bench, *job), jobs))
    print("| day | site | score | served | failed | rules broken |")
    print("|---|---|---|---|---|---|")
    for each in outcomes:
        cells = (each.day, each.site, each.score, each.served, each.failed, each.broken)
        print(f"| {' | '.join(cells)} |")
    return 1 if any(each.broken != "none" for each in outcomes) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2], sys.argv[3:]))
