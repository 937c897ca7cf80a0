"""A ratio of counts that decay exponentially; no I/O, no clock."""

from __future__ import annotations

from math import exp


class DecayingRatio:
    """A decaying total and the part of it that has some property; `now` is in seconds."""

    __slots__ = ("_at", "_decay_s", "_part", "_total")

    def __init__(self, now: float, decay_s: float) -> None:
        self._decay_s = decay_s
        self._at = now
        self._total = 0.0
        self._part = 0.0

    def count(self, now: float, part: float, times: float = 1.0) -> None:
        """Add `times` to the total; `part`, 0 to 1, is the share of it that has the property."""
        self._decay(now)
        self._total += times
        self._part += part * times

    def total(self, now: float) -> float:
        """Return the decayed total: a count weighs 1/e of its value after `decay_s` seconds."""
        self._decay(now)
        return self._total

    @property
    def ratio(self) -> float:
        """Return the share of the total that has the property, 0 to 1; 0 if nothing was counted."""
        return self._part / self._total if self._total else 0.0

    def _decay(self, now: float) -> None:
        kept = exp(-max(0.0, now - self._at) / self._decay_s)
        self._total *= kept
        self._part *= kept
        self._at = now
