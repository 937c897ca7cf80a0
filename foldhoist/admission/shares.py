"""Which ranks are refused far more often than less urgent ones at one owner; no I/O, no clock."""

from __future__ import annotations

from math import exp

KEPT_S = 3.0
"""A decision counts by 1/e after this long, seconds: about ten times a call's work."""
LEAST_DECISIONS = 5.0
"""Decisions of a rank before it is judged."""
MARGIN = 0.3
"""A rank yields when a more urgent one is refused a share larger by this.

Calls that yield are mostly parts of others, whose work is lost when they are refused. Yielding from
0.02 on cost 0.02 to 0.05 of worth on two days where all ranks were refused somewhat; from 0.3 on it
costs nothing there and keeps 0.02 on a day where a rank was refused 0.39 beside 0.04.
"""


class _Decisions:
    """Decisions of one rank, older ones count less."""

    __slots__ = ("all", "at", "refused")

    def __init__(self, now: float) -> None:
        self.all = 0.0
        self.refused = 0.0
        self.at = now

    def fade(self, now: float) -> None:
        kept = exp(-(now - self.at) / KEPT_S)
        self.all *= kept
        self.refused *= kept
        self.at = now


class Shares:
    """The share of calls that was refused, by rank; 0 is the most urgent."""

    def __init__(self) -> None:
        self._by_rank: dict[int, _Decisions] = {}

    def decided(self, now: float, rank: int, refused: bool) -> None:
        """Count a call that was started or refused."""
        decisions = self._by_rank.get(rank)
        if decisions is None:
            decisions = self._by_rank[rank] = _Decisions(now)
        decisions.fade(now)
        decisions.all += 1.0
        decisions.refused += refused

    def yields(self, now: float, rank: int) -> bool:
        """Return whether calls of this rank are to let more urgent ones go first.

        They are while some more urgent rank is refused a far larger share. Strict order would leave
        the less urgent ones nothing where not all fits.
        """
        own = self._by_rank.get(rank)
        own_share = _share(own, now) if own is not None else 0.0
        for other, decisions in self._by_rank.items():
            if other >= rank:
                continue
            share = _share(decisions, now)
            if decisions.all >= LEAST_DECISIONS and share > own_share + MARGIN:
                return True
        return False


def _share(decisions: _Decisions, now: float) -> float:
    decisions.fade(now)
    return decisions.refused / decisions.all if decisions.all else 0.0
