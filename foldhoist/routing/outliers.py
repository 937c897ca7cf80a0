"""Ejects upstreams that fail or are slow compared to the others, and tries them again later."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from foldhoist.routing.upstream_stats import UpstreamStats

EJECT_ERROR_SHARE = 0.5
"""An upstream is ejected at this share of errors or above."""
EJECT_MIN_RESULTS = 3
"""Results needed before an upstream can be ejected."""
EJECT_SLOW_FACTOR = 6.0
"""An upstream is ejected if its latency exceeds the median of the others by this factor."""
EJECT_MIN_LATENCY_S = 0.01
"""An upstream with a latency below this is never ejected as slow, seconds."""
FIRST_EJECTION_S = 0.5
"""Length of the first ejection, seconds; it doubles with each further one."""
MAX_EJECTION_S = 30.0
"""Longest ejection, seconds."""
TRIAL_CALLS = 3
"""Successful trial calls, one at a time, that end the probation after an ejection."""
TRIAL_PAUSE_S = 0.05
"""Minimum time between the last result and the next trial call, seconds."""


class OutlierEjection:
    """Decides which upstreams of one service are ejected; `now` is monotonic time in seconds.

    `max_share` is the largest share of the upstreams that may be ejected at a time.
    """

    def __init__(self, max_share: float) -> None:
        self.max_share = max_share

    def record_result(
        self,
        upstreams: Mapping[str, UpstreamStats],
        stats: UpstreamStats,
        now: float,
        latency_s: float,
        failed: bool,
    ) -> None:
        """Record a result of one of the upstreams; it may be ejected, or end its probation."""
        stats.record_result(now, latency_s, failed)
        if stats.trial_left:
            self._record_trial(upstreams, stats, now, latency_s, failed)
            return
        if stats.ejected_until > now or stats.results < EJECT_MIN_RESULTS:
            return
        if stats.errors >= EJECT_ERROR_SHARE or _is_slow(upstreams, stats.name, stats.latency_s):
            self._eject(upstreams, stats, now)

    def _record_trial(
        self,
        upstreams: Mapping[str, UpstreamStats],
        stats: UpstreamStats,
        now: float,
        latency_s: float,
        failed: bool,
    ) -> None:
        if failed or _is_slow(upstreams, stats.name, latency_s):
            self._eject(upstreams, stats, now)
            return
        stats.trial_left -= 1
        if stats.trial_left == 0:
            stats.ejections = 0
            stats.errors = 0.0
            stats.latency_s = latency_s

    def _eject(
        self, upstreams: Mapping[str, UpstreamStats], stats: UpstreamStats, now: float
    ) -> None:
        ejected = sum(1 for each in upstreams.values() if each.ejected_until > now)
        if ejected + 1 > self.max_share * len(upstreams):
            return
        length_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**stats.ejections)
        stats.ejections += 1
        stats.ejected_until = now + length_s
        stats.trial_left = TRIAL_CALLS


def is_ready_for_trial(stats: UpstreamStats, now: float) -> bool:
    """Return whether a trial call may be sent to an upstream on probation now."""
    return stats.in_flight == 0 and now - stats.last_result_at >= TRIAL_PAUSE_S


def _is_slow(upstreams: Mapping[str, UpstreamStats], name: str, latency_s: float) -> bool:
    if latency_s < EJECT_MIN_LATENCY_S:
        return False
    others = [
        stats.latency_s
        for stats in upstreams.values()
        if stats.name != name and stats.results >= EJECT_MIN_RESULTS
    ]
    return bool(others) and latency_s > EJECT_SLOW_FACTOR * median(others)
