"""Percentiles, medians and spreads of what was measured."""

from __future__ import annotations

import json
import platform
from pathlib import Path
from statistics import median
from typing import Any

RESULTS = Path(__file__).resolve().parent / "results"
"""Where results are written."""


def percentile(values: list[float], share: float) -> float:
    """Return the value below which this share (0 to 100) of the values lies."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share / 100))]


def spread(values: list[float]) -> dict[str, float]:
    """Return median, least and greatest of several runs."""
    return {"median": median(values), "least": min(values), "most": max(values)}


def write_results(name: str, body: dict[str, Any]) -> Path:
    """Write results as JSON with the kind of machine; return the path."""
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{name}.json"
    machine = {"cores": _cores(), "python": platform.python_version()}
    path.write_text(json.dumps({"machine": machine, **body}, indent=1) + "\n")
    return path


def _cores() -> int:
    import os

    return os.cpu_count() or 0
