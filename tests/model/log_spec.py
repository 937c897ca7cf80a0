"""The configuration log: operators race, answers get lost, records expire, readers start late.

The readers' steps are the real functions of `foldhoist.configlog.fold`, so that the specification
and the code cannot drift apart. A mutant replaces one of them.
"""

from __future__ import annotations

from functools import cache
from typing import TYPE_CHECKING, Any, NamedTuple

from foldhoist.configlog import fold as real
from foldhoist.configlog.fold import PublishRecord, SnapshotRecord, State, digest_of, to_snapshot
from tests.model.checking import protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from minicheck import Protocol

MOST_RECORDS = 4
"""Records that are appended in a run."""
READERS = 2
KEEPER = 0
"""The reader that writes states again, with any pause between decision and write."""
HEARER = 1
"""The reader that hears the other; both begin with nothing, at any time: that is a restart, too."""
LOST_ANSWER = (2, 1)
"""Appends of each operator: the first one sends twice, since an answer was lost."""
THREE_RACE = (1, 1, 1)
"""Appends of each operator: three race, so that one can be based on what another replaced."""


class Rules(NamedTuple):
    """The functions under check."""

    fold: Callable[..., State] = real.fold
    anchor: Callable[..., State] = real.initial_state
    merge: Callable[..., State] = real.merge
    base_from_any_state: bool = False


class World(NamedTuple):
    """All there is: the log with its oldest offset kept, readers, publishers.

    `readers` are pairs of the state folded from the log and the state in force, both packed;
    `highest` is the greatest generation that each reader's present life had in force.
    """

    oldest: int = 0
    log: tuple[Any, ...] = ()
    readers: tuple[Any, ...] = ()
    highest: tuple[int, ...] = ()
    publishers: tuple[Any, ...] = ()
    kept: tuple[Any, ...] = ()


def pack(state: State) -> tuple[Any, ...]:
    """Return a state that can be hashed."""
    outcomes = tuple((o["publish_id"], o["generation"], o["reason"]) for o in state.outcomes)
    return (*state[:5], outcomes)


def unpack(packed: tuple[Any, ...]) -> State:
    """Return the state again."""
    outcomes = tuple(
        {"publish_id": name, "generation": number, "reason": why} for name, number, why in packed[5]
    )
    return State(*packed[:5], outcomes)  # type: ignore[arg-type]


@cache
def as_record(offset: int, entry: tuple[Any, ...]) -> Any:
    """Return the real record of an entry of the log."""
    if entry[0] == "publish":
        _, name, base, base_digest = entry
        body = {"publish_id": name, "base": base, "base_digest": base_digest}
        return PublishRecord(offset, {**body, "digest": digest_of(name), "content": name})  # type: ignore[typeddict-item]
    return SnapshotRecord(offset, to_snapshot(unpack(entry[1])))


@cache
def truth(log: tuple[Any, ...]) -> State:
    """Return what the whole log, nothing expired, adds up to: the reference."""
    state = State()
    for offset, entry in enumerate(log):
        state = real.fold(state, as_record(offset, entry))
    return state


@cache
def history(log: tuple[Any, ...]) -> dict[int, str]:
    """Return the content of each generation that was ever accepted."""
    accepted = {0: ""}
    state = State()
    for offset, entry in enumerate(log):
        state = real.fold(state, as_record(offset, entry))
        accepted[state.generation] = state.content
    return accepted


