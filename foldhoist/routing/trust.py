"""How far reports of load are to be trusted: as far as they have foretold what calls met."""

from __future__ import annotations

SMOOTHING = 0.02
"""Weight of the newest answer in the running means."""


class Trust:
    """Compares two ways to foretell how many calls are ahead of one: by report, and by the mean.

    A report that is late, or misleads, foretells worse than the mean of what others had there. It
    then counts for nothing, and only the own calls in flight tell upstreams apart.
    """

    __slots__ = ("_mean", "_mean_error", "_report_error", "weight")

    def __init__(self) -> None:
        self.weight = 0.5
        self._mean = 0.0
        self._report_error = 0.0
        self._mean_error = 0.0

    def update(self, own: int, others: float, ahead: int) -> None:
        """Take in an answer: what was believed when its call was sent, and what it met."""
        met = max(0, ahead - own)
        self._report_error += SMOOTHING * (abs(others - met) - self._report_error)
        self._mean_error += SMOOTHING * (abs(self._mean - met) - self._mean_error)
        self._mean += SMOOTHING * (met - self._mean)
        if self._mean_error <= 0.0:
            return
        self.weight = min(1.0, max(0.0, 2.0 * (1.0 - self._report_error / self._mean_error)))
