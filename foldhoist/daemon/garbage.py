"""Settings of Python's garbage collector for a daemon."""

from __future__ import annotations

import gc

THRESHOLDS = (20_000, 20, 50)
"""Allocations before a collection of the youngest generation, and collections before the next ones.

Rarer than by default: a collection delays the calls that are under way.
"""


def configure_gc() -> None:
    """Exclude everything that lives after the start from collections, and collect rarely."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*THRESHOLDS)
