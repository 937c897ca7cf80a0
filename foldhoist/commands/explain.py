"""`foldhoist explain`: the story of one call, from arrival to answer."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from foldhoist.commands.fetch import fetch_json
from foldhoist.commands.log_story import lines_of, read_lines, story_of
from foldhoist.commands.output import EXIT_FAULTS, EXIT_NOT_FOUND, EXIT_OK, print_json
from foldhoist.config.fleet import parse_fleet
from foldhoist.exceptions import UnreachableError

REASONS = {
    "least-cost": "it had the least expected time",
    "only-one-open": "no other upstream was open to new calls",
    "only-ejected-left": "only upstreams that are left out for errors or slowness remained",
    "trial": "it was left out before, and one call finds out whether it has recovered",
    "home-of-the-key": "every call with this idempotency key goes there",
}
"""Reasons of a choice, as sentences."""


def explain(
    trace: str, *, daemon: str = "", log: list[str] | None = None, json: bool = False
) -> int:
    """Tell why a call went where it did, from the daemons that it passed or from their logs.

    :param trace: Id of the call, from its Foldhoist-Trace header; with --log also its own id.
    :param daemon: Operators address of any daemon, as IP:port.
    :param log: Files with the log lines of the daemons, - for standard input.
    :param json: Print for a program.
    """
    if log:
        return _explain_by_log(trace, log, json)
    if not daemon:
        print("say where to look: --daemon IP:port, or --log with files of log lines")
        return EXIT_FAULTS
    if len(trace) != 32 or any(char not in "0123456789abcdef" for char in trace):
        print(f"{trace} is no trace: give the 32 characters of a Foldhoist-Trace header")
        return EXIT_FAULTS
    told = asyncio.run(gather(trace, daemon))
    if not any(part["calls"] or part["hops"] for part in told["parts"]):
        print(f"no daemon that answered knows {trace}: its records may have been replaced")
        return EXIT_NOT_FOUND
    if json:
        print_json(told)
    else:
        print(story(told))
    return EXIT_OK


def _explain_by_log(request: str, paths: list[str], json: bool) -> int:
    try:
        lines = lines_of(request, read_lines(paths))
    except OSError as exc:
        print(f"{exc.filename}: cannot be read: {exc.strerror}; name files of log lines")
        return EXIT_FAULTS
    if not lines:
        print(f"no line tells of {request}: ordinary calls are sampled, and lines are bounded")
        return EXIT_NOT_FOUND
    if json:
        print_json(lines)
    else:
        print(story_of(request, lines))
    return EXIT_OK


async def gather(trace: str, daemon: str) -> dict[str, Any]:
    """Ask every daemon of the configuration in force at one of them."""
    snapshot = await fetch_json(daemon, "/configuration")
    fleet, _ = parse_fleet(snapshot["content"], "configuration in force")
    addresses = [daemon]
    for target in fleet.get("targets", {}).values():
        if target["state"] != "retired" and target["operators"] != daemon:
            addresses.append(target["operators"])
    asked = [fetch_json(address, f"/explain/{trace}") for address in addresses]
    answers = await asyncio.gather(*asked, return_exceptions=True)
    parts: list[dict[str, Any]] = []
    silent: list[str] = []
    for address, answer in zip(addresses, answers, strict=True):
        if isinstance(answer, UnreachableError | msgspec.DecodeError):
            silent.append(address)
            continue
        if isinstance(answer, BaseException):
            raise answer
        parts.append(answer)
    return {"trace": trace, "parts": parts, "silent": silent}


def story(told: dict[str, Any]) -> str:
    """Return the gathered records as text."""
    lines = [f"call {told['trace']}"]
    hops = {hop["seq"]: hop for part in told["parts"] for hop in part["hops"]}
    for part in told["parts"]:
        for call in part["calls"]:
            lines += _call_lines(part["daemon"], call, hops)
    for address in told["silent"]:
        lines.append(f"no answer from the daemon at {address}: its part is missing")
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
