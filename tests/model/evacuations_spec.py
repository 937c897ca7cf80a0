"""Distribution of evacuations from an operator's log to a reading daemon and to its peer.

A daemon's state is an `Evacuations` object, built for each step. Messages of the reader may be
late, lost, repeated or out of order. A read may return only part of the log, or the full state, and
the reader may restart without its state and receive its own earlier messages.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from foldhoist.configlog.evacuations import Evacuation, Evacuations, StoredEvacuations
from tests.model.checking import protocol

if TYPE_CHECKING:
    from minicheck import Protocol

MAX_RECORDS = 3
"""Maximum number of records that the operator writes."""
MAX_RESTARTS = 1
"""Maximum number of restarts of the reader."""
ENTRIES = (Evacuation("a", True), Evacuation("a", False), Evacuation("b", True))
"""The records that the operator may write."""


class Rules(NamedTuple):
    """The rules of the protocol; a mutant turns one off."""

    newer_only: bool = True
    complete_replaces: bool = True
    read_all_first: bool = True


class State(NamedTuple):
    """Evacuated data centres that a daemon knows, up to an offset in the log."""

    at: int = 0
    data_centres: frozenset[str] = frozenset()


class World(NamedTuple):
    """State of the log, both daemons and sent messages.

    `position` is the offset at which the reader continues, -1 before its first read.
    """

    log: tuple[Evacuation, ...] = ()
    reader: State = State()
    position: int = -1
    other: State = State()
    sent: frozenset[State] = frozenset()
    restarts: int = 0
    went_back: bool = False


Step = tuple[str, World]


def evacuated(log: tuple[Evacuation, ...]) -> frozenset[str]:
    """Return the data centres that are evacuated after these records."""
    last = {record.data_centre: record.in_force for record in log}
    return frozenset(name for name, in_force in last.items() if in_force)


def specification(rules: Rules = Rules()) -> Protocol:  # noqa: B008
    """Return the specification under the given rules."""

    def transitions(fields: tuple[object, ...]) -> list[tuple[str, tuple[object, ...]]]:
        world = World(*fields)  # type: ignore[arg-type]
        steps = [
            *_writes(world),
            *_reads(world, rules),
            *_deliveries(world, rules),
            *_restarts(world, rules),
        ]
        return [(label, tuple(after)) for label, after in steps]

    return protocol("evacuations", World(), transitions, INVARIANTS)


def _writes(world: World) -> list[Step]:
    if len(world.log) == MAX_RECORDS:
        return []
    return [(f"operator writes {each}", world._replace(log=(*world.log, each))) for each in ENTRIES]


def _reads(world: World, rules: Rules) -> list[Step]:
    end = len(world.log)
    current = tuple(Evacuation(name, True) for name in sorted(evacuated(world.log)))
    complete = StoredEvacuations(end, rules.complete_replaces, current)
    steps = [("reader reads the full state", _read(world, complete, end, rules))]
    if world.position < 0:
        return steps
    for until in range(world.position + 1, end + 1):
        stored = StoredEvacuations(until, False, world.log[world.position : until])
        steps.append((f"reader reads up to {until}", _read(world, stored, until, rules)))
    return steps


def _read(world: World, stored: StoredEvacuations, position: int, rules: Rules) -> World:
    evacuations = _evacuations_of(world.reader, rules, stored.at)
    evacuations.apply_stored(stored)
    after = State(evacuations.at, evacuations.data_centres)
    back = world.went_back or after.at < world.reader.at
    sent = world.sent | {after}
    return world._replace(reader=after, position=position, sent=sent, went_back=back)


def _deliveries(world: World, rules: Rules) -> list[Step]:
    steps: list[Step] = []
    for message in sorted(world.sent, key=repr):
        for who, before in (("other", world.other), ("reader", world.reader)):
            evacuations = _evacuations_of(before, rules, message.at)
            evacuations.apply_peer({"at": message.at, "data_centres": sorted(message.data_centres)})
            after = State(evacuations.at, evacuations.data_centres)
            back = world.went_back or after.at < before.at
            label = f"{who} receives {message}"
            steps.append((label, world._replace(**{who: after}, went_back=back)))
    return steps


def _restarts(world: World, rules: Rules) -> list[Step]:
    if world.restarts == MAX_RESTARTS:
        return []
    position = -1 if rules.read_all_first else len(world.log)
    after = world._replace(reader=State(), position=position, restarts=world.restarts + 1)
    return [("reader restarts", after)]


def _evacuations_of(state: State, rules: Rules, message_at: int) -> Evacuations:
    evacuations = Evacuations()
    evacuations.at, evacuations.data_centres = state
    if not rules.newer_only and message_at:
        evacuations.at = message_at - 1
    return evacuations


def _is_exact(world: dict[str, object]) -> bool:
    log: tuple[Evacuation, ...] = world["log"]  # type: ignore[assignment]
    states: list[State] = [State(*world["reader"]), State(*world["other"])]  # type: ignore[misc]
    return all(state.data_centres == evacuated(log[: state.at]) for state in states)


INVARIANTS = {
    "evacuations match the records below the offset": _is_exact,
    "no incarnation of a daemon goes back": lambda world: not world["went_back"],
}
