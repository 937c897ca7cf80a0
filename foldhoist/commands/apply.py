"""`foldhoist apply`: proposes a fleet configuration as a whole."""

from __future__ import annotations

import asyncio
import secrets
import sys
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from foldhoist.commands.check import load_fleet
from foldhoist.commands.fetch import fetch_json
from foldhoist.commands.output import (
    EXIT_FAULTS,
    EXIT_OK,
    EXIT_REJECTED,
    EXIT_UNKNOWN,
    print_faults,
    print_json,
)
from foldhoist.config.changes import changes
from foldhoist.config.faults import Fault, errors
from foldhoist.config.fleet import check_change, parse_fleet
from foldhoist.configlog.fold import State, from_snapshot, merge
from foldhoist.configlog.publisher import (
    Accepted,
    Append,
    Publisher,
    Rejected,
    Step,
    Unknown,
    base_generation,
    new_publish_id,
)
from foldhoist.exceptions import UnreachableError, UsageError
from foldhoist.logservice.client import PlatformClient, pack_publish
from foldhoist.logservice.state import read_state
from foldhoist.schema.messages import Snapshot

if TYPE_CHECKING:
    from foldhoist.schema.fleet import Fleet

RETRY_PAUSE_S = 0.3
"""Pause after a failed append, before the log is read again, seconds."""


def apply(
    file: str,
    *,
    log: str,
    stream: str = "configuration",
    daemon: str = "",
    base: int = -1,
    id: str = "",
    json: bool = False,
) -> int:
    """Propose a fleet configuration; it comes into force as a whole or not at all.

    Exits with 0 if it was accepted, 1 if the file has faults, 2 if it was rejected (another change
    came first, or the platform's log could not be read and nothing was sent), and 3 if the result
    is unknown: then run the same command again with the printed id. Without --base, the changes
    against the generation in force are printed to standard error.

    :param file: Path of the configuration.
    :param log: Address of the platform's log, as IP:port.
    :param stream: Stream that holds the configuration.
    :param daemon: Operators address of a daemon to ask if the log alone does not give the state.
    :param base: Generation that the file was edited from, as `foldhoist config` prints it; the file
        is rejected if another one is in force.
    :param id: Id that an earlier run with an unknown result printed.
    :param json: Print JSON.
    """
    text, fleet, faults = load_fleet(file)
    if fleet is None:
        print_faults(faults, as_json=json)
        return EXIT_FAULTS
    if id and base_generation(id) is None:
        raise UsageError(f"{id} is not a publish id; give the one that an earlier run printed")
    proposal = Proposal(file, text, fleet, log, stream, daemon, base)
    publish_id, outcome = asyncio.run(_apply(proposal, id))
    if isinstance(outcome, list):
        print_faults(outcome, as_json=json)
        return EXIT_FAULTS
    return _print_result(outcome, publish_id, json)


class Proposal(NamedTuple):
    """A checked configuration, and where and on what base to propose it."""

    file: str
    text: str
    fleet: Fleet
    log: str
    stream: str
    daemon: str
    base: int


async def _apply(proposal: Proposal, earlier_id: str) -> tuple[str, Step | list[Fault]]:
    client = PlatformClient(proposal.log, proposal.stream)
    state = await _state(client, proposal.daemon)
    if state is None and not earlier_id:
        return "", Rejected("the platform's log could not be read, and nothing was sent")
    if state is not None:
        faults = _change_faults(state, proposal)
        if errors(faults):
            return "", faults
        rejected = _base_mismatch(state, proposal) if not earlier_id else None
        if rejected is not None:
            return "", rejected
        if proposal.base < 0:
            _print_changes(state, proposal)
    publish_id = earlier_id or new_publish_id(state or State(), secrets.token_hex(8))
    publisher = Publisher(publish_id, proposal.text)
    return publish_id, await _publish(client, publisher, state, proposal.daemon)


async def _publish(
    client: PlatformClient, publisher: Publisher, state: State | None, daemon: str
) -> Step:
    while True:
        step = publisher.next(state)
        if not isinstance(step, Append):
            return step
        appended = await client.append(pack_publish(step.body))
        if appended.is_error():
            await asyncio.sleep(RETRY_PAUSE_S)
        state = await _state(client, daemon)


async def _state(client: PlatformClient, daemon: str) -> State | None:
    answer = await read_state(client)
    if answer.is_error():
        return None
    state = answer.ok
    if state.exact or not daemon:
        return state
    try:
        body = await fetch_json(daemon, "/configuration")
    except UnreachableError:
        return state
    snapshot = from_snapshot(msgspec.convert(body, Snapshot))
    return merge(state, snapshot) if snapshot.folded >= state.folded else state


def _change_faults(state: State, proposal: Proposal) -> list[Fault]:
    if not state.content or state.content == proposal.text:
        return []
    old, _ = parse_fleet(state.content, "configuration in force")
    return check_change(old, proposal.fleet, proposal.file)


def _base_mismatch(state: State, proposal: Proposal) -> Rejected | None:
    """Return a rejection if the file was edited from a generation that is not in force."""
    if proposal.base < 0 or proposal.base == state.generation:
        return None
    return Rejected(
        f"generation {state.generation} is in force, and {proposal.file} was edited from"
        f" generation {proposal.base}"
    )


def _print_changes(state: State, proposal: Proposal) -> None:
    """Print to standard error what the proposal changes in the configuration in force."""
    if not state.content:
        return
    old, _ = parse_fleet(state.content, "configuration in force")
    lines = changes(old, proposal.fleet)
    print(f"changes against generation {state.generation}:", file=sys.stderr)
    for line in lines or ["none"]:
        print(f"  {line}", file=sys.stderr)


def _print_result(step: Step, publish_id: str, json: bool) -> int:
    match step:
        case Accepted(generation):
            code, result = EXIT_OK, "accepted"
            text = f"accepted: generation {generation} is in force"
            why = ""
        case Rejected(why):
            code, result, generation = EXIT_REJECTED, "rejected", 0
            text = f"rejected: {why}; look at `foldhoist config`, then apply again"
        case Unknown(why):
            code, result, generation = EXIT_UNKNOWN, "unknown", 0
            text = f"unknown: {why}; run the same command again with --id {publish_id}"
    if json:
        print_json({"result": result, "generation": generation, "why": why, "id": publish_id})
    else:
        print(text)
    return code