class Spec:
    """The transitions and invariants under some rules."""

    def __init__(self, rules: Rules, appends: tuple[int, ...]) -> None:
        self.rules = rules
        self.appends = appends
        self._from_log: dict[tuple[Any, ...], State] = {}

    def transitions(self, flat: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        """Return every step that may come next."""
        world = World(*flat)
        steps: list[tuple[str, World]] = []
        steps += self.publish(world)
        for at in range(READERS):
            steps += self.read(world, at)
        steps += self.keep(world, KEEPER)
        steps += self.hear(world, HEARER)
        if world.oldest < len(world.log):
            steps.append(("expire", world._replace(oldest=world.oldest + 1)))
        return [(label, tuple(after)) for label, after in steps]

    def publish(self, world: World) -> list[tuple[str, World]]:
        """An operator bases a proposal on what the log tells, and appends it, perhaps twice."""
        steps: list[tuple[str, World]] = []
        for at, (base, appended) in enumerate(world.publishers):
            if base is None and self.waits_its_turn(world, at):
                continue
            if base is None:
                found = self.from_log(world)
                if found.exact or self.rules.base_from_any_state:
                    taken = (found.generation, found.digest)
                    steps.append((f"p{at} reads", self.with_publisher(world, at, (taken, 0))))
                continue
            if appended < self.appends[at] and len(world.log) < MOST_RECORDS:
                after = self.with_publisher(world, at, (base, appended + 1))
                entry = ("publish", f"p{at}", *base)
                steps.append((f"p{at} appends", after._replace(log=(*world.log, entry))))
        return steps

    def waits_its_turn(self, world: World, at: int) -> bool:
        """Return whether an operator reads only after another: alike, their names do not matter."""
        alike = len(set(self.appends)) == 1
        return alike and at > 0 and world.publishers[at - 1][0] is None

    def read(self, world: World, at: int) -> list[tuple[str, World]]:
        """A reader folds the next record that it has not folded, or reads all again if inexact."""
        folded, in_force = (unpack(each) for each in world.readers[at])
        if not folded.exact:
            state = self.from_log(world)
            if pack(state) == world.readers[at][0]:
                return []
            return [(f"r{at} reads all", self.took(world, at, state, in_force))]
        if folded.folded < world.oldest:
            lost = folded._replace(exact=False)
            return [(f"r{at} missed records", self.took(world, at, lost, in_force))]
        if folded.folded >= len(world.log):
            return []
        record = as_record(folded.folded, world.log[folded.folded])
        return [
            (f"r{at} reads on", self.took(world, at, self.rules.fold(folded, record), in_force))
        ]

    def keep(self, world: World, at: int) -> list[tuple[str, World]]:
        """A reader decides to write its state again, and may be paused before it does."""
        steps: list[tuple[str, World]] = []
        folded = world.readers[at][0]
        waiting = world.kept[at]
        if waiting is None and folded[4] and folded[0] and len(world.log) < MOST_RECORDS:
            kept = tuple(folded if i == at else each for i, each in enumerate(world.kept))
            steps.append((f"r{at} will keep", world._replace(kept=kept)))
        if waiting is not None and len(world.log) < MOST_RECORDS:
            kept = tuple(None if i == at else each for i, each in enumerate(world.kept))
            log = (*world.log, ("keep", waiting))
            steps.append((f"r{at} keeps", world._replace(kept=kept, log=log)))
        return steps

    def hear(self, world: World, at: int) -> list[tuple[str, World]]:
        """A daemon hears another's state."""
        folded, in_force = (unpack(each) for each in world.readers[at])
        other = unpack(world.readers[1 - at][1])
        merged = self.rules.merge(in_force, other)
        if pack(merged) == pack(in_force):
            return []
        return [(f"r{at} hears", self.put(world, at, folded, merged))]

    def from_log(self, world: World) -> State:
        """Return what a reader without state makes of the records kept."""
        key = (world.oldest, world.log)
        if key not in self._from_log:
            self._from_log[key] = self._fold_log(world)
        return self._from_log[key]

    def _fold_log(self, world: World) -> State:
        kept = range(world.oldest, len(world.log))
        records = [as_record(offset, world.log[offset]) for offset in kept]
        state = self.rules.anchor(records, world.oldest)
        for record in records:
            state = self.rules.fold(state, record)
        return state

    def took(self, world: World, at: int, folded: State, in_force: State) -> World:
        """Return the world in which a reader has folded on."""
        return self.put(world, at, folded, self.rules.merge(in_force, folded))

    def put(self, world: World, at: int, folded: State, in_force: State) -> World:
        """Return the world with a reader's new states."""
        new = (pack(folded), pack(in_force))
        readers = tuple(new if i == at else each for i, each in enumerate(world.readers))
        highest = tuple(
            max(each, in_force.generation) if i == at else each
            for i, each in enumerate(world.highest)
        )
        return world._replace(readers=readers, highest=highest)

    def with_publisher(self, world: World, at: int, new: tuple[Any, ...]) -> World:
        """Return the world with a publisher's new state."""
        publishers = tuple(new if i == at else each for i, each in enumerate(world.publishers))
        return world._replace(publishers=publishers)


def in_force_was_accepted(world: dict[str, Any]) -> bool:
    """What a daemon has in force is a generation that the whole log accepted, with its content."""
    accepted = history(world["log"])
    return all(accepted.get(reader[1][0]) == reader[1][2] for reader in world["readers"])


def never_back(world: dict[str, Any]) -> bool:
    """A daemon's generation never falls in one life."""
    pairs = zip(world["readers"], world["highest"], strict=True)
    return all(reader[1][0] >= highest for reader, highest in pairs)


def outcomes_are_true(world: dict[str, Any]) -> bool:
    """What a state says of a publish id is what the whole log says of it."""
    real_outcomes = {o["publish_id"]: o["generation"] for o in truth(world["log"]).outcomes}
    for reader in world["readers"]:
        for name, generation, _ in reader[1][5]:
            if real_outcomes.get(name) != generation:
                return False
    return True


def specification(name: str, rules: Rules, appends: tuple[int, ...]) -> Protocol:
    """Return the specification under some rules, with so many appends of each operator."""
    nothing = pack(State(exact=False))
    start = World(
        readers=((nothing, nothing),) * READERS,
        highest=(0,) * READERS,
        publishers=((None, 0),) * len(appends),
        kept=(None,) * READERS,
    )
    return protocol(
        name,
        start,
        Spec(rules, appends).transitions,
        {
            "in force was accepted": in_force_was_accepted,
            "never back": never_back,
            "outcomes are true": outcomes_are_true,
        },
    )
