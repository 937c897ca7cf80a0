"""`foldhoist explain`: prints what happened to one call, from arrival to answer."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from foldhoist.commands.fetch import fetch_json
from foldhoist.commands.log_events import format_request, read_events, select_events
from foldhoist.commands.output import EXIT_FAULTS, EXIT_NOT_FOUND, EXIT_OK, print_json
from foldhoist.config.fleet import parse_fleet
from foldhoist.exceptions import UnreachableError

REASONS = {
    "least-cost": "it had the lowest expected time",
    "only-one-open": "no other upstream was available for the call",
    "only-ejected-left": "only upstreams ejected for errors or slowness were left",
    "trial": "it was ejected, and one call tests whether it has recovered",
    "home-of-the-key": "every call with this idempotency key goes there",
}
"""Reasons for the choice of an upstream, as text."""


def explain(
    trace: str, *, daemon: str = "", log: list[str] | None = None, json: bool = False
) -> int:
    """Explain why a call was sent where it was, from the records of all daemons or from their logs.

    :param trace: Trace id of the call, from its Foldhoist-Trace header; with --log also its own id.
    :param daemon: Operators address of any daemon, as IP:port.
    :param log: Files with the log lines of the daemons, - for standard input.
    :param json: Print JSON.
    """
    if log:
        return _explain_by_log(trace, log, json)
    if not daemon:
        print("no source: give --daemon IP:port, or --log with log files")
        return EXIT_FAULTS
    if len(trace) != 32 or any(char not in "0123456789abcdef" for char in trace):
        print(f"{trace} is not a trace id: give the 32 characters of a Foldhoist-Trace header")
        return EXIT_FAULTS
    collected = asyncio.run(collect_records(trace, daemon))
    if not any(part["calls"] or part["hops"] for part in collected["parts"]):
        print(f"no daemon that answered has records of {trace}: they may have been overwritten")
        return EXIT_NOT_FOUND
    if json:
        print_json(collected)
    else:
        print(format_records(collected))
    return EXIT_OK


def _explain_by_log(request: str, paths: list[str], json: bool) -> int:
    try:
        events = select_events(request, read_events(paths))
    except OSError as exc:
        print(f"{exc.filename}: cannot be read: {exc.strerror}; give readable log files")
        return EXIT_FAULTS
    if not events:
        print(f"no log line for {request}: ordinary calls are sampled, and lines are rate-limited")
        return EXIT_NOT_FOUND
    if json:
        print_json(events)
    else:
        print(format_request(request, events))
    return EXIT_OK


async def collect_records(trace: str, daemon: str) -> dict[str, Any]:
    """Return a call's records from a daemon and those of all targets not retired that it knows."""
    snapshot = await fetch_json(daemon, "/configuration")
    fleet, _ = parse_fleet(snapshot["content"], "configuration in force")
    addresses = [daemon]
    for target in fleet.get("targets", {}).values():
        if target["state"] != "retired" and target["operators"] != daemon:
            addresses.append(target["operators"])
    requests = [fetch_json(address, f"/explain/{trace}") for address in addresses]
    answers = await asyncio.gather(*requests, return_exceptions=True)
    parts: list[dict[str, Any]] = []
    no_answer: list[str] = []
    for address, answer in zip(addresses, answers, strict=True):
        if isinstance(answer, UnreachableError | msgspec.DecodeError):
            no_answer.append(address)
            continue
        if isinstance(answer, BaseException):
            raise answer
        parts.append(answer)
    return {"trace": trace, "parts": parts, "silent": no_answer}


def format_records(collected: dict[str, Any]) -> str:
    """Return the collected records as text."""
    lines = [f"call {collected['trace']}"]
    hops = {hop["seq"]: hop for part in collected["parts"] for hop in part["hops"]}
    for part in collected["parts"]:
        for call in part["calls"]:
            lines += _call_lines(part["daemon"], call, hops)
    for address in collected["silent"]:
        lines.append(f"no answer from the daemon at {address}: its records are missing")
    return "\n".join(lines)


def _call_lines(daemon: str, call: dict[str, Any], hops: dict[int, dict[str, Any]]) -> list[str]:
    kind = ("urgent, " if call["urgent"] else "") + (
        "repeatable" if call["repeatable"] else "not repeatable"
    )
    lines = [
        f"0.00 ms  {daemon}: {call['method']} {call['path']} arrived for service "
        f"{call['service'] or '(none)'}, {kind}, generation {call['generation']}"
    ]
    for attempt in sorted(call["attempts"], key=lambda each: each["sent_us"]):
        lines += _attempt_lines(daemon, attempt, hops)
    reason = f": {call['reason']}" if call["reason"] else ""
    end = f"{call['verdict']}{reason}, status {call['status']}"
    lines.append(f"{call['total_us'] / 1000:.2f} ms  {daemon}: final answer, {end}")
    return lines


def _attempt_lines(
    daemon: str, attempt: dict[str, Any], hops: dict[int, dict[str, Any]]
) -> list[str]:
    why = REASONS.get(attempt["reason"], attempt["reason"])
    lines = [f"{attempt['sent_us'] / 1000:.2f} ms  {daemon}: sent to {attempt['target']}, as {why}"]
    for each in sorted(attempt["candidates"], key=lambda each: each["score"]):
        age = f"{each['report_age_s'] * 1000:.0f} ms old" if each["report_age_s"] >= 0 else "none"
        lines.append(
            f"           {each['name']}: expected {each['score'] * 1000:.2f} ms, "
            f"{each['in_flight']} own calls there, {each['occupancy']:.1f} calls in all, "
            f"answers in {each['latency_s'] * 1000:.2f} ms, {each['state']}, report {age}"
        )
    hop = hops.get(attempt["seq"])
    if hop is not None and hop["owner"] == attempt["target"]:
        lines.append(
            f"           {hop['owner']}: waited {hop['waited_us'] / 1000:.2f} ms for a slot, "
            f"upstream took {hop['served_us'] / 1000:.2f} ms: {hop['result']}"
        )
    lines.append(f"{attempt['ended_us'] / 1000:.2f} ms  {attempt['target']}: {attempt['result']}")
    return lines
