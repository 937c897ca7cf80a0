"""Percentiles and ranges of measurements, and the files of results."""

from __future__ import annotations

import json
import platform
from pathlib import Path
from statistics import median
from typing import Any

RESULTS = Path(__file__).resolve().parent / "results"
"""Folder of the results."""


def percentile(values: list[float], share: float) -> float:
    """Return a percentile (0 to 100) of the values; NaN if there are none."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share / 100))]


def spread(values: list[float]) -> dict[str, float]:
    """Return median, minimum and maximum of the values."""
    return {"median": median(values), "least": min(values), "most": max(values)}


def write_results(name: str, body: dict[str, Any]) -> Path:
    """Write results as JSON with core count and Python version; returns the path."""
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{name}.json"
    machine = {"cores": _cores(), "python": platform.python_version()}
    path.write_text(json.dumps({"machine": machine, **body}, indent=1) + "\n")
    return path


def _cores() -> int:
    import os

    return os.cpu_count() or 0
