"""Draws the faults of one seed; no I/O."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

KINDS = ("stop", "stop", "stop", "kill", "pause", "store", "full", "slow")
"""Kinds of faults, planned stops most often: they must cut nothing."""
GAP_S = 1.2
"""Mean time between the beginnings of two faults, seconds: most overlap with the next."""
LASTS_S = {"stop": 0.4, "kill": 0.4, "pause": 0.6, "store": 2.0, "full": 0.8, "slow": 1.5}
"""Mean length of a fault, seconds; of a stop or a kill, until the process is started again."""
STORE_FAULTS = ("503", "reset", "silent")
"""How the store turns a daemon away."""
PLANNED_SHARE = 0.5
"""Share of seeds without any unplanned fault: there nothing excuses a call that was cut."""
UNPLANNED = frozenset({"kill", "pause"})
"""Kinds that such seeds do not have."""


class Planned(NamedTuple):
    """A fault to come; times in seconds from the start of traffic."""

    kind: str
    daemon: str
    at: float
    lasts: float
    how: str


def draw(seed: int, daemons: list[str], length: float) -> list[Planned]:
    """Return the faults of a seed, in order."""
    rng = Random(seed)
    planned_only = rng.random() < PLANNED_SHARE
    kinds = [kind for kind in KINDS if not planned_only or kind not in UNPLANNED]
    found: list[Planned] = []
    at = rng.expovariate(1 / GAP_S)
    while at < length:
        kind = rng.choice(kinds)
        lasts = rng.expovariate(1 / LASTS_S[kind])
        found.append(Planned(kind, rng.choice(daemons), at, lasts, rng.choice(STORE_FAULTS)))
        at += rng.expovariate(1 / GAP_S)
    return found
