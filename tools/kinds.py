"""Runs a day for each kind of fault or planned operation on an external benchmark.

Prints a table of the results. `python -m tools.kinds PROGRAM all|DAY[,DAY...] SITE...`; program
and site files are not part of the repository.
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
MAX_PARALLEL = 4
"""Number of days run at the same time."""


class DayResult(NamedTuple):
    """Result of a day at a site, as table cells."""

    day: str
    site: str
    broken: str
    worth: str
    served: str
    failed: str


PLAN = (
    '{ at = 5.0, kind = "config_change", how = "idle" }',
    '{ at = 6.0, kind = "scale_in", share = 0.1 }',
    '{ at = 22.0, kind = "roll_term", share = 0.3, gap_s = 1.0, how = "busy" }',
    '{ at = 23.0, kind = "config_change", how = "route" }',
)
"""Planned operations that accompany every kind of fault."""
PLANNED = ("release", "scale_in", "scale_out", "roll_term", "config_", "big_config", "hup")
"""Prefixes of the kinds that are planned operations rather than faults."""


def day_text(site: dict, name: str, fault: str) -> str:
    """Return the TOML of a day with this fault, based on the site's first day."""
    base = site["day"][0]
    lines = ["[[day]]", f'name = "{name}"', 'slot = "trouble"', "seed = 7"]
    lines += [f"one = {base['one']}", f"zero = {base['zero']}", "goal = { floor = 0.0 }"]
    lines += ["floor_classes = [0.0]", "floor_zones = [0.0]", "labels = []", "wall = 3.0"]
    planned = name.startswith(PLANNED)
    plan = ", ".join([*PLAN, fault] if planned else PLAN)
    faults = '{ at = 9.0, kind = "burst", x = 1.5, for_s = 3.0 }'
    faults = faults if planned else f"{faults}, {fault}"
    return "\n".join([*lines, "light = true", f"plan = [ {plan} ]", f"faults = [ {faults} ]", ""])


def run_day(bench: str, site_path: Path, name: str, fault: str) -> DayResult:
    """Run one day and return its result."""
    site = tomllib.loads(site_path.read_text())
    with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as file:
        file.write(day_text(site, name, fault))
    why = f"map of the kinds of trouble, one at a time: {name}"
    command = [bench, "run", str(site_path), file.name, "--why", why]
    text = subprocess.run(command, capture_output=True, text=True, check=False).stdout
    Path(file.name).unlink()
    rows = [line for line in text.splitlines() if line.startswith(f"{name} ")]
    row = rows[0].split() if rows else []
    broken = re.findall(r"(?m)rules broken: .*$|^.*\bfault: .*$", text)
    return DayResult(
        name,
        site_path.stem,
        " / ".join(line.strip()[:160] for line in broken[:3]) or ("none" if row else text[-300:]),
        row[3] if len(row) > 3 else "?",
        row[4] if len(row) > 4 else "?",
        row[6] if len(row) > 6 else "?",
    )


def main(bench: str, only: str, sites: list[str]) -> int:
    """Run days at every site; returns 1 if a rule was broken and 2 for an unknown day.

    `only` is a comma-separated list of days, or "all".
    """
    days = tomllib.loads((DAYS / "kinds.toml").read_text())
    wanted = list(days) if only == "all" else only.split(",")
    unknown = [name for name in wanted if name not in days]
    if unknown:
        print(f"{DAYS / 'kinds.toml'} has no day {', '.join(unknown)}; its days are {list(days)}")
        return 2
    jobs = [
        (Path(site), name, str(fault))
        for name, fault in days.items()
        for site in sites
        if name in wanted
    ]
    with ThreadPoolExecutor(MAX_PARALLEL) as pool:
        results = list(pool.map(lambda job: run_day(bench, *job), jobs))
    print("| day | site | worth | served | failed | rules broken |")
    print("|---|---|---|---|---|---|")
    for each in results:
        cells = (each.day, each.site, each.worth, each.served, each.failed, each.broken)
        print(f"| {' | '.join(cells)} |")
    return 1 if any(each.broken != "none" for each in results) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2], sys.argv[3:]))
