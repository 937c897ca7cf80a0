"""Logs changes of the upstream's signals, limited in rate."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from foldhoist.admission.bucket import TokenBucket
from foldhoist.delivery.signal_state import (
    Leaving,
    LimitChanged,
    LimitEnded,
    LimitInvalid,
    SignalChange,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

LINES_PER_S = 1.0
"""Sustained rate of lines on limits, lines per second; an upstream may change its limit often."""
LINES_BURST = 20.0
"""Most lines on limits in a burst."""
INVALID_PER_S = 0.1
"""Sustained rate of lines on invalid limits, lines per second; every answer may have one."""


class SignalLog:
    """Writes a line for each change; those above the rate are left out and counted."""

    def __init__(self, now: float) -> None:
        self._limits = TokenBucket(LINES_PER_S, LINES_BURST, now)
        self._invalid = TokenBucket(INVALID_PER_S, 1.0, now)
        self._left_out = 0

    def write(self, now: float, changes: Iterable[SignalChange]) -> None:
        """Log the changes; `now` is in seconds, monotonic."""
        for change in changes:
            match change:
                case LimitChanged(per_s, None):
                    self._write_limit(now, f"rate limit of the upstream: {per_s:g} calls/s")
                case LimitChanged(per_s, before):
                    text = f"rate limit of the upstream: {per_s:g} calls/s, was {before:g}"
                    self._write_limit(now, text)
                case LimitEnded(per_s, after_s):
                    text = f"rate limit of the upstream ended after {after_s:.1f} s"
                    self._write_limit(now, f"{text}, was {per_s:g} calls/s")
                case LimitInvalid(value):
                    if self._invalid.take(now):
                        logger.warning("invalid rate limit of the upstream ignored: {!r}", value)
                case Leaving(incarnation):
                    name = incarnation.instance or "beside this daemon"
                    logger.info("upstream {} signals in its answers that it is leaving", name)

    def _write_limit(self, now: float, text: str) -> None:
        if not self._limits.take(now):
            self._left_out += 1
            return
        more = f" ({self._left_out} lines left out)" if self._left_out else ""
        self._left_out = 0
        logger.info("{}{}", text, more)
