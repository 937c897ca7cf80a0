"""Splits a route's calls among several services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from foldhoist.routing.routes import WeightedService

GOLDEN_RATIO = 0.6180339887498949
"""Step between two draws, as a fraction of all weights; it spreads the draws evenly."""


class Split:
    """Draws services by weight from a low-discrepancy sequence.

    The shares of few calls already come close to the weights. Each daemon starts at a random point,
    so that the total over daemons comes close, too.
    """

    def __init__(self, parts: tuple[WeightedService, ...], rng: Random) -> None:
        self.parts = parts
        self._position = rng.random()

    def draw(self) -> str:
        """Return the service of the next call.

        Load is not considered: a service without free capacity refuses the call, and the shares
        hold under overload.
        """
        self._position = (self._position + GOLDEN_RATIO) % 1.0
        remaining = self._position * sum(part.weight for part in self.parts)
        for part in self.parts:
            remaining -= part.weight
            if remaining < 0:
                return part.service
        return self.parts[-1].service
