"""Evacuations on their way: an operator's log, a daemon that reads it, one that is told.

What a daemon holds is the real core object, built anew for each step. What the reader tells is
late, lost, doubled and out of order; its reads may be cut short, its history may be gone, it may
start again and be told what it knew before.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from foldhoist.configlog.evacuations import Evacuation, Evacuations, StoredEvacuations
from tests.model.checking import protocol

if TYPE_CHECKING:
    from minicheck import Protocol

MOST_RECORDS = 3
"""Records that the operator writes."""
MOST_RESTARTS = 1
"""Times that the reader starts again."""
ORDERS = (Evacuation("a", True), Evacuation("a", False), Evacuation("b", True))
"""What the operator may write."""


class Rules(NamedTuple):
    """The rules of the protocol; a mutant turns one off."""

    newer_alone: bool = True
    whole_replaces: bool = True
    reads_all_first: bool = True


class State(NamedTuple):
    """What a daemon holds."""

    at: int = 0
    data_centres: frozenset[str] = frozenset()


class World(NamedTuple):
    """All there is; `position` is where the reader reads on, -1 before its first read."""

    log: tuple[Evacuation, ...] = ()
    reader: State = State()
    position: int = -1
    other: State = State()
    sent: frozenset[State] = frozenset()
    restarts: int = 0
    went_back: bool = False


Step = tuple[str, World]


def standing(log: tuple[Evacuation, ...]) -> frozenset[str]:
    """Return what stands after these records."""
    last = {record.data_centre: record.in_force for record in log}
    return frozenset(name for name, in_force in last.items() if in_force)


def model(rules: Rules = Rules()) -> Protocol:  # noqa: B008
    """Return the specification under these rules."""

    def transitions(fields: tuple[object, ...]) -> list[tuple[str, tuple[object, ...]]]:
        world = World(*fields)  # type: ignore[arg-type]
        steps = [
            *_writes(world),
            *_reads(world, rules),
            *_told(world, rules),
            *_restarts(world, rules),
        ]
        return [(label, tuple(after)) for label, after in steps]

    return protocol("evacuations", World(), transitions, INVARIANTS)


def _writes(world: World) -> list[Step]:
    if len(world.log) == MOST_RECORDS:
        return []
    return [(f"operator: {each}", world._replace(log=(*world.log, each))) for each in ORDERS]


def _reads(world: World, rules: Rules) -> list[Step]:
    end = len(world.log)
    left = tuple(Evacuation(name, True) for name in sorted(standing(world.log)))
    whole = StoredEvacuations(end, rules.whole_replaces, left)
    steps = [("reader: reads all", _read(world, whole, end, rules))]
    if world.position < 0:
        return steps
    for until in range(world.position + 1, end + 1):
        told = StoredEvacuations(until, False, world.log[world.position : until])
        steps.append((f"reader: reads until {until}", _read(world, told, until, rules)))
    return steps


def _read(world: World, told: StoredEvacuations, position: int, rules: Rules) -> World:
    held = _built(world.reader, rules, told.at)
    held.apply_stored(told)
    after = State(held.at, held.data_centres)
    back = world.went_back or after.at < world.reader.at
    sent = world.sent | {after}
    return world._replace(reader=after, position=position, sent=sent, went_back=back)


def _told(world: World, rules: Rules) -> list[Step]:
    steps: list[Step] = []
    for message in sorted(world.sent, key=repr):
        for who, before in (("other", world.other), ("reader", world.reader)):
            held = _built(before, rules, message.at)
            held.apply_peer({"at": message.at, "data_centres": sorted(message.data_centres)})
            after = State(held.at, held.data_centres)
            back = world.went_back or after.at < before.at
            label = f"{who}: hears {message}"
            steps.append((label, world._replace(**{who: after}, went_back=back)))
    return steps


def _restarts(world: World, rules: Rules) -> list[Step]:
    if world.restarts == MOST_RESTARTS:
        return []
    position = -1 if rules.reads_all_first else len(world.log)
    after = world._replace(reader=State(), position=position, restarts=world.restarts + 1)
    return [("reader: starts again", after)]


def _built(state: State, rules: Rules, told_at: int) -> Evacuations:
    held = Evacuations()
    held.at, held.data_centres = state
    if not rules.newer_alone and told_at:
        held.at = told_at - 1
    return held


def _is_exact(world: dict[str, object]) -> bool:
    log: tuple[Evacuation, ...] = world["log"]  # type: ignore[assignment]
    states: list[State] = [State(*world["reader"]), State(*world["other"])]  # type: ignore[misc]
    return all(state.data_centres == standing(log[: state.at]) for state in states)


INVARIANTS = {
    "what stands follows from the records below the offset": _is_exact,
    "no daemon goes back in one life": lambda world: not world["went_back"],
}
