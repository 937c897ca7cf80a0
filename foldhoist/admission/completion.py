"""The latest useful start of a call and the time to hedge it; no I/O, no clock.

A call may wait while it can still be answered on time, or by its deadline if it could not be on
time from the beginning. After that it is refused, so that its caller can try elsewhere.
"""

from __future__ import annotations

TIME_MARGIN = 1.4
"""Factor on the expected service time: some calls take longer."""
MAX_SLOWDOWN = 5.0
"""A call is assumed to take up to this many times its usual time when a shutdown is due.

Work takes up to that much longer while a neighbour on the host of the upstream is busy.
"""
MIN_RUN_S = 1.0
"""Least time that a call gets at an upstream before a process ends, seconds."""


def latest_start(now: float, due: float, deadline: float, expect_s: float) -> float:
    """Return the latest useful start of a call, in seconds on the clock of `now`.

    It leaves enough time to answer by `due`, or by `deadline` if that is earlier. A call that
    can't be answered by `due` even if it starts now may start as long as it can meet `deadline`.
    """
    needed_s = expect_s * TIME_MARGIN
    if now + needed_s <= due:
        return min(due, deadline) - needed_s
    return deadline - needed_s


def hedge_after(objective_s: float, expect_s: float) -> float:
    """Return when to send a second attempt, seconds after the first; 0 without an objective.

    This is the latest moment at which it can still be on time, but not before the first attempt
    has taken `TIME_MARGIN` times the expected time.
    """
    if not objective_s:
        return 0.0
    return max(objective_s - expect_s * TIME_MARGIN, expect_s * TIME_MARGIN)


def longest_run(usual_s: float) -> float:
    """Return the time that a call may take at an upstream before a process ends, seconds.

    `usual_s` is its usual time.
    """
    return max(MIN_RUN_S, usual_s * MAX_SLOWDOWN)
