"""Tests of spans and of the record buffer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from foldhoist.delivery.call import Attempt, Record
from foldhoist.delivery.dispatch import Ended
from foldhoist.observe.records import Hop, RecordBuffer, trace_id
from foldhoist.observe.spans import SpanExporter, attempt_span_id

if TYPE_CHECKING:
    from opentelemetry.sdk.trace import ReadableSpan

TRACE = "00-" + "a" * 24 + "f" * 8 + "-" + "2" * 16 + "-00"
ATTEMPT = Attempt(7, "depo-1", "least-cost", (), 1.0, 1.5, "answered", 100, 400)


def record(verdict: str = "answered", attempts: int = 1) -> Record:
    tries = (ATTEMPT,) * attempts
    return Record(TRACE, "s", "GET", "/", False, True, "", 1, 0.9, 1.6, verdict, "", 200, tries)


class SpanCollector:
    """Collects spans in place of the exporter."""

    def __init__(self) -> None:
        self.spans: list[ReadableSpan] = []

    def on_end(self, span: ReadableSpan) -> None:
        self.spans.append(span)


def make(share: float) -> tuple[SpanExporter, SpanCollector]:
    spans, collector = SpanExporter("a", "dc", "", share), SpanCollector()
    spans._processor = collector  # type: ignore[assignment]
    return spans, collector


def parent_of(span: Any) -> int:
    return int(span.parent.span_id)


def test_spans_of_a_call_share_a_trace_and_have_the_right_parents() -> None:
    spans, collector = make(1.0)
    spans.export_call(record(), wall=100.0, now=2.0)
    spans.export_hop(Hop("depo-1", 99.5, Ended(TRACE, 7, 100, 400, "answered 200", 1, 0)))
    by_name = {span.name: span for span in collector.spans}
    assert set(by_name) == {"call", "attempt", "queue", "upstream"}
    assert {span.context.trace_id for span in collector.spans if span.context} == {
        int(trace_id(TRACE), 16)
    }
    assert parent_of(by_name["attempt"]) == int("2" * 16, 16)
    assert parent_of(by_name["queue"]) == parent_of(by_name["upstream"])
    assert parent_of(by_name["upstream"]) == attempt_span_id(TRACE, 7)
    assert by_name["call"].start_time == int(98.9 * 1e9)


def test_ordinary_calls_are_sampled_and_others_always_exported() -> None:
    spans, collector = make(0.0)
    spans.export_call(record(), 100.0, 2.0)
    assert collector.spans == []
    spans.export_call(record("not-run"), 100.0, 2.0)
    spans.export_call(record(attempts=2), 100.0, 2.0)
    assert len(collector.spans) == 5


def test_record_buffer_keeps_the_latest() -> None:
    buffer = RecordBuffer(3)
    for number in range(5):
        buffer.add_call(record()._replace(path=f"/{number}"))
    assert [each.path for each in buffer.calls_of(trace_id(TRACE))] == ["/2", "/3", "/4"]
    number, fresh = buffer.since(4)
    assert (number, [each.path for each in fresh]) == (5, ["/4"])
