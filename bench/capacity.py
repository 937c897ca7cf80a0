"""Slopes of what a daemon costs, and the page docs/CAPACITY.md that follows from them.

Each slope is measured at several sizes and fitted with a straight line; the page multiplies it by
the size of the users' target. `python -m bench.capacity measure` measures, `page` writes the page
from the results kept, nothing does both.
"""

from __future__ import annotations

import json
import sys
import time
from typing import TYPE_CHECKING, Any

from bench import capacity_page, capacity_slopes, capacity_spread
from bench.figures import RESULTS, write_results

if TYPE_CHECKING:
    from collections.abc import Callable

PARTS: dict[str, Callable[[], Any]] = {
    "calls": capacity_slopes.calls,
    "tracked": capacity_slopes.tracked,
    "fleet": capacity_slopes.fleet_size,
    "big": capacity_slopes.big,
    "links": capacity_slopes.links,
    "idle": capacity_slopes.idle,
    "messages": capacity_slopes.messages,
    "keys": capacity_slopes.keys,
    "spread": capacity_spread.spread_of_a_change,
}
"""What is measured, in this order; each part can be measured alone."""


def measure(names: list[str]) -> None:
    """Measure some parts, or all, and keep the results."""
    path = RESULTS / "capacity.json"
    kept: dict[str, Any] = json.loads(path.read_text()) if path.exists() else {}
    kept.pop("machine", None)
    for name in names or list(PARTS):
        began = time.monotonic()
        kept[name] = {"at": time.strftime("%Y-%m-%d"), **PARTS[name]()}
        print(f"{name}: measured in {time.monotonic() - began:.0f} s", flush=True)
        write_results("capacity", kept)


def main() -> None:
    """Measure, write the page, print each row against its ceiling."""
    what, names = (sys.argv[1], sys.argv[2:]) if len(sys.argv) > 1 else ("all", [])
    if what in ("all", "measure"):
        measure(names)
    if what in ("all", "page"):
        capacity_page.write()


if __name__ == "__main__":
    main()
