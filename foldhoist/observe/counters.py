"""Converts counters to dictionaries."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from _typeshed import DataclassInstance


def counters_of(counters: DataclassInstance) -> dict[str, int]:
    """Return the counters in an instance of one of the `Counters` classes, by name."""
    return asdict(counters)
