"""Shares a route's calls among several services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container
    from random import Random

    from foldhoist.routing.routes import Part

STEP = 0.6180339887498949
"""Fraction of the whole between two draws: the golden ratio spreads them evenly."""


class Split:
    """Draws services so that even few calls come close to the weights.

    Daemons begin at points drawn by lot, so that many of them together come close, too.
    """

    def __init__(self, parts: tuple[Part, ...], rng: Random) -> None:
        self.parts = parts
        self._at = rng.random()

    def draw(self, able: Container[str]) -> str:
        """Return the service of the next call: one of those that are able, if any is."""
        self._at = (self._at + STEP) % 1.0
        parts = [part for part in self.parts if part.weight > 0 and part.service in able]
        if not parts:
            parts = [part for part in self.parts if part.weight > 0] or list(self.parts)
        left = self._at * sum(part.weight for part in parts)
        for part in parts:
            left -= part.weight
            if left < 0:
                return part.service
        return parts[-1].service
