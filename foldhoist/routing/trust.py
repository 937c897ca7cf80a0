"""Weight of load reports, learned from how well they predict the calls ahead."""

from __future__ import annotations

SMOOTHING = 0.02
"""Weight of the newest answer in the running means."""


class Trust:
    """Compares load reports with a running mean as predictions of the calls of other daemons.

    `weight` is 0 while reports predict no better than the mean, which happens if they are late or
    wrong; upstreams are then compared by own calls in flight alone. It is 1 once the error of
    reports is at most half that of the mean.
    """

    __slots__ = ("_mean", "_mean_error", "_report_error", "weight")

    def __init__(self) -> None:
        self.weight = 0.5
        self._mean = 0.0
        self._report_error = 0.0
        self._mean_error = 0.0

    def update(self, own: int, others: float, ahead: int) -> None:
        """Add an answer, with the calls at the upstream before the answered one.

        `own` and `others` were known and estimated when it was sent; `ahead` were found there.
        """
        met = max(0, ahead - own)
        self._report_error += SMOOTHING * (abs(others - met) - self._report_error)
        self._mean_error += SMOOTHING * (abs(self._mean - met) - self._mean_error)
        self._mean += SMOOTHING * (met - self._mean)
        if self._mean_error <= 0.0:
            return
        self.weight = min(1.0, max(0.0, 2.0 * (1.0 - self._report_error / self._mean_error)))
