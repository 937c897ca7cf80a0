"""Buffers decision records, to be searched by trace or read in order."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from foldhoist.delivery.call import Attempt, Record
    from foldhoist.delivery.dispatch import Ended


class Hop(NamedTuple):
    """The record of an attempt at its owner; `at` is its end, wall clock seconds."""

    owner: str
    at: float
    call: Ended


def trace_id(traceparent: str) -> str:
    """Return the trace ID of a traceparent."""
    return traceparent[3:35]


class RecordBuffer:
    """The latest records: at most `size` calls, and hops of at most `size` traces."""

    def __init__(self, size: int) -> None:
        self._size = size
        self._calls: OrderedDict[str, Record] = OrderedDict()
        self._hops: OrderedDict[str, list[Hop]] = OrderedDict()
        self.number = 0

    def add_call(self, record: Record) -> None:
        """Add the record of a finished call."""
        self.number += 1
        trace = trace_id(record.trace)
        self._calls[f"{trace} {self.number}"] = record
        if len(self._calls) > self._size:
            self._calls.popitem(last=False)

    def add_hop(self, hop: Hop) -> None:
        """Add the record of an attempt at this owner; a trace has at most 64."""
        trace = trace_id(hop.call.trace)
        hops = self._hops.get(trace)
        if hops is None:
            self._hops[trace] = [hop]
        elif len(hops) < 64:
            hops.append(hop)
        if len(self._hops) > self._size:
            self._hops.popitem(last=False)

    def calls_of(self, trace: str) -> list[Record]:
        """Return the records of calls with this trace, oldest first."""
        return [record for name, record in self._calls.items() if name.startswith(trace)]

    def hops_of(self, trace: str) -> list[Hop]:
        """Return the records of attempts with this trace, oldest first."""
        return self._hops.get(trace, [])

    def since(self, number: int) -> tuple[int, list[Record]]:
        """Return the latest call's number, and the buffered records of calls after `number`."""
        count = min(self.number - number, len(self._calls))
        if count <= 0:
            return self.number, []
        return self.number, list(self._calls.values())[-count:]


def record_report(record: Record) -> dict[str, Any]:
    """Return a call's record as JSON fields.

    `sent_us` and `ended_us` count from the arrival; the times of candidates are seconds.
    """
    return {
        "trace": trace_id(record.trace),
        "service": record.service,
        "method": record.method,
        "path": record.path,
        "urgent": record.urgent,
        "repeatable": record.repeatable,
        "key": record.key,
        "customer": record.customer,
        "generation": record.generation,
        "verdict": record.verdict,
        "reason": record.reason,
        "status": record.status,
        "total_us": int((record.ended - record.arrived) * 1e6),
        "attempts": [_attempt_report(record, attempt) for attempt in record.attempts],
    }


def _attempt_report(record: Record, attempt: Attempt) -> dict[str, Any]:
    return {
        "seq": attempt.seq,
        "target": attempt.target,
        "reason": attempt.reason,
        "sent_us": int((attempt.sent - record.arrived) * 1e6),
        "ended_us": int((attempt.ended - record.arrived) * 1e6),
        "result": attempt.result,
        "waited_us": attempt.waited_us,
        "served_us": attempt.served_us,
        "candidates": [_rounded(each._asdict()) for each in attempt.candidates],
    }


def _rounded(fields: dict[str, Any]) -> dict[str, Any]:
    return {name: round(x, 6) if isinstance(x, float) else x for name, x in fields.items()}
