"""The command line of the soak: `python -m soak --seeds 5`."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

import defopt

from soak.checker import find_violations
from soak.run import SoakRun
from soak.schedule import draw_faults

if TYPE_CHECKING:
    from soak.history import History, Violation

MAX_SHOWN = 5
"""Violations printed for each seed."""


async def run_seed(seed: int, processes: int, seconds: float, folder: Path) -> History:
    """Run one seed; the folder keeps the daemons' settings and logs."""
    daemons = [f"d{number}" for number in range(processes)]
    run = SoakRun(seed, processes, folder)
    return await run.execute(draw_faults(seed, daemons, seconds), seconds)


def soak(*, seeds: int = 1, first: int = 1, processes: int = 6, seconds: float = 15.0) -> int:
    """Run seeds one after the other and print the promises that were broken.

    :param seeds: Number of seeds to run.
    :param first: The first seed; the others count up from it.
    :param processes: Daemons of each run.
    :param seconds: Time of each run in which faults begin, seconds.
    """
    failed_seeds = 0
    for seed in range(first, first + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        history = asyncio.run(run_seed(seed, processes, seconds, folder))
        violations = find_violations(history)
        failed_seeds += bool(violations)
        print(summary(seed, history, violations), flush=True)
        for each in violations[:MAX_SHOWN]:
            print(f"  {each.promise}: {each.evidence}")
        if violations:
            print(f"  logs: {folder}")
            rerun = f"python -m soak --first {seed} --processes {processes} --seconds {seconds}"
            print(f"  run again: {rerun}", flush=True)
    print(f"{seeds} seeds run, {failed_seeds} with a broken promise")
    return 1 if failed_seeds else 0


def summary(seed: int, history: History, violations: list[Violation]) -> str:
    """Return one line on the run of a seed: violations, requests by status, faults by kind."""
    statuses = Counter(each.status for each in history.asked)
    kinds = Counter(each.kind for each in history.faults)
    answered = ", ".join(f"{status}: {count}" for status, count in sorted(statuses.items()))
    faults = ", ".join(f"{kind} {count}" for kind, count in sorted(kinds.items()))
    return (
        f"seed {seed}: {len(violations)} broken; {len(history.asked)} asked ({answered}); {faults}"
    )


if __name__ == "__main__":
    sys.exit(defopt.run(soak))
