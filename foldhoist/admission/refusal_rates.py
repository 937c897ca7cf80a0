"""Which ranks are refused far more often than less urgent ones at one owner; no I/O, no clock."""

from __future__ import annotations

from foldhoist.admission.decaying_ratio import DecayingRatio

DECAY_S = 3.0
"""A decision counts by 1/e after this long, seconds: about ten times a call's work."""
MIN_DECISIONS = 5.0
"""Decisions of a rank before it is judged."""
RATE_MARGIN = 0.3
"""A rank yields when a more urgent one is refused a share larger by this.

Calls that yield are mostly parts of others, whose work is lost when they are refused, so where all
ranks are refused somewhat none is to yield.
"""


class RefusalRates:
    """The share of calls that was refused, by rank; 0 is the most urgent."""

    def __init__(self) -> None:
        self._by_rank: dict[int, DecayingRatio] = {}

    def record(self, now: float, rank: int, refused: bool) -> None:
        """Count a call that was started or refused."""
        decisions = self._by_rank.get(rank)
        if decisions is None:
            decisions = self._by_rank[rank] = DecayingRatio(now, DECAY_S)
        decisions.count(now, float(refused))

    def is_low_priority(self, now: float, rank: int) -> bool:
        """Return whether calls of this rank are to let more urgent ones go first.

        They are while some more urgent rank is refused a far larger share. Strict order would leave
        the less urgent ones nothing where not all fits.
        """
        own = self._by_rank.get(rank)
        own_ratio = own.ratio if own is not None else 0.0
        for other, decisions in self._by_rank.items():
            if other >= rank or decisions.ratio <= own_ratio + RATE_MARGIN:
                continue
            if decisions.total(now) >= MIN_DECISIONS:
                return True
        return False
