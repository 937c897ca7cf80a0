"""Statistics of one upstream as one daemon sees it, with decay of old results."""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING, NamedTuple

from foldhoist.admission.rate_limit import MIN_RATE_PER_S
from foldhoist.membership.incarnations import UNNAMED

if TYPE_CHECKING:
    from foldhoist.schema.messages import Load

UNKNOWN_SERVICE_S = 0.001
"""Service time assumed for an upstream that has not answered yet, seconds."""
SMOOTHING = 0.2
"""Weight of the newest result in the running means."""
STALE_S = 1.0
"""Results keep their full weight for this long without a new one, seconds."""
RESULT_HALF_LIFE_S = 2.0
"""Half-life of latency and errors after that, seconds."""
REPORT_HALF_LIFE_S = 0.05
"""Half-life of a reported load, seconds; see docs/design/choosing.md."""
LN_2 = 0.6931471805599453


class SentCall(NamedTuple):
    """When a call was sent, and the calls then at its upstream: own ones, and others estimated."""

    at: float
    own: int
    others: float


class UpstreamStats:
    """Statistics of one upstream; `now` is monotonic time in seconds.

    `errors` is the running share of failed calls, and `other_calls` the calls of other daemons by
    the last load report. `trial_left` counts the trial calls that must still succeed after an
    ejection. `earliest_start` is when a call sent now may start by the upstream's rate limit.
    """

    __slots__ = (
        "accepts_calls",
        "backoff_until",
        "connected",
        "data_centre",
        "earliest_start",
        "ejected_until",
        "ejections",
        "errors",
        "in_flight",
        "incarnation",
        "last_result_at",
        "latency_s",
        "limit_per_s",
        "load",
        "load_at",
        "name",
        "other_calls",
        "pace",
        "pace_kept_s",
        "ramp_start",
        "results",
        "sent_calls",
        "slots",
        "trial_left",
    )

    def __init__(self, name: str, data_centre: str, slots: int, now: float) -> None:
        self.name = name
        self.data_centre = data_centre
        self.slots = slots
        self.ramp_start = now
        self.connected = False
        self.accepts_calls = True
        self.in_flight = 0
        self.sent_calls: dict[int, SentCall] = {}
        self.latency_s = 0.0
        self.errors = 0.0
        self.last_result_at = now
        self.results = 0
        self.load: Load | None = None
        self.load_at = 0.0
        self.other_calls = 0
        self.pace = 0
        self.pace_kept_s = 0.0
        self.backoff_until = 0.0
        self.ejected_until = 0.0
        self.ejections = 0
        self.trial_left = 0
        self.incarnation = UNNAMED
        self.limit_per_s: float | None = None
        self.earliest_start = 0.0

    def sent(self, seq: int, now: float) -> None:
        """Record a call that was just sent, with the load estimated at that time."""
        self.sent_calls[seq] = SentCall(now, self.in_flight, self.decayed_other_calls(now))
        if self.limit_per_s is not None:
            self.earliest_start = max(now, self.earliest_start) + 1.0 / max(
                MIN_RATE_PER_S, self.limit_per_s
            )
        self.in_flight += 1

    def ended(self, seq: int) -> SentCall | None:
        """Remove a call that ended; return its record, or None if it is not in flight."""
        sent = self.sent_calls.pop(seq, None)
        if sent is not None:
            self.in_flight -= 1
        return sent

    def update_load(self, load: Load, now: float) -> None:
        """Store the load that the owner attached to a message."""
        self.load = load
        self.load_at = now
        self.accepts_calls = load["state"] not in ("leaving", "down", "refusing")
        self.pace = load.get("pace", 0)
        self.pace_kept_s = load.get("pace_kept_ms", 0) / 1000
        self.slots = load["slots"] or self.slots
        signals = load.get("signals")
        self.limit_per_s = signals.get("limit_per_s") if signals is not None else None
        self.earliest_start = now + signals.get("wait_ms", 0) / 1000 if signals is not None else 0.0
        self.other_calls = max(0, load["busy"] + load["queued"] - self.in_flight)

    @property
    def open_at(self) -> float:
        """Return when a call may be sent: after the pause for a refusal, and by the rate limit."""
        return max(self.backoff_until, self.earliest_start)

    def limit_wait_s(self, now: float) -> float:
        """Return how long a call sent now waits for the upstream's rate limit, seconds."""
        return max(0.0, self.earliest_start - now)

    def record_result(self, now: float, latency_s: float, failed: bool) -> None:
        """Add one result to the running means; `latency_s` is the time of the attempt, seconds."""
        self.errors = self.decayed_errors(now)
        self.last_result_at = now
        self.results += 1
        weight = max(SMOOTHING, 1.0 / self.results)
        self.latency_s += weight * (latency_s - self.latency_s)
        self.errors += weight * ((1.0 if failed else 0.0) - self.errors)

    def decay(self, now: float) -> float:
        """Return the weight of the results, 1 while they are fresh and decaying afterwards."""
        silence_s = now - self.last_result_at - STALE_S
        if silence_s <= 0:
            return 1.0
        return exp(-LN_2 * silence_s / RESULT_HALF_LIFE_S)

    def decayed_errors(self, now: float) -> float:
        """Return the share of errors, decayed by the time without results."""
        return self.errors * self.decay(now)

    def oldest_age(self, now: float) -> float:
        """Return the age of the oldest call in flight, seconds; 0 if there is none."""
        for sent in self.sent_calls.values():
            return now - sent.at
        return 0.0

    def service_s(self, now: float) -> float:
        """Return the expected time of a call, seconds, at least the age of the oldest in flight."""
        known = self.latency_s if self.results else UNKNOWN_SERVICE_S
        if now - self.last_result_at > STALE_S:
            known = max(min(known, UNKNOWN_SERVICE_S), known * self.decay(now))
        if not self.in_flight:
            return known
        return max(known, self.oldest_age(now))

    def decayed_other_calls(self, now: float) -> float:
        """Return the calls of other daemons by the last load report, decayed by its age."""
        if not self.other_calls:
            return 0.0
        return self.other_calls * exp(-LN_2 * (now - self.load_at) / REPORT_HALF_LIFE_S)

    def occupancy(self, now: float, trust: float = 1.0) -> float:
        """Return the expected calls at the upstream: own ones, and others times `trust`."""
        if not self.other_calls:
            return float(self.in_flight)
        return self.in_flight + trust * self.decayed_other_calls(now)
