"""Logs calls, attempts and changes of state as events, limited in rate.

Calls answered on time by their first attempt are sampled, and so are attempts at their owner,
unless the status is a server error. All others are logged as far as the rate limit allows. Each
kind of event has its own limit; its next line after a gap gives the number of lines left out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from foldhoist.admission.bucket import TokenBucket
from foldhoist.observe.records import trace_id

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from foldhoist.delivery.call import Attempt, Record
    from foldhoist.delivery.dispatch import Ended, Refused
    from foldhoist.routing.policies import Scored

LINES_PER_S = 20.0
"""Sustained rate of one kind of event, lines per second."""
LINES_BURST = 200.0
"""Most lines of one kind of event in a burst."""
MIN_FAILURE_STATUS = 500
"""Lowest status that counts as a failure of the upstream."""


class EventLog:
    """Logs records through `write(event, fields)`; logs a `share`, 0 to 1, of ordinary ones."""

    def __init__(
        self, write: Callable[[str, dict[str, Any]], None], share: float, rng: Random
    ) -> None:
        self._write = write
        self.share = share
        self._rng = rng
        self._buckets: dict[str, TokenBucket] = {}
        self._omitted: dict[str, int] = {}

    def log_call(self, now: float, record: Record) -> None:
        """Log a finished call: an event for each attempt, then one for the final answer."""
        if _is_ordinary(record) and self._rng.random() >= self.share:
            return
        for attempt in record.attempts:
            self._write_bounded(now, "attempt", _attempt_fields(record, attempt))
        self._write_bounded(now, "call", _call_fields(record))

    def log_hop(self, now: float, hop: Ended) -> None:
        """Log a call that ended at this owner; answers below status 500 are sampled."""
        ordinary = hop.result.startswith(("answered 2", "answered 3", "answered 4"))
        if ordinary and self._rng.random() >= self.share:
            return
        fields = {
            "request": hop.name,
            "trace": trace_id(hop.trace),
            "seq": hop.seq,
            "result": hop.result,
            "waited_ms": hop.waited_us / 1000,
            "served_ms": hop.served_us / 1000,
            "busy": hop.busy,
            "queued": hop.queued,
        }
        self._write_bounded(now, "hop", fields)

    def log_refused(self, now: float, refused: Refused) -> None:
        """Log a call that the owner refused without running it."""
        fields = refused._asdict()
        fields["trace"] = trace_id(refused.trace)
        if refused.limit_per_s is None:
            del fields["limit_per_s"], fields["limit_age_ms"]
        self._write_bounded(now, "refused", fields)

    def log_change(self, now: float, event: str, fields: dict[str, Any]) -> None:
        """Log a change in the state of this daemon."""
        self._write_bounded(now, event, fields)

    def _write_bounded(self, now: float, event: str, fields: dict[str, Any]) -> None:
        bucket = self._buckets.get(event)
        if bucket is None:
            bucket = self._buckets[event] = TokenBucket(LINES_PER_S, LINES_BURST, now)
        if not bucket.take(now):
            self._omitted[event] = self._omitted.get(event, 0) + 1
            return
        omitted = self._omitted.pop(event, 0)
        if omitted:
            fields["left_out"] = omitted
        self._write(event, fields)


def _is_ordinary(record: Record) -> bool:
    answered = record.verdict == "answered" and record.status < MIN_FAILURE_STATUS
    return answered and len(record.attempts) == 1 and not record.late


def _call_fields(record: Record) -> dict[str, Any]:
    of_customer = {"customer": record.customer} if record.customer else {}
    return {
        **of_customer,
        "request": record.name,
        "trace": trace_id(record.trace),
        "service": record.service,
        "method": record.method,
        "path": record.path,
        "repeatable": record.repeatable,
        "version": record.generation,
        "verdict": record.verdict,
        "reason": record.reason,
        "status": record.status,
        "total_ms": _ms(record.ended - record.arrived),
        "attempts": len(record.attempts),
        "late": record.late,
    }


def _attempt_fields(record: Record, attempt: Attempt) -> dict[str, Any]:
    return {
        "request": record.name,
        "trace": trace_id(record.trace),
        "seq": attempt.seq,
        "upstream": attempt.target,
        "why": attempt.reason,
        "sent_ms": _ms(attempt.sent - record.arrived),
        "ended_ms": _ms(attempt.ended - record.arrived),
        "result": attempt.result,
        "waited_ms": attempt.waited_us / 1000,
        "served_ms": attempt.served_us / 1000,
        "version": record.generation,
        "candidates": [_candidate_fields(scored) for scored in attempt.candidates],
    }


def _candidate_fields(scored: Scored) -> dict[str, Any]:
    return {
        "name": scored.name,
        "expected_ms": _ms(scored.score),
        "own": scored.in_flight,
        "calls": round(scored.occupancy, 1),
        "latency_ms": _ms(scored.latency_s),
        "report_age_ms": _ms(scored.report_age_s),
        "state": scored.state,
    }


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
