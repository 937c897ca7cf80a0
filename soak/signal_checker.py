"""Checks that upstreams get no more than they take, and nothing once they leave; no I/O.

Both promises bind a daemon from its first answer with the signal that reached a caller. Only what a
daemon's own restart or freeze makes it forget is excused.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from soak.history import Violation

if TYPE_CHECKING:
    from soak.history import Arrival, History, LimitSpan, RequestResult

WINDOW_S = 4.0
"""Length of the windows in which arrivals are counted, seconds."""
OVERAGE = 1.5
"""Factor by which the arrivals of a window may exceed the named limit."""
SLACK = 5.0
"""Arrivals that a window may hold beyond that."""
NOTICE_S = 3.0
"""Time from the first naming of a limit until windows are judged, seconds."""
PASSED_ON_S = 0.5
"""A daemon counts once it has passed on an answer with the limit this long ago, seconds."""
DRAIN_S = 2.0
"""Time from an answer that says leaving until no request sent later may arrive, seconds."""
FORGETTING = frozenset({"stop", "kill", "pause"})
"""Kinds of faults after which a daemon need not know what it has passed on."""


class PassedOn(NamedTuple):
    """A daemon passed a signal of an incarnation to a caller, first at `at`."""

    daemon: str
    instance: str
    at: float


def signal_violations(history: History) -> list[Violation]:
    """Return the violations of limits and of leavings."""
    by_attempt = {each.attempt: each for each in history.asked}
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in history.arrivals:
        if arrival.attempt in by_attempt:
            arrivals[arrival.instance].append(arrival)
    return [
        *_limit_violations(history, arrivals, by_attempt),
        *_leaving_violations(history, arrivals, by_attempt),
    ]


def _limit_violations(
    history: History,
    arrivals: dict[str, list[Arrival]],
    by_attempt: dict[str, RequestResult],
) -> list[Violation]:
    spans: dict[str, list[LimitSpan]] = defaultdict(list)
    for span in history.limits:
        spans[span.instance].append(span)
    found: list[Violation] = []
    for instance, named in spans.items():
        passed_on = _first_passed_on(history, instance, leaving=False)
        for last in arrivals[instance]:
            evidence = _excess_at(
                history, last.at, named, arrivals[instance], by_attempt, passed_on
            )
            if evidence:
                found.append(Violation("a-named-limit-is-kept", f"{instance}: {evidence}"))
                break
    return found


def _excess_at(
    history: History,
    now: float,
    named: list[LimitSpan],
    arrivals: list[Arrival],
    by_attempt: dict[str, RequestResult],
    passed_on: list[PassedOn],
) -> str:
    """Return what is too much in the window that ends now, empty if it is allowed."""
    current = _named_without_a_gap(named, now)
    if not current or current[0].began + NOTICE_S > now:
        return ""
    allowed = OVERAGE * _limit_in_window(current, now) + SLACK
    bound = {
        each.daemon
        for each in passed_on
        if each.at + PASSED_ON_S <= now and not _forgot(history, each.daemon, each.at, now)
    }
    got = sum(
        1
        for arrival in arrivals
        if now - WINDOW_S < arrival.at <= now and by_attempt[arrival.attempt].daemon in bound
    )
    return f"{got} in 4 s at {now:.2f} s, {allowed:.1f} allowed" if got > allowed else ""


def _named_without_a_gap(named: list[LimitSpan], now: float) -> list[LimitSpan]:
    """Return the spans up to the one that lasts now, as far back as a limit was always named."""
    found: list[LimitSpan] = []
    for span in sorted(named, key=lambda each: each.began):
        if span.began > now:
            break
        if found and span.began > found[-1].ended:
            found.clear()
        found.append(span)
    return found if found and now < found[-1].ended else []


def _limit_in_window(spans: list[LimitSpan], now: float) -> float:
    """Return how many requests the limit allows in a window; its first value holds before it."""
    since = now - WINDOW_S
    total = spans[0].per_s * max(0.0, spans[0].began - since)
    for span in spans:
        total += span.per_s * max(0.0, min(now, span.ended) - max(since, span.began))
    return total


def _leaving_violations(
    history: History,
    arrivals: dict[str, list[Arrival]],
    by_attempt: dict[str, RequestResult],
) -> list[Violation]:
    found: list[Violation] = []
    instances = {each.signals_of for each in history.asked if each.leaving}
    for instance in sorted(instances):
        passed_on = {
            (each.daemon, each.at) for each in _first_passed_on(history, instance, leaving=True)
        }
        for arrival in arrivals[instance]:
            result = by_attempt[arrival.attempt]
            for daemon, at in passed_on:
                if daemon != result.daemon or result.sent <= at + DRAIN_S:
                    continue
                if _forgot(history, daemon, at, arrival.at):
                    continue
                evidence = f"{arrival.attempt} sent {result.sent - at:.2f} s after, to {instance}"
                found.append(Violation("a-leaving-upstream-gets-nothing", evidence))
                break
    return found


def _first_passed_on(history: History, instance: str, leaving: bool) -> list[PassedOn]:
    """Return when each daemon passed the signal on first, and first after each interruption."""
    passed_on: list[PassedOn] = []
    last: dict[str, float] = {}
    for result in sorted(history.asked, key=lambda each: each.ended):
        if result.signals_of != instance or not (result.leaving if leaving else result.limit):
            continue
        before = last.get(result.daemon)
        if before is not None and not _forgot(history, result.daemon, before, result.ended):
            continue
        last[result.daemon] = result.ended
        passed_on.append(PassedOn(result.daemon, instance, result.ended))
    return passed_on


def _forgot(history: History, daemon: str, since: float, until: float) -> bool:
    """Return whether a restart or a freeze of the daemon lies in this time."""
    return any(
        fault.kind in FORGETTING
        and fault.daemon == daemon
        and fault.began <= until
        and since <= fault.ended
        for fault in history.faults
    )
