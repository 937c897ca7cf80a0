"""Builds the message that sends a call to an owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.delivery.keys import uuid7_issued_ms
from foldhoist.routing.routes import NO_RANK

if TYPE_CHECKING:
    from foldhoist.delivery.call import Call
    from foldhoist.schema.messages import Dispatch

DEADLINE_MARGIN_S = 0.005
"""Time held back from the owner's budget, so that its refusal arrives in time, seconds."""


def dispatch_message(
    now: float,
    call: Call,
    seq: int,
    acked: int,
    generation: int,
    expected_s: float,
    last_start: float = float("inf"),
) -> Dispatch:
    """Return the message of an attempt; `expected_s` is the usual time at an upstream, seconds.

    The ingress has the results of all attempts below `acked`. `last_start` is when the attempt must
    have started at the upstream, monotonic seconds.
    """
    req = call.req
    left_s = call.deadline - now
    margin = DEADLINE_MARGIN_S if left_s > 4 * DEADLINE_MARGIN_S else 0.0
    message: Dispatch = {
        "seq": seq,
        "acked": acked,
        "service": call.service,
        "method": req.method,
        "path": req.path,
        "headers": req.headers,
        "body": req.body,
        "budget_ms": max(1, int((left_s - margin) * 1000)),
        "urgent": call.urgent,
        "repeatable": call.repeatable,
        "key": req.key,
        "key_issued_ms": req.key_issued_ms or uuid7_issued_ms(req.key),
        "generation": generation,
        "hops": req.hops,
        "retried": bool(req.retried) or call.arrivals > 1,
        "trace": req.trace,
    }
    if req.caller:
        message["caller"] = req.caller
    if req.name:
        message["name"] = req.name
    if call.rank != NO_RANK:
        message["rank"] = call.rank
    if req.parent_rank != NO_RANK:
        message["parent_rank"] = req.parent_rank
    if not message["retried"] and req.repeat:
        message["repeat_percent"] = round(100 * req.repeat)
    if call.customer is not None:
        message["customer"] = call.customer.name
    if call.over_burst:
        message["scarce"] = True
    if call.bulk:
        message["bulk"] = True
    if last_start != float("inf"):
        message["start_ms"] = max(0, int((last_start - now) * 1000))
    if expected_s:
        message["expect_ms"] = int(expected_s * 1000)
    if call.objective_s:
        message["due_ms"] = int((call.arrived + call.objective_s - now) * 1000)
        message["route"] = call.route
    return message
