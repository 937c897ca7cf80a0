"""Model checks are bounded by the number of states, so they get a longer timeout."""

from __future__ import annotations

from pathlib import Path

import pytest

TIMEOUT_S = 1800
"""Timeout of a model check, in seconds."""


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Set the timeout of the tests in this folder."""
    folder = Path(__file__).parent
    for item in items:
        if folder in item.path.parents:
            item.add_marker(pytest.mark.timeout(TIMEOUT_S))
