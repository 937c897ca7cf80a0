"""Straight lines through measured points, with the error of the slope."""

from __future__ import annotations

from typing import NamedTuple

import numpy as np


class Line(NamedTuple):
    """y = base + slope * x; `error` is the slope's standard error, `r2` how straight it is."""

    base: float
    slope: float
    error: float
    r2: float


def fit(xs: list[float], ys: list[float]) -> Line:
    """Return the least-squares line through the points; at least three are needed."""
    x, y = np.array(xs, dtype=float), np.array(ys, dtype=float)
    slope, base = np.polyfit(x, y, 1)
    rest = y - (base + slope * x)
    total = float(((y - y.mean()) ** 2).sum())
    freedom = max(1, len(xs) - 2)
    error = float(np.sqrt((rest**2).sum() / freedom / ((x - x.mean()) ** 2).sum()))
    r2 = 1.0 - float((rest**2).sum()) / total if total else 1.0
    return Line(float(base), float(slope), error, r2)


def points(xs: list[float], ys: list[float]) -> dict[str, object]:
    """Return points and their line, as results keep them."""
    return {"x": xs, "y": ys, **fit(xs, ys)._asdict()}
