"""Exports OpenTelemetry spans, made from the decision records of finished calls."""

from __future__ import annotations

import random
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.trace import SpanContext, SpanKind, TraceFlags

from foldhoist.observe.records import trace_id

if TYPE_CHECKING:
    from foldhoist.delivery.call import Record
    from foldhoist.observe.records import Hop

NANOSECONDS_PER_SECOND = 1_000_000_000


def span_id(traceparent: str) -> int:
    """Return the span ID of a traceparent."""
    return int(traceparent[36:52], 16)


def attempt_span_id(traceparent: str, seq: int) -> int:
    """Return the span ID of an attempt, which ingress and owner derive independently."""
    digest = blake2b(f"{traceparent}:{seq}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") or 1


def _context(traceparent: str, span: int) -> SpanContext:
    trace = int(trace_id(traceparent), 16)
    return SpanContext(trace, span, is_remote=False, trace_flags=TraceFlags(TraceFlags.SAMPLED))


class SpanExporter:
    """Turns records into spans and exports them; does nothing without an address."""

    def __init__(self, name: str, data_centre: str, address: str, share: float) -> None:
        self.share = share
        self.exported = 0
        self._resource = Resource.create(
            {"service.name": "foldhoist", "service.instance.id": name, "dc": data_centre}
        )
        self._processor: BatchSpanProcessor | None = None
        if address:
            self._processor = BatchSpanProcessor(OTLPSpanExporter(endpoint=address))

    def close(self) -> None:
        """Export pending spans and stop."""
        if self._processor is not None:
            self._processor.shutdown()  # type: ignore[no-untyped-call]

    def export_call(self, record: Record, wall: float, now: float) -> None:
        """Export the spans of a call and of its attempts.

        Ordinary calls are sampled by trace ID. `wall` and `now` are the wall clock and the
        monotonic clock at the same moment, seconds.
        """
        if self._processor is None or not self._is_exported(record):
            return
        offset = wall - now
        parent = span_id(record.trace)
        fields = {"service": record.service, "verdict": record.verdict, "reason": record.reason}
        self._emit("call", record.trace, parent, None, record.arrived, record.ended, offset, fields)
        for attempt in record.attempts:
            span = attempt_span_id(record.trace, attempt.seq)
            fields = {"target": attempt.target, "why": attempt.reason, "result": attempt.result}
            times = (attempt.sent, attempt.ended, offset)
            self._emit("attempt", record.trace, span, parent, *times, fields)

    def export_hop(self, hop: Hop) -> None:
        """Export the spans of an attempt's time in the queue and at the upstream, if sampled."""
        if self._processor is None or not self._is_sampled(hop.call.trace):
            return
        call = hop.call
        parent = attempt_span_id(call.trace, call.seq)
        start = hop.at - (call.waited_us + call.served_us) / 1e6
        dispatched = start + call.waited_us / 1e6
        fields = {"owner": hop.owner, "result": call.result}
        for name, begin, end in (("queue", start, dispatched), ("upstream", dispatched, hop.at)):
            span = random.getrandbits(64) or 1
            self._emit(name, call.trace, span, parent, begin, end, 0.0, fields)

    def _is_exported(self, record: Record) -> bool:
        ordinary = record.verdict == "answered" and len(record.attempts) == 1
        return not ordinary or record.status >= 500 or self._is_sampled(record.trace)

    def _is_sampled(self, traceparent: str) -> bool:
        return int(traceparent[27:35], 16) < self.share * 0x100000000

    def _emit(
        self,
        name: str,
        traceparent: str,
        span: int,
        parent: int | None,
        begin: float,
        end: float,
        offset: float,
        fields: dict[str, Any],
    ) -> None:
        assert self._processor is not None
        self.exported += 1
        readable = ReadableSpan(
            name=name,
            context=_context(traceparent, span),
            parent=_context(traceparent, parent) if parent is not None else None,
            resource=self._resource,
            attributes=fields,
            kind=SpanKind.INTERNAL,
            start_time=int((begin + offset) * NANOSECONDS_PER_SECOND),
            end_time=int((end + offset) * NANOSECONDS_PER_SECOND),
        )
        self._processor.on_end(readable)
