"""A short seeded soak: daemon processes, planned stops that may overlap with other faults."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from soak.__main__ import run_seed
from soak.checker import find_violations
from soak.run import SoakRun
from soak.schedule import UNPLANNED, PlannedFault, draw_faults

if TYPE_CHECKING:
    from pathlib import Path

    from soak.history import History

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


SIGNALS = [
    PlannedFault("limit", "d1", 0.2, 8.0, "503", (5.5, 5.5)),
    PlannedFault("limit", "d2", 0.5, 8.0, "503", (8.0, 2.0)),
    PlannedFault("leave", "d3", 0.5, 1.5, "503"),
    PlannedFault("kill", "d1", 1.5, 0.1, "503"),
    PlannedFault("stop", "d2", 2.0, 0.1, "503"),
    PlannedFault("kill", "d3", 2.2, 0.1, "503"),
    PlannedFault("pause", "d1", 4.5, 0.8, "503"),
    PlannedFault("reset", "d2", 5.0, 0.0, "503"),
]
"""Upstreams name limits and leave while their owners start again, stand still and are cut."""


def test_upstreams_get_more_than_they_take_or_calls_after_they_leave(tmp_path: Path) -> None:

    async def run() -> History:
        return await SoakRun(5, len(DAEMONS), tmp_path).execute(SIGNALS, 8.5)

    history = asyncio.run(run())
    assert find_violations(history, check_stop_time=False) == []
    assert any(each.limit for each in history.asked)
    assert any(each.leaving for each in history.asked)


@pytest.mark.parametrize("seed", SEEDS)
def test_planned_stops_break_no_promise(seed: int, tmp_path: Path) -> None:
    """Nothing is killed or paused, so no interrupted call is excused."""
    faults = draw_faults(seed, DAEMONS, SECONDS)
    assert any(fault.kind == "stop" for fault in faults)
    assert not any(fault.kind in UNPLANNED for fault in faults)
    history = asyncio.run(run_seed(seed, len(DAEMONS), SECONDS, tmp_path))
    assert find_violations(history, check_stop_time=False) == []
    assert any(each.status == 200 for each in history.asked)
