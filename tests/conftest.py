"""What all tests share: known failures, and generated examples that are the same each time."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from hypothesis import HealthCheck, settings

if TYPE_CHECKING:
    import pytest

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
"""Tests that fail for a fault not mended yet, a line each: test | cause | issue."""

settings.register_profile(
    "same-each-time",
    database=None,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("same-each-time")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Pass over the known failures; `.ci/run` prints them."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    names = {line.partition(" | ")[0] for line in lines}
    red = [item for item in items if item.nodeid in names]
    if red:
        config.hook.pytest_deselected(items=red)
        items[:] = [item for item in items if item not in red]
