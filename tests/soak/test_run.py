"""A short seeded soak: daemon processes, planned stops that may overlap with other faults."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from soak.__main__ import run_seed
from soak.checker import find_violations
from soak.schedule import UNPLANNED, draw_faults

if TYPE_CHECKING:
    from pathlib import Path

DAEMONS = [f"d{number}" for number in range(4)]
SECONDS = 6.0
SEEDS = (1, 3)


def test_faults_are_deterministic_by_seed() -> None:
    assert (
        draw_faults(7, DAEMONS, 60.0)
        == draw_faults(7, DAEMONS, 60.0)
        != draw_faults(8, DAEMONS, 60.0)
    )
    kinds = [{fault.kind for fault in draw_faults(seed, DAEMONS, 60.0)} for seed in range(20)]
    assert any(not found & UNPLANNED for found in kinds)
    assert any(found & UNPLANNED for found in kinds)


@pytest.mark.parametrize("seed", SEEDS)
def test_planned_stops_break_no_promise(seed: int, tmp_path: Path) -> None:
    """Nothing is killed or paused, so no interrupted call is excused."""
    faults = draw_faults(seed, DAEMONS, SECONDS)
    assert any(fault.kind == "stop" for fault in faults)
    assert not any(fault.kind in UNPLANNED for fault in faults)
    history = asyncio.run(run_seed(seed, len(DAEMONS), SECONDS, tmp_path))
    assert find_violations(history, check_stop_time=False) == []
    assert any(each.status == 200 for each in history.asked)
