"""The command line of the soak: `python -m soak --seeds 5`."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

import defopt

from soak.judge import broken
from soak.schedule import draw
from soak.world import World

if TYPE_CHECKING:
    from soak.notes import Broken, Notes

SHOWN = 5
"""Broken promises of a seed that are printed."""


async def play(seed: int, processes: int, seconds: float, folder: Path) -> Notes:
    """Play one seed; the daemons' logs stay in the folder."""
    daemons = [f"d{number}" for number in range(processes)]
    world = World(seed, processes, folder)
    return await world.play(draw(seed, daemons, seconds), seconds)


def soak(*, seeds: int = 1, first: int = 1, processes: int = 6, seconds: float = 15.0) -> int:
    """Play seeds one after the other and print what was broken.

    :param seeds: Seeds to play.
    :param first: The first of them; the others follow.
    :param processes: Daemons of each play.
    :param seconds: Time of each play in which faults are injected.
    """
    faulty = 0
    for seed in range(first, first + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        notes = asyncio.run(play(seed, processes, seconds, folder))
        found = broken(notes)
        faulty += bool(found)
        print(line(seed, notes, found), flush=True)
        for each in found[:SHOWN]:
            print(f"  {each.promise}: {each.shown_by}")
        if found:
            print(f"  logs: {folder}")
            again = f"python -m soak --first {seed} --processes {processes} --seconds {seconds}"
            print(f"  again: {again}", flush=True)
    print(f"{seeds} seeds played, {faulty} with a broken promise")
    return 1 if faulty else 0


def line(seed: int, notes: Notes, found: list[Broken]) -> str:
    """Return one line on the play of a seed."""
    statuses = Counter(each.status for each in notes.asked)
    kinds = Counter(each.kind for each in notes.faults)
    answered = ", ".join(f"{status}: {count}" for status, count in sorted(statuses.items()))
    faults = ", ".join(f"{kind} {count}" for kind, count in sorted(kinds.items()))
    return f"seed {seed}: {len(found)} broken; {len(notes.asked)} asked ({answered}); {faults}"


if __name__ == "__main__":
    sys.exit(defopt.run(soak))
