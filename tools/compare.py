"""Prints a table that compares the worth of days across runs, from their journal entries.

`python -m tools.compare NAME=ID[,ID...] ...`; several entries of one run give the median.
"""

import sys
from statistics import median

from tools.prices import days_of, entry

Worths = dict[str, list[float]]
"""Worth of each execution of a day, by the day's name."""


def worths_of(ids: str) -> Worths:
    """Return the worth of the days of these entries; raises LookupError for an unknown entry."""
    found: Worths = {}
    for wanted in ids.split(","):
        for day in days_of(entry(wanted)):
            found.setdefault(day.name, []).append(day.worth)
    return found


def table(runs: dict[str, Worths]) -> str:
    """Return a Markdown table of the days common to all runs, a column for each run."""
    first, *others = runs.values()
    shared = [name for name in first if all(name in other for other in others)]
    rows = [f"| day | {' | '.join(runs)} |", "|" + "---|" * (len(runs) + 1)]
    for name in shared:
        cells = [f"{median(run[name]):.3f}" for run in runs.values()]
        rows.append(f"| {name} | {' | '.join(cells)} |")
    means = [sum(median(run[name]) for name in shared) / len(shared) for run in runs.values()]
    rows.append(f"| mean | {' | '.join(f'{mean:.3f}' for mean in means)} |")
    return "\n".join(rows)


def main(named: list[str]) -> int:
    """Print the table; returns 2 if an entry does not exist."""
    try:
        runs = {name: worths_of(ids) for name, _, ids in (each.partition("=") for each in named)}
    except LookupError as exc:
        print(exc.args[0])
        return 2
    print(table(runs))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
