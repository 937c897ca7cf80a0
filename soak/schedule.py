"""Draws the random faults of one seed; no I/O."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

KINDS = ("stop", "stop", "stop", "kill", "pause", "store", "full", "slow")
"""Kinds of faults; planned stops, which must not interrupt any call, are the most frequent."""
MEAN_GAP_S = 1.2
"""Mean time between the starts of two faults, seconds; short enough that faults overlap."""
MEAN_DURATION_S = {"stop": 0.4, "kill": 0.4, "pause": 0.6, "store": 2.0, "full": 0.8, "slow": 1.5}
"""Mean duration of a fault by kind, seconds; after a stop or kill, the time until the restart."""
STORE_FAULTS = ("503", "reset", "silent")
"""How the store fails: status 503, a closed connection, or no answer."""
PLANNED_ONLY_SHARE = 0.5
"""Share of seeds without unplanned faults, in which no interrupted call is excused."""
UNPLANNED = frozenset({"kill", "pause"})
"""Kinds of faults left out of those seeds."""


class PlannedFault(NamedTuple):
    """A scheduled fault; times in seconds since traffic started."""

    kind: str
    daemon: str
    at: float
    duration: float
    store_fault: str


def draw_faults(seed: int, daemons: list[str], length: float) -> list[PlannedFault]:
    """Return the faults of a seed by start time; `length` is in seconds."""
    rng = Random(seed)
    planned_only = rng.random() < PLANNED_ONLY_SHARE
    kinds = [kind for kind in KINDS if not planned_only or kind not in UNPLANNED]
    faults: list[PlannedFault] = []
    at = rng.expovariate(1 / MEAN_GAP_S)
    while at < length:
        kind = rng.choice(kinds)
        duration = rng.expovariate(1 / MEAN_DURATION_S[kind])
        faults.append(
            PlannedFault(kind, rng.choice(daemons), at, duration, rng.choice(STORE_FAULTS))
        )
        at += rng.expovariate(1 / MEAN_GAP_S)
    return faults
