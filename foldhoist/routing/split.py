"""Splits a route's calls among several services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from foldhoist.routing.routes import WeightedService

GOLDEN_RATIO = 0.6180339887498949
"""Step between two draws as a fraction of the sum of weights; it spreads the draws evenly."""


class Split:
    """Draws services by weight from a low-discrepancy sequence.

    Even after a few calls the shares are close to the weights. Each daemon starts at a random
    point, so that this also holds for the calls of all daemons together.
    """

    def __init__(self, parts: tuple[WeightedService, ...], rng: Random) -> None:
        self.parts = parts
        self._position = rng.random()

    def draw(self) -> str:
        """Return the service of the next call.

        Load is not considered: the shares hold under overload, and a service without free capacity
        refuses the call.
        """
        self._position = (self._position + GOLDEN_RATIO) % 1.0
        remaining = self._position * sum(part.weight for part in self.parts)
        for part in self.parts:
            remaining -= part.weight
            if remaining < 0:
                return part.service
        return self.parts[-1].service
