"""Whether spans are exported; the libraries for that are loaded only if they are."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from foldhoist.observe.spans import SpanExporter
    from foldhoist.schema.settings import Settings


def make_span_exporter(cfg: Settings) -> SpanExporter | None:
    """Return what exports spans, None if the settings name no address for them."""
    daemon, observe = cfg["daemon"], cfg["observe"]
    if not observe["otlp"]:
        return None
    from foldhoist.observe.spans import SpanExporter

    return SpanExporter(
        daemon["name"], daemon["data_centre"], observe["otlp"], observe["trace_share"]
    )
