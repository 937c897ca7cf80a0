"""Draws the random faults of one seed; no I/O."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

KINDS = (
    *("stop", "stop", "stop", "kill", "pause", "store", "full", "slow"),
    *("limit", "limit", "leave", "leave", "reset"),
)
"""Kinds of faults; planned stops, which must not interrupt any call, are the most frequent."""
MEAN_GAP_S = 1.2
"""Mean time between the starts of two faults, seconds; short enough that faults overlap."""
MEAN_DURATION_S = {
    **{"stop": 0.4, "kill": 0.4, "pause": 0.6, "store": 2.0, "full": 0.8, "slow": 1.5},
    **{"limit": 6.0, "leave": 3.0, "reset": 0.0},
}
"""Mean duration of a fault by kind, seconds; after a stop or kill, the time until the restart.

`limit` and `leave` last long beside the times from which they bind; 0 stands for a moment.
"""
LIMITS_PER_S = (0.0, 2.0, 5.5, 8.0, 15.0)
"""Limits that upstreams name, requests a second."""
ANNOUNCED_SHARE = 0.5
"""Share of leaving upstreams whose heartbeats say so as well."""
SLOW_LIMITED_SHARE = 0.5
"""Share of upstreams that are slow while they name a limit."""
STORE_FAULTS = ("503", "reset", "silent")
"""How the store fails: status 503, a closed connection, or no answer."""
PLANNED_ONLY_SHARE = 0.5
"""Share of seeds without unplanned faults, in which no interrupted call is excused."""
UNPLANNED = frozenset({"kill", "pause", "reset"})
"""Kinds of faults left out of those seeds."""


class PlannedFault(NamedTuple):
    """A scheduled fault; times in seconds since traffic started.

    An upstream names the first of the `limits`, and the second one from the middle on; it may be
    `slow` meanwhile. One that leaves says so in its heartbeats too if it `announces`, else in its
    answers only.
    """

    kind: str
    daemon: str
    at: float
    duration: float
    store_fault: str
    limits: tuple[float, float] = (5.5, 5.5)
    announces: bool = False
    slow: bool = False


def draw_faults(seed: int, daemons: list[str], length: float) -> list[PlannedFault]:
    """Return the faults of a seed by start time; `length` is in seconds."""
    rng = Random(seed)
    planned_only = rng.random() < PLANNED_ONLY_SHARE
    kinds = [kind for kind in KINDS if not planned_only or kind not in UNPLANNED]
    faults: list[PlannedFault] = []
    at = rng.expovariate(1 / MEAN_GAP_S)
    while at < length:
        kind = rng.choice(kinds)
        mean_s = MEAN_DURATION_S[kind]
        duration = rng.expovariate(1 / mean_s) if mean_s else 0.0
        daemon, store_fault = rng.choice(daemons), rng.choice(STORE_FAULTS)
        limits = (rng.choice(LIMITS_PER_S), rng.choice(LIMITS_PER_S))
        announces, slow = rng.random() < ANNOUNCED_SHARE, rng.random() < SLOW_LIMITED_SHARE
        planned = PlannedFault(kind, daemon, at, duration, store_fault, limits, announces, slow)
        faults.append(planned)
        at += rng.expovariate(1 / MEAN_GAP_S)
    return faults
