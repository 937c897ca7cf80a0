"""Model checks end by the number of states, not by time: a busy machine takes them minutes."""

from __future__ import annotations

from pathlib import Path

import pytest

LONGEST_S = 1800
"""Time after which a check that hangs is ended, seconds."""


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Give the checks of this folder more time than other tests have."""
    folder = Path(__file__).parent
    for item in items:
        if folder in item.path.parents:
            item.add_marker(pytest.mark.timeout(LONGEST_S))
