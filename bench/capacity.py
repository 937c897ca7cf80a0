"""Measures how the cost of a daemon grows, and writes docs/CAPACITY.md.

Each cost is measured at several sizes and fitted with a straight line, which the page evaluates at
the target size. `python -m bench.capacity measure [NAME...]` measures all parts or those named,
`page` writes the page from stored results, no argument does both.
"""

from __future__ import annotations

import json
import sys
import time
from typing import TYPE_CHECKING, Any

from bench import capacity_page, capacity_signals, capacity_slopes, capacity_spread
from bench.figures import RESULTS, write_results

if TYPE_CHECKING:
    from collections.abc import Callable

PARTS: dict[str, Callable[[], Any]] = {
    "calls": capacity_slopes.calls,
    "tracked": capacity_slopes.tracked,
    "fleet": capacity_slopes.fleet_size,
    "big": capacity_slopes.adoption,
    "links": capacity_slopes.links,
    "idle": capacity_slopes.idle,
    "messages": capacity_slopes.messages,
    "keys": capacity_slopes.keys,
    "signals": capacity_signals.signals,
    "spread": capacity_spread.propagation,
}
"""Parts in the order of measurement, by their names in the results."""


def measure(names: list[str]) -> None:
    """Measure the named parts, by default all, and merge them into the stored results."""
    path = RESULTS / "capacity.json"
    results: dict[str, Any] = json.loads(path.read_text()) if path.exists() else {}
    results.pop("machine", None)
    for name in names or list(PARTS):
        began = time.monotonic()
        results[name] = {"at": time.strftime("%Y-%m-%d"), **PARTS[name]()}
        print(f"{name}: measured in {time.monotonic() - began:.0f} s", flush=True)
        write_results("capacity", results)


def main() -> None:
    """Run the steps that the command line selects."""
    what, names = (sys.argv[1], sys.argv[2:]) if len(sys.argv) > 1 else ("all", [])
    if what in ("all", "measure"):
        measure(names)
    if what in ("all", "page"):
        capacity_page.write()


if __name__ == "__main__":
    main()
