"""Decision records: a bounded ring, found by trace, and followed as they come."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from foldhoist.delivery.call import Attempt, Record
    from foldhoist.delivery.dispatch import Ended


class Hop(NamedTuple):
    """What an owner did with one attempt; `at` is its end in wall clock seconds."""

    owner: str
    at: float
    call: Ended


def trace_id(traceparent: str) -> str:
    """Return the trace of a traceparent."""
    return traceparent[3:35]


class RecordBuffer:
    """The latest records of calls and of hops, each at most `size`."""

    def __init__(self, size: int) -> None:
        self._size = size
        self._calls: OrderedDict[str, Record] = OrderedDict()
        self._hops: OrderedDict[str, list[Hop]] = OrderedDict()
        self.number = 0

    def add_call(self, record: Record) -> None:
        """Keep the record of a call that ended."""
        self.number += 1
        trace = trace_id(record.trace)
        self._calls[f"{trace} {self.number}"] = record
        if len(self._calls) > self._size:
            self._calls.popitem(last=False)

    def add_hop(self, hop: Hop) -> None:
        """Keep the record of an attempt at this owner."""
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
        """Return the records of attempts with this trace."""
        return self._hops.get(trace, [])

    def since(self, number: int) -> tuple[int, list[Record]]:
        """Return the newest number, and the records after `number` that are still kept."""
        fresh = min(self.number - number, len(self._calls))
        if fresh <= 0:
            return self.number, []
        return self.number, list(self._calls.values())[-fresh:]


def record_report(record: Record) -> dict[str, Any]:
    """Return a call's record for a program; times are microseconds from arrival."""
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
