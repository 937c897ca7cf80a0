"""Rules for attempts: time limits, hedges, retries, the choice of an owner and its feedback."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.admission.completion import TIME_MARGIN, hedge_after, latest_start
from foldhoist.delivery.verdict import Answered, MayHaveRun
from foldhoist.routing.picker import NO_CONNECTION, Choice, NoChoice
from foldhoist.routing.policies import REMOTE_COST_S
from foldhoist.routing.rendezvous import home

if TYPE_CHECKING:
    from collections.abc import Container

    from foldhoist.delivery.call import Call, CallerRequest, Counters, PendingAttempt
    from foldhoist.delivery.services import ServiceState
    from foldhoist.delivery.verdict import NotRun, Verdict
    from foldhoist.routing.picker import Picker
    from foldhoist.routing.routes import RouteMatch
    from foldhoist.schema.messages import Answer, Refusal

DEADLINE_PASSED = "deadline-passed"
"""Reason of a call whose deadline passed, at the ingress or at the owner."""
CONNECTION_FULL = "owner-connection-full"
"""Reason of a call, or of an answer, that a connection between daemons did not take."""
CONNECTION_FULL_RETRY_S = 0.5
"""Retry delay after that, seconds."""
MAX_REFUSALS = 3
"""Refusals by owners after which a call may still be retried."""
SERVER_ERROR = 500
"""Lowest status that counts as a failure of the upstream."""
MIN_BUDGET_S = 0.001
"""A call with less time left than this is not dispatched, seconds."""
REMOTE_COST_SHARE = 0.4
"""Extra cost of an upstream in another data centre, as a share of the call's objective."""
REMOTE_COST_SHARE_PER_KB = 0.08
"""Added to that share for each kilobyte of the bodies of the route's calls."""

MAX_PARK_S = 0.3
"""Longest wait of a parked call for a connection to an owner, seconds."""


def budget_s(req: CallerRequest, routed: RouteMatch, state: ServiceState) -> float:
    """Return the time limit of a call, seconds: the caller's, but not above that of the route."""
    limit = routed.timeout_s or state.cfg["deadline_ms"] / 1000
    return min(req.budget_s, limit) if req.budget_s > 0 else limit


def hedge_after_s(call: Call, state: ServiceState) -> float:
    """Return after which time a call is hedged, seconds; 0 for never."""
    if not call.repeatable or call.req.retried:
        return 0.0
    expect_s = state.picker.times.mean(call.route)
    return state.cfg["hedge_ms"] / 1000 or hedge_after(call.objective_s, expect_s)


def max_park_s(now: float, call: Call, state: ServiceState) -> float:
    """Return how long a call may be parked without a connection to an owner, seconds.

    Returns 0 if the service has had no known upstream for a while.
    """
    if not state.has_recent_upstream(now):
        return 0.0
    due = call.arrived + call.objective_s if call.objective_s else call.deadline
    expect_s = state.picker.times.mean(call.route)
    return max(0.0, min(MAX_PARK_S, latest_start(now, due, call.deadline, expect_s) - now))


def may_retry(now: float, call: Call, state: ServiceState | None, count: Counters) -> bool:
    """Return whether a call may be sent once more; a paid retry is taken from the budget.

    A retry is free while no attempt has arrived at an upstream: refusals by owners alone cost
    nothing. Calls that upstreams shed count as arrivals, since upstreams that shed every call would
    otherwise get several arrivals for each.
    """
    if state is None or call.req.key or call.req.retried:
        return False
    if call.may_have_run_reason and not call.repeatable:
        return False
    attempts = call.attempts_allowed or state.cfg["attempts"]
    refusals = call.dispatches - call.arrivals
    if call.arrivals >= attempts or refusals > MAX_REFUSALS:
        return False
    if now + MIN_BUDGET_S >= call.deadline:
        return False
    start_by = latest_useful_start(call, state)
    found = state.picker.pick(now, call.excluded, explain=False, start_by=start_by)
    if isinstance(found, NoChoice):
        return False
    if call.arrivals == 0 or state.budget.spend(now):
        return True
    count.unpaid += 1
    return False


def pick(
    now: float, call: Call, state: ServiceState | None, up: Container[str], *, explain: bool
) -> Choice | NoChoice:
    """Return the choice of an owner for a call; `up` are the connected owners."""
    if state is None:
        return NoChoice("service-removed", 0.0)
    if call.req.key:
        return choose_key_home(call, state, up)
    remote_s = remote_cost_s(call, state)
    start_by = latest_useful_start(call, state)
    return state.picker.pick(now, call.excluded, explain, call.route, remote_s, start_by)


def latest_useful_start(call: Call, state: ServiceState) -> float:
    """Return when a call must start to be answered by its deadline, monotonic seconds.

    Its owner is stricter with a call that can still meet its objective.
    """
    expect_s = state.picker.times.mean(call.route)
    return call.deadline - expect_s * TIME_MARGIN


def last_verdict(call: Call, not_run: NotRun) -> Verdict:
    """Return the final answer of a call that is not retried: `not_run` if it did not run."""
    if call.failure is not None:
        return Answered(call.failure)
    reason = call.may_have_run_reason
    if reason == DEADLINE_PASSED:
        return MayHaveRun(reason, status=504)
    return MayHaveRun(reason) if reason else not_run


def remote_cost_s(call: Call, state: ServiceState) -> float:
    """Return the extra cost of an upstream in another data centre for this call, seconds."""
    if not call.objective_s:
        return REMOTE_COST_S
    kilobytes = state.picker.times.size(call.route) / 1000
    return call.objective_s * (REMOTE_COST_SHARE + REMOTE_COST_SHARE_PER_KB * kilobytes)


def owners_for(call: Call, state: ServiceState) -> tuple[str, ...]:
    """Return the owners that may take a call, connected or not."""
    if not call.req.key:
        return tuple(state.picker.tracks)
    name = home(state.homes, call.req.key)
    return (name,) if name else ()


def choose_key_home(call: Call, state: ServiceState, up: Container[str]) -> Choice | NoChoice:
    """Return the home of the call's key, or `NoChoice` if it has none or that is not connected."""
    name = home(state.homes, call.req.key)
    if name is None:
        return NoChoice("key-has-no-home", 1.0)
    if name not in up:
        return NoChoice(NO_CONNECTION, 1.0)
    return Choice(name, "home-of-the-key", ())


def report_answer(
    now: float, picker: Picker, call: Call, attempt: PendingAttempt, message: Answer
) -> None:
    """Pass an answer's load and times to the picker."""
    failed = message["status"] >= SERVER_ERROR
    size = len(call.req.body) + len(message["body"])
    load, ahead = message["load"], message["ahead"]
    served_s, waited_s = message["served_us"] / 1e6, message["waited_us"] / 1e6
    picker.answered(
        attempt.target, attempt.seq, now, failed, load, ahead, call.route, size, served_s, waited_s
    )


def report_refusal(
    now: float, picker: Picker, call: Call, attempt: PendingAttempt, message: Refusal
) -> None:
    """Pass a refusal to the picker; one of a call with a key does not show the upstream's load."""
    if message["ran"] == "maybe":
        picker.lost(attempt.target, attempt.seq, now)
        return
    if call.req.key:
        picker.abandoned(attempt.target, attempt.seq, now)
        return
    retry_after_s = message["retry_after_ms"] / 1000
    picker.refused(attempt.target, attempt.seq, now, retry_after_s, message["load"])
