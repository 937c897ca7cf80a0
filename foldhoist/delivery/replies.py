"""Frames and log records of an owner about the result of a call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.delivery.dispatch import Complete, Ended, Frame, Incomplete, Refused, Replaced, Shed
from foldhoist.delivery.rules import CONNECTION_FULL, CONNECTION_FULL_RETRY_S
from foldhoist.delivery.upstream_status import REPLACED

if TYPE_CHECKING:
    from foldhoist.delivery.dispatch import Result, Ticket
    from foldhoist.delivery.keys import Deny
    from foldhoist.delivery.verdict import Response
    from foldhoist.schema.messages import Answer, Dispatch, Load, Refusal


def answer_frame(
    seq: int,
    response: Response,
    ahead: int,
    times_us: tuple[int, int],
    load: Load,
    *,
    bulk: bool = False,
) -> Frame:
    """Return an answer; `times_us` is the wait for a slot and the service time, microseconds.

    `ahead` counts the calls ahead of it on arrival, -1 if unknown. An answer of a `bulk` route may
    be sent in pieces.
    """
    waited_us, served_us = times_us
    body: Answer = {
        "seq": seq,
        "status": response.status,
        "headers": response.headers,
        "body": response.body,
        "ahead": ahead,
        "waited_us": waited_us,
        "served_us": served_us,
        "load": load,
    }
    if bulk:
        body["bulk"] = True
    return Frame("Answer", body)


def refusal_frame(
    seq: int, ran: str, reason: str, retry_after_s: float, load: Load, reached: bool = False
) -> Frame:
    """Return a refusal; `ran` is "no" or "maybe".

    `reached` means that the upstream received the call and rejected it.
    """
    body: Refusal = {
        "seq": seq,
        "ran": ran,  # type: ignore[typeddict-item]
        "reason": reason,
        "retry_after_ms": int(retry_after_s * 1000),
        "load": load,
    }
    if reached:
        body["reached"] = True
    return Frame("Refusal", body)


def answer_not_sent(answer: Answer) -> Frame:
    """Return the refusal in place of an answer that its connection did not take; the call ran."""
    reason, retry_after_s = CONNECTION_FULL, CONNECTION_FULL_RETRY_S
    return refusal_frame(answer["seq"], "maybe", reason, retry_after_s, answer["load"])


def denied_frame(seq: int, denial: Deny, load: Load) -> Frame:
    """Return the refusal of a call whose idempotency key was denied."""
    return refusal_frame(seq, denial.ran, denial.reason, denial.retry_after_s, load)


def refused_record(req: Dispatch, reason: str, retry_after_s: float, load: Load) -> Refused:
    """Return the log record of a refusal."""
    signals = load.get("signals")
    return Refused(
        req.get("name", ""),
        req["trace"],
        req["seq"],
        reason,
        int(retry_after_s * 1000),
        load["busy"],
        load["queued"],
        load["slots"],
        load["state"],
        signals.get("limit_per_s") if signals is not None else None,
        signals.get("limit_age_ms", 0) if signals is not None else 0,
    )


def ended_record(now: float, ticket: Ticket, result: Result, busy: int, queued: int) -> Ended:
    """Return the record of a call with its result from the upstream."""
    match result:
        case Complete(status):
            name = f"answered {status}"
        case Shed():
            name = "shed"
        case Replaced():
            name = REPLACED
        case Incomplete(_, reason):
            name = reason
    req = ticket.request
    waited_us = int((ticket.started - ticket.arrived) * 1e6)
    served_us = int((now - ticket.started) * 1e6)
    request_name = req.get("name", "")
    return Ended(req["trace"], req["seq"], waited_us, served_us, name, busy, queued, request_name)
