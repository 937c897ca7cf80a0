"""A ratio of what was total lately, in which older counts weigh less; no I/O, no clock."""

from __future__ import annotations

from math import exp


class DecayingRatio:
    """How much was total, and the part of it that is looked for; `now` is in seconds."""

    __slots__ = ("_at", "_decay_s", "_part", "_total")

    def __init__(self, now: float, decay_s: float) -> None:
        self._decay_s = decay_s
        self._at = now
        self._total = 0.0
        self._part = 0.0

    def count(self, now: float, part: float, times: float = 1.0) -> None:
        """Count one, or one so many times; `part` is how much of it is looked for, 0 to 1."""
        self._decay(now)
        self._total += times
        self._part += part * times

    def total(self, now: float) -> float:
        """Return how many were total, older ones less: by 1/e after `decay_s` seconds."""
        self._decay(now)
        return self._total

    @property
    def ratio(self) -> float:
        """Return the part of what was total, 0 to 1; both fade alike."""
        return self._part / self._total if self._total else 0.0

    def _decay(self, now: float) -> None:
        kept = exp(-max(0.0, now - self._at) / self._decay_s)
        self._total *= kept
        self._part *= kept
        self._at = now
