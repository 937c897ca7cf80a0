"""Creates the span exporter; its libraries are imported only if spans are exported."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from foldhoist.observe.spans import SpanExporter
    from foldhoist.schema.settings import Settings


def make_span_exporter(cfg: Settings) -> SpanExporter | None:
    """Return a span exporter, or None if the settings give no address to export to."""
    daemon, observe = cfg["daemon"], cfg["observe"]
    if not observe["otlp"]:
        return None
    from foldhoist.observe.spans import SpanExporter

    return SpanExporter(
        daemon["name"], daemon["data_centre"], observe["otlp"], observe["trace_share"]
    )
