"""Shares a route's calls among several services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from foldhoist.routing.routes import WeightedService

GOLDEN_RATIO = 0.6180339887498949
"""Fraction of the whole between two draws: the golden ratio spreads them evenly."""


class Split:
    """Draws services so that even few calls come close to the weights.

    Daemons begin at points drawn by lot, so that many of them together come close, too.
    """

    def __init__(self, parts: tuple[WeightedService, ...], rng: Random) -> None:
        self.parts = parts
        self._position = rng.random()

    def draw(self) -> str:
        """Return the service of the next call, whether it has room or not.

        What does not fit into a part is refused: the users' shares hold under load, too.
        """
        self._position = (self._position + GOLDEN_RATIO) % 1.0
        remaining = self._position * sum(part.weight for part in self.parts)
        for part in self.parts:
            remaining -= part.weight
            if remaining < 0:
                return part.service
        return self.parts[-1].service
