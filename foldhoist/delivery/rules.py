"""What may be tried again, what pickers learn."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.admission.completion import hedge_after, latest_start
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

MAX_REFUSALS = 3
"""Owners that may refuse a call before it is given up."""
SERVER_ERROR = 500
"""Statuses from this on count against an upstream."""
MIN_BUDGET_S = 0.001
"""A call with less time left than this is not dispatched, seconds."""
REMOTE_COST_SHARE = 0.4
"""What another data centre costs beside the time of a call, as a share of its objective."""
REMOTE_COST_SHARE_PER_KB = 0.08
"""What each kilobyte of the call's bodies adds to that share."""

MAX_PARK_S = 0.3
"""Longest wait of a call for a first connection to an owner, seconds."""


def budget_s(req: CallerRequest, routed: RouteMatch, state: ServiceState) -> float:
    """Return how long a call may take, seconds: its caller's word, within that of its route."""
    limit = routed.timeout_s or state.cfg["deadline_ms"] / 1000
    return min(req.budget_s, limit) if req.budget_s > 0 else limit


def hedge_after_s(call: Call, state: ServiceState) -> float:
    """Return how long a call runs before it is sent to a second upstream, seconds; 0 for never."""
    if not call.repeatable or call.req.retried:
        return 0.0
    expect_s = state.picker.times.mean(call.route)
    return state.cfg["hedge_ms"] / 1000 or hedge_after(call.objective_s, expect_s)


def max_park_s(now: float, call: Call, state: ServiceState) -> float:
    """Return how long a call may wait for a first connection to an owner, seconds.

    Nothing is offered to it meanwhile, so it is sent back at once where no upstream is known.
    """
    if not state.may_appear(now):
        return 0.0
    due = call.arrived + call.objective_s if call.objective_s else call.deadline
    expect_s = state.picker.times.mean(call.route)
    return max(0.0, min(MAX_PARK_S, latest_start(now, due, call.deadline, expect_s) - now))


def may_retry(now: float, call: Call, state: ServiceState | None, count: Counters) -> bool:
    """Return whether a call may be sent once more, and take that from the budget.

    What an owner refused without asking its upstream is no arrival: trying another costs nothing
    of the budget. What an upstream turned away is one: upstreams that turn every call away would
    else get up to four arrivals a call.
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
    if isinstance(state.picker.pick(now, call.excluded, explain=False), NoChoice):
        return False
    if call.arrivals == 0 or state.budget.spend(now):
        return True
    count.unpaid += 1
    return False


def pick(
    now: float, call: Call, state: ServiceState | None, up: Container[str], *, explain: bool
) -> Choice | NoChoice:
    """Return where a call goes next; `up` are the owners that are connected."""
    if state is None:
        return NoChoice("service-removed", 0.0)
    if call.req.key:
        return choose_key_home(call, state, up)
    remote_s = remote_cost_s(call, state)
    return state.picker.pick(now, call.excluded, explain, call.route, remote_s)


def last_verdict(call: Call, not_run: NotRun) -> Verdict:
    """Return the final answer of a call that is not sent again: `not_run` if it never ran."""
    if call.failure is not None:
        return Answered(call.failure)
    if call.may_have_run_reason:
        return MayHaveRun(call.may_have_run_reason)
    return not_run


def remote_cost_s(call: Call, state: ServiceState) -> float:
    """Return what another data centre costs this call beside its time, seconds."""
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
    """Return the home of the call's idempotency key, if it is among the connected ones."""
    name = home(state.homes, call.req.key)
    if name is None:
        return NoChoice("key-has-no-home", 1.0)
    if name not in up:
        return NoChoice(NO_CONNECTION, 1.0)
    return Choice(name, "home-of-the-key", ())


def report_answer(
    now: float, picker: Picker, call: Call, attempt: PendingAttempt, message: Answer
) -> None:
    """Let the picker learn from an answer."""
    failed = message["status"] >= SERVER_ERROR
    size = len(call.req.body) + len(message["body"])
    load, ahead = message["load"], message["ahead"]
    served_s = message["served_us"] / 1e6
    picker.answered(
        attempt.target, attempt.seq, now, failed, load, ahead, call.route, size, served_s
    )


def report_refusal(
    now: float, picker: Picker, call: Call, attempt: PendingAttempt, message: Refusal
) -> None:
    """Let the picker learn from a refusal; one of a key says nothing of the upstream's room."""
    if message["ran"] == "maybe":
        picker.lost(attempt.target, attempt.seq, now)
        return
    if call.req.key:
        picker.abandoned(attempt.target, attempt.seq, now)
        return
    retry_after_s = message["retry_after_ms"] / 1000
    picker.refused(attempt.target, attempt.seq, now, retry_after_s, message["load"])
