"""A short seeded soak: real processes, planned stops that overlap with others and other faults."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from soak.__main__ import play
from soak.judge import broken
from soak.schedule import UNPLANNED, draw

if TYPE_CHECKING:
    from pathlib import Path

DAEMONS = [f"d{number}" for number in range(4)]
SECONDS = 6.0
SEEDS = (1, 3)


def test_faults_follow_from_the_seed() -> None:
    assert draw(7, DAEMONS, 60.0) == draw(7, DAEMONS, 60.0) != draw(8, DAEMONS, 60.0)
    kinds = [{fault.kind for fault in draw(seed, DAEMONS, 60.0)} for seed in range(20)]
    assert any(not found & UNPLANNED for found in kinds)
    assert any(found & UNPLANNED for found in kinds)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_short_play_with_planned_stops_breaks_no_promise(seed: int, tmp_path: Path) -> None:
    """Nothing is killed or paused here: no call that was cut is excused."""
    faults = draw(seed, DAEMONS, SECONDS)
    assert any(fault.kind == "stop" for fault in faults)
    assert not any(fault.kind in UNPLANNED for fault in faults)
    notes = asyncio.run(play(seed, len(DAEMONS), SECONDS, tmp_path))
    assert broken(notes, timed=False) == []
    assert any(each.status == 200 for each in notes.asked)
