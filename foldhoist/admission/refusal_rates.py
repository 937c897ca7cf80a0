"""Finds priority ranks that go last because more urgent ones are refused far more; no I/O."""

from __future__ import annotations

from foldhoist.admission.decaying_ratio import DecayingRatio

DECAY_S = 3.0
"""Time constant with which decisions decay, seconds; about ten times the work of a call."""
MIN_DECISIONS = 5.0
"""Decayed count of decisions that a rank needs to put less urgent ranks behind it."""
RATE_MARGIN = 0.3
"""A rank gets low priority if a more urgent one has a refusal rate higher by more than this.

Less urgent calls are mostly nested in others, whose work is lost when they are refused. So small
differences are ignored.
"""


class RefusalRates:
    """The share of refused calls by priority rank; rank 0 is the most urgent."""

    def __init__(self) -> None:
        self._by_rank: dict[int, DecayingRatio] = {}

    def record(self, now: float, rank: int, refused: bool) -> None:
        """Count a call that was started or refused."""
        decisions = self._by_rank.get(rank)
        if decisions is None:
            decisions = self._by_rank[rank] = DecayingRatio(now, DECAY_S)
        decisions.count(now, float(refused))

    def is_low_priority(self, now: float, rank: int) -> bool:
        """Return whether calls of this rank go behind more urgent ones.

        They do while some more urgent rank has a far higher refusal rate. A strict order of ranks
        would starve the less urgent ones under overload.
        """
        own = self._by_rank.get(rank)
        own_ratio = own.ratio if own is not None else 0.0
        for other, decisions in self._by_rank.items():
            if other >= rank or decisions.ratio <= own_ratio + RATE_MARGIN:
                continue
            if decisions.total(now) >= MIN_DECISIONS:
                return True
        return False
