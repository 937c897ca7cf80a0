"""Prints a table of the scores and prices of the days in journal entries, a row for each day.

`python -m tools.prices ID ...`; several entries with the same day give median and range.
"""

import json
import sys
from collections import defaultdict
from pathlib import Path
from statistics import median
from typing import Any, NamedTuple

JOURNAL = Path(__file__).resolve().parent.parent / "journal"
MIN_SHOWN_PRICE = 0.0005
"""Prices below this on every day get no column; smaller ranges are not shown."""


def entry(wanted: str) -> dict[str, Any]:
    """Return the journal entry with this id; raises LookupError if it does not exist."""
    paths = sorted(JOURNAL.glob(f"*-{wanted}.json"))
    if not paths:
        raise LookupError(
            f"{JOURNAL.name} has no entry {wanted}; `fleetbench journal list` has all"
        )
    found: dict[str, Any] = json.loads(paths[0].read_text())
    return found


class Day(NamedTuple):
    """Scores of a day; `prices` are the parts of its worth by kind."""

    name: str
    score: float
    worth: float
    served: float
    prices: dict[str, float]


def days_of(entry: dict[str, Any]) -> list[Day]:
    """Return the days of a journal entry, with prices as absolute values."""
    found: list[Day] = []
    for day in entry["days"]:
        prices = {name: abs(part) for name, _, part in day["prices"]}
        found.append(Day(day["name"], day["score"], day["G"], day["served"], prices))
    return found


def table(days: list[Day]) -> str:
    """Return a Markdown table with a row for each day name."""
    by_name: dict[str, list[Day]] = defaultdict(list)
    for day in days:
        by_name[day.name].append(day)
    kinds = list(dict.fromkeys(kind for day in days for kind in day.prices))
    paid = [
        kind for kind in kinds if any(day.prices.get(kind, 0.0) >= MIN_SHOWN_PRICE for day in days)
    ]
    head = ["day", "plays", "score", "worth", "served in aim", *paid]
    rows = ["| " + " | ".join(head) + " |", "|" + "---|" * len(head)]
    for name, repeats in by_name.items():
        cells = [name, str(len(repeats))]
        cells += [_spread([getattr(day, field) for day in repeats]) for field in Day._fields[1:4]]
        cells += [_spread([day.prices.get(kind, 0.0) for day in repeats]) for kind in paid]
        rows.append("| " + " | ".join(cells) + " |")
    return "\n".join(rows)


def _spread(values: list[float]) -> str:
    middle = f"{median(values):.3f}"
    if len(values) == 1 or max(values) - min(values) < MIN_SHOWN_PRICE:
        return middle
    return f"{middle} ({min(values):.3f} to {max(values):.3f})"


def main(ids: list[str]) -> int:
    """Print the table of these entries; returns 2 if an entry does not exist."""
    try:
        days = [day for wanted in ids for day in days_of(entry(wanted))]
    except LookupError as exc:
        print(exc.args[0])
        return 2
    print(table(days))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
