"""Least-squares lines through measured points, with the standard error of the slope."""

from __future__ import annotations

from typing import NamedTuple

import numpy as np


class Line(NamedTuple):
    """y = base + slope * x; `error` is the slope's standard error, `r2` is R squared."""

    base: float
    slope: float
    error: float
    r2: float


def fit(xs: list[float], ys: list[float]) -> Line:
    """Return the least-squares line through the points; expects at least three."""
    x, y = np.array(xs, dtype=float), np.array(ys, dtype=float)
    slope, base = np.polyfit(x, y, 1)
    residuals = y - (base + slope * x)
    total = float(((y - y.mean()) ** 2).sum())
    degrees_of_freedom = max(1, len(xs) - 2)
    error = float(np.sqrt((residuals**2).sum() / degrees_of_freedom / ((x - x.mean()) ** 2).sum()))
    r2 = 1.0 - float((residuals**2).sum()) / total if total else 1.0
    return Line(float(base), float(slope), error, r2)


def points(xs: list[float], ys: list[float]) -> dict[str, object]:
    """Return the points and their line as they are written to results."""
    return {"x": xs, "y": ys, **fit(xs, ys)._asdict()}
