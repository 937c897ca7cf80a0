"""One customer's credit at a quota server, and the hosts that ask for it; no I/O, no clock."""

from __future__ import annotations

from foldhoist.admission.decaying_ratio import DecayingRatio

MISSED_ASKS = 5.0
"""A host is silent if more than this many expected requests are missing.

It may be cut off and may ask another quota server. By chance a host with a steady stream of calls
is silent for as long once in 150 times.
"""
MIN_SILENCE_S = 0.3
"""A host without requests for up to this long is not silent, seconds."""
ASKS_DECAY_S = 1.0
"""Time constant of the decaying count of requests, seconds."""
MAX_SILENCE_S = 3.0
"""After a longer silence a host is taken to have no calls, or is disconnected, seconds."""
DENIALS_DECAY_S = 1.0
"""Time constant of the decaying count of denials, which are expected to be retried, seconds."""


class AskingHost:
    """Rate and time of a host's requests; times are in the server's active time, seconds."""

    __slots__ = ("asks", "asks_per_s", "last_ask_at")

    def __init__(self, at: float) -> None:
        self.last_ask_at = at
        self.asks_per_s = 0.0
        self.asks = DecayingRatio(at, ASKS_DECAY_S)

    def count_ask(self, at: float) -> float:
        """Count a request; returns the time since the one before it, seconds."""
        gap_s = at - self.last_ask_at
        self.last_ask_at = at
        self.asks_per_s = self.asks.total(at) / ASKS_DECAY_S
        self.asks.count(at, 0.0)
        return gap_s

    def is_silent(self, at: float) -> bool:
        """Return whether expected requests are missing."""
        silence_s = at - self.last_ask_at
        if not MIN_SILENCE_S < silence_s <= MAX_SILENCE_S:
            return False
        return silence_s * self.asks_per_s > MISSED_ASKS


class Bucket:
    """One customer's credit; `refilled_at` is in the server's active time, seconds.

    `lending_hosts` is the number of hosts that say that they lend, `rate_share` the share of the
    quota, 0 to 1, of those of them that are not silent, `burst_share` that of all hosts that lend,
    also by asking.
    """

    __slots__ = (
        "asking_hosts",
        "burst_share",
        "denials",
        "lending_hosts",
        "level",
        "rate_share",
        "refilled_at",
    )

    def __init__(self, level: float, at: float) -> None:
        self.level = level
        self.refilled_at = at
        self.lending_hosts = 0
        self.rate_share = 0.0
        self.burst_share = 0.0
        self.asking_hosts: dict[str, AskingHost] = {}
        self.denials = DecayingRatio(at, DENIALS_DECAY_S)
