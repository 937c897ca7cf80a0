"""Tests of the event log: sampling, limits, and writing to a full pipe without blocking."""

from __future__ import annotations

import os
import random
from typing import Any

from foldhoist.delivery.call import Attempt, Record
from foldhoist.observe.events import LINES_BURST, EventLog
from foldhoist.observe.logs import LineWriter


def record(verdict: str = "not-run", attempts: int = 1) -> Record:
    """Return the record of a call."""
    tried = [Attempt(n, "a", "trial", (), 1.0, 1.1, "no:full", 0, 0) for n in range(attempts)]
    trace = f"00-{1:032x}-{2:016x}-00"
    return Record(
        trace, "s", "GET", "/", False, True, "", 3, 1.0, 1.2, verdict, "", 200, tuple(tried), "id"
    )


def logged(share: float, records: list[Record]) -> list[tuple[str, dict[str, Any]]]:
    """Return the events logged for these calls, all at the same time."""
    lines: list[tuple[str, dict[str, Any]]] = []
    events = EventLog(lambda event, fields: lines.append((event, fields)), share, random.Random(1))
    for each in records:
        events.log_call(5.0, each)
    return lines


def test_refused_call_is_logged_with_every_attempt_and_its_id() -> None:
    lines = logged(0.0, [record(attempts=2)])
    assert [event for event, _ in lines] == ["attempt", "attempt", "call"]
    assert {fields["request"] for _, fields in lines} == {"id"}
    assert lines[-1][1]["verdict"] == "not-run"


def test_ordinary_calls_are_sampled() -> None:
    assert logged(0.0, [record("answered")]) == []
    assert len(logged(1.0, [record("answered")])) == 2
    assert len(logged(0.0, [record("answered")._replace(late=True)])) == 2
    assert len(logged(0.0, [record("answered", attempts=2)])) == 3


def test_each_event_is_limited_and_omitted_lines_are_counted() -> None:
    lines: list[tuple[str, dict[str, Any]]] = []
    events = EventLog(lambda event, fields: lines.append((event, fields)), 0.0, random.Random(1))
    for _ in range(int(LINES_BURST) + 30):
        events.log_call(5.0, record(attempts=0))
    assert len(lines) == LINES_BURST
    events.log_call(6.0, record(attempts=0))
    assert lines[-1][1]["left_out"] == 30


def test_full_pipe_does_not_block() -> None:
    reader, writer = os.pipe()
    lines = LineWriter(writer)
    for _ in range(100):
        lines.write("x" * 5000)
    assert lines.dropped > 0
    first = os.read(reader, 4096)
    assert first.endswith(b"\n")
    assert len(first) == 4096
    os.close(reader)
    os.close(writer)
