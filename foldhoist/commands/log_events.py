"""Explains what happened to a request from the log lines of all daemons."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

EVENTS = frozenset({"attempt", "call", "hop", "refused"})
"""Log events that concern requests."""
ORDER = {"attempt": 0, "refused": 1, "hop": 2, "call": 3}
"""Order of events that have the same time."""


def read_events(paths: Iterable[str]) -> list[dict[str, Any]]:
    """Return the request events in log files, `-` for standard input; skips all other lines."""
    events: list[dict[str, Any]] = []
    for path in paths:
        text = sys.stdin.read() if path == "-" else Path(path).read_text(encoding="utf-8")
        for line in text.splitlines():
            event = _parse_event(line)
            if event is not None:
                events.append(event)
    return events


def select_events(request: str, events: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the events of a request, by its id or its trace id, sorted by time."""
    traces = {event["trace"] for event in events if request in (event["request"], event["trace"])}
    chosen = [event for event in events if event["trace"] in traces]
    return sorted(chosen, key=lambda event: (event["time"], ORDER[event["event"]]))


def format_request(request: str, events: list[dict[str, Any]]) -> str:
    """Return the events of one request as text."""
    return "\n".join([f"request {request}", *(_format_event(event) for event in events)])


def _parse_event(line: str) -> dict[str, Any] | None:
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


def _format_event(event: dict[str, Any]) -> str:
    where = f"{event['time'][11:23]}  {event['daemon']}:"
    match event["event"]:
        case "attempt":
            return f"{where} {_format_attempt(event)}"
        case "refused":
            return (
                f"{where} refused as owner, {event['reason']}: {event['busy']} of {event['slots']} "
                f"slots busy, {event['queued']} waiting, upstream {event['state']}"
                f"{_format_limit(event)}; retry after {event['retry_after_ms']} ms"
            )
        case "hop":
            return (
                f"{where} ran it as owner: {event['result']}, waited {event['waited_ms']:.0f} ms, "
                f"upstream took {event['served_ms']:.0f} ms; then {event['busy']} busy, "
                f"{event['queued']} waiting"
            )
    reason = f" ({event['reason']})" if event["reason"] else ""
    kind = "repeatable" if event["repeatable"] else "not repeatable"
    customer = f", for customer {event['customer']}" if event.get("customer") else ""
    late = ", later than its objective" if event.get("late") else ""
    verdict = f"{event['verdict']}{reason}, status {event['status']}{late}"
    return (
        f"{where} final answer to {event['method']} {event['path']}, {kind}, of service "
        f"{event['service'] or '(none)'}{customer}, configuration {event['version']}: {verdict}, "
        f"after {event['total_ms']:.0f} ms and {event['attempts']} attempts"
    )


def _format_limit(event: dict[str, Any]) -> str:
    if "limit_per_s" not in event:
        return ""
    age_s = event["limit_age_ms"] / 1000
    return f", rate limit {event['limit_per_s']:g} calls/s for {age_s:.1f} s"


def _format_attempt(event: dict[str, Any]) -> str:
    text = (
        f"sent to {event['upstream']} after {event['sent_ms']:.0f} ms ({event['why']}), "
        f"ended after {event['ended_ms']:.0f} ms: {event['result']}"
    )
    for each in event["candidates"]:
        age = each["report_age_ms"]
        known = f"report {age:.0f} ms old" if age >= 0 else "no report"
        text += (
            f"\n              {each['name']}: expected {each['expected_ms']:.0f} ms, "
            f"{each['own']} own calls, {each['calls']} in all, {each['state']}, {known}"
        )
    return text
