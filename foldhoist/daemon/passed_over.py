"""Counts what others wrote and cannot be used, and logs it within a rate limit."""

from __future__ import annotations

import time

from loguru import logger

from foldhoist.admission.bucket import TokenBucket

LOG_LINES_PER_S = 0.1
"""Highest mean rate of log lines about entries that cannot be used, lines per second."""
LOG_LINES_BURST = 5.0
"""Most such lines at once."""
MAX_SHOWN_CHARS = 200
"""Longest part of a name and of a fault in a log line, characters."""


class PassedOver:
    """Counts the entries that cannot be used."""

    def __init__(self) -> None:
        self.count = 0
        self._log_bucket = TokenBucket(LOG_LINES_PER_S, LOG_LINES_BURST, time.monotonic())

    def add(self, kind: str, name: str, fault: str) -> None:
        """Count an entry that cannot be used; `name` is what is known of its name."""
        self.count += 1
        if self._log_bucket.take(time.monotonic()):
            shown, why = name[:MAX_SHOWN_CHARS], fault[:MAX_SHOWN_CHARS]
            logger.warning("{} {!r} cannot be used, ignored: {}", kind, shown, why)
