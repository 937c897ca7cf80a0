"""Checks the history of a run against the promises made to callers; no I/O.

Not checked: configurations in force, deadlines, retry budgets, departures that are announced,
memory.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from soak.callers import DEADLINE_MS
from soak.history import Violation
from soak.signal_checker import signal_violations

if TYPE_CHECKING:
    from soak.history import History, PlannedStop, RequestResult

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run and never will."""
UNPLANNED = frozenset({"kill", "pause", "reset"})
"""Kinds of faults that may interrupt running calls."""
FAULT_EFFECT_S = 4.0
"""Time after an unplanned fault in which calls may still fail because of it, seconds.

A silent host is detected after 1.5 s, and a call may then wait 1 s for its result.
"""
MAX_STOP_S = 9.0
"""Longest planned stop, seconds: `drain_ms` of 5 s, and time to notify peers and exit."""
LOSS_SLACK_S = 0.2
"""Time from a request's last byte within which its connection may end at a planned stop, seconds.

Such a request crosses the end of its connection.
"""
STOP_EFFECT_S = 7.0
"""Time from the signal of a planned stop in which lost requests are laid to it, seconds."""
DEADLINE_S = DEADLINE_MS / 1000
"""Time after which a request may end without an answer, seconds."""


def find_violations(history: History, *, check_stop_time: bool = True) -> list[Violation]:
    """Return all violations; without `check_stop_time` planned stops may take any time."""
    ran = Counter(each.attempt for each in history.executions)
    found: list[Violation] = []
    for result in history.asked:
        found += _answer_violations(result, ran[result.attempt])
        if not result.repeatable and ran[result.attempt] > 1:
            evidence = f"{result.attempt} ran {ran[result.attempt]} times"
            found.append(Violation("at-most-once", evidence))
        if _is_interrupted(result) and ran[result.attempt] and not _is_excused(result, history):
            evidence = f"{result.attempt} at {result.daemon} ran and ended as {result.status}"
            found.append(Violation("planned-stop-cuts-nothing", evidence))
        if not ran[result.attempt] and _is_lost(result, history):
            waited_s = result.ended - result.sent
            evidence = (
                f"{result.attempt} at {result.daemon} ended {waited_s:.2f} s after it was sent"
            )
            found.append(Violation("planned-stop-answers-all", evidence))
    for stop in history.stops:
        if stop.code != 0 or (check_stop_time and stop.took > MAX_STOP_S):
            found.append(Violation("planned-stop-ends", _stop_evidence(stop)))
    found += signal_violations(history)
    found += [Violation("served-again", f"{daemon} did not answer") for daemon in history.unserved]
    return found


def _answer_violations(result: RequestResult, ran: int) -> list[Violation]:
    found: list[Violation] = []
    if result.status in NOT_RUN_STATUSES and ran:
        evidence = f"{result.attempt} ended as {result.status} and ran {ran} times"
        found.append(Violation("not-run-is-true", evidence))
    if result.status == 200 and not ran:
        found.append(Violation("answers-are-the-upstreams", f"{result.attempt} never ran"))
    if result.status == 200 and (not result.complete or result.echo != result.attempt):
        evidence = f"{result.attempt} got an answer of {result.echo or 'nobody'}"
        found.append(Violation("answers-are-whole-and-their-own", evidence))
    return found


def _stop_evidence(stop: PlannedStop) -> str:
    """Return the times of a stop by the soak's clock and by the daemon's last line."""
    state = stop.last_state or "unknown"
    return (
        f"{stop.daemon}: code {stop.code} after {stop.took:.1f} s; its last line came after"
        f" {stop.last_line:.1f} s, the process ended after {stop.ended:.1f} s (in state {state}"
        f" before), the soak's own loop was late by up to {stop.stalled:.2f} s"
    )


def _is_interrupted(result: RequestResult) -> bool:
    return result.status in (0, 502)


def _is_lost(result: RequestResult, history: History) -> bool:
    """Return whether a request's connection ended late and without an answer at a planned stop."""
    if result.status != 0 or not LOSS_SLACK_S < result.ended - result.sent < DEADLINE_S:
        return False
    return _is_at_stop(result, history) and not _is_excused(result, history)


def _is_at_stop(result: RequestResult, history: History) -> bool:
    """Return whether a request ended during a planned stop of the daemon that took it."""
    return any(
        fault.kind == "stop"
        and fault.daemon == result.daemon
        and fault.began <= result.ended <= fault.began + STOP_EFFECT_S
        for fault in history.faults
    )


def _is_excused(result: RequestResult, history: History) -> bool:
    return any(
        fault.kind in UNPLANNED
        and fault.began <= result.ended
        and result.sent <= fault.ended + FAULT_EFFECT_S
        for fault in history.faults
    )
