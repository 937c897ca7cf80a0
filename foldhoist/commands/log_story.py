"""Tells the way of a request from the log lines of all daemons."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

EVENTS = frozenset({"attempt", "call", "hop", "refused"})
"""Events that tell of requests."""
ORDER = {"attempt": 0, "refused": 1, "hop": 2, "call": 3}
"""Order of lines of one moment."""


def read_lines(paths: Iterable[str]) -> list[dict[str, Any]]:
    """Return the lines of events in files, `-` for standard input; others are passed over."""
    found: list[dict[str, Any]] = []
    for path in paths:
        text = sys.stdin.read() if path == "-" else Path(path).read_text(encoding="utf-8")
        for line in text.splitlines():
            event = _event(line)
            if event is not None:
                found.append(event)
    return found


def lines_of(request: str, lines: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the lines of one request, by its own id or by its trace, in order of time."""
    traces = {line["trace"] for line in lines if request in (line["request"], line["trace"])}
    chosen = [line for line in lines if line["trace"] in traces]
    return sorted(chosen, key=lambda line: (line["time"], ORDER[line["event"]]))


def story_of(request: str, lines: list[dict[str, Any]]) -> str:
    """Return the lines of one request as text."""
    return "\n".join([f"request {request}", *(_sentence(line) for line in lines)])


def _event(line: str) -> dict[str, Any] | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        event = msgspec.json.decode(line[start:])
    except msgspec.DecodeError:
        return None
    if not isinstance(event, dict) or event.get("event") not in EVENTS:
        return None
    return event


def _sentence(line: dict[str, Any]) -> str:
    where = f"{line['time'][11:23]}  {line['daemon']}:"
    match line["event"]:
        case "attempt":
            return f"{where} {_attempt(line)}"
        case "refused":
            return (
                f"{where} refused as owner, {line['reason']}: {line['busy']} of {line['slots']} "
                f"slots busy, {line['queued']} waiting, upstream {line['state']}; "
                f"come back in {line['retry_after_ms']} ms"
            )
        case "hop":
            return (
                f"{where} ran it as owner: {line['result']}, waited {line['waited_ms']:.0f} ms, "
                f"upstream took {line['served_ms']:.0f} ms; then {line['busy']} busy, "
                f"{line['queued']} waiting"
            )
    reason = f" ({line['reason']})" if line["reason"] else ""
    kind = "repeatable" if line["repeatable"] else "not repeatable"
    whose = f", for customer {line['customer']}" if line.get("customer") else ""
    late = ", late by its objective" if line.get("late") else ""
    verdict = f"{line['verdict']}{reason}, status {line['status']}{late}"
    return (
        f"{where} final answer to {line['method']} {line['path']}, {kind}, of service "
        f"{line['service'] or '(none)'}{whose}, configuration {line['version']}: {verdict}, "
        f"after {line['total_ms']:.0f} ms and {line['attempts']} attempts"
    )


def _attempt(line: dict[str, Any]) -> str:
    text = (
        f"sent to {line['upstream']} after {line['sent_ms']:.0f} ms ({line['why']}), "
        f"ended after {line['ended_ms']:.0f} ms: {line['result']}"
    )
    for each in line["candidates"]:
        age = each["report_age_ms"]
        known = f"report {age:.0f} ms old" if age >= 0 else "no report"
        text += (
            f"\n              {each['name']}: expected {each['expected_ms']:.0f} ms, "
            f"{each['own']} own calls, {each['calls']} in all, {each['state']}, {known}"
        )
    return text
