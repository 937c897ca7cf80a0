"""A share of what was counted lately, in which older counts weigh less; no I/O, no clock."""

from __future__ import annotations

from math import exp


class FadingShare:
    """How much was counted, and the part of it that is looked for; `now` is in seconds."""

    __slots__ = ("_at", "_kept_s", "_part", "_whole")

    def __init__(self, now: float, kept_s: float) -> None:
        self._kept_s = kept_s
        self._at = now
        self._whole = 0.0
        self._part = 0.0

    def count(self, now: float, part: float, times: float = 1.0) -> None:
        """Count one, or one so many times; `part` is how much of it is looked for, 0 to 1."""
        self._fade(now)
        self._whole += times
        self._part += part * times

    def counted(self, now: float) -> float:
        """Return how many were counted, older ones less: by 1/e after `kept_s` seconds."""
        self._fade(now)
        return self._whole

    @property
    def share(self) -> float:
        """Return the part of what was counted, 0 to 1; both fade alike."""
        return self._part / self._whole if self._whole else 0.0

    def _fade(self, now: float) -> None:
        kept = exp(-max(0.0, now - self._at) / self._kept_s)
        self._whole *= kept
        self._part *= kept
        self._at = now
