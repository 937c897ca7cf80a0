"""The configuration log: concurrent operators, lost answers, expired records, restarted readers.

The readers use the functions of `foldhoist.configlog.fold`; a mutant replaces one of them.
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

MAX_RECORDS = 4
"""Maximum number of records appended in a run."""
READERS = 2
SNAPSHOT_WRITER = 0
"""The reader that writes snapshots, with any delay between decision and write."""
FOLLOWER = 1
"""The reader that receives the other's state. Both start empty, which covers a restart."""
LOST_ANSWER = (2, 1)
"""Appends of each operator: the first one repeats its append after a lost answer."""
THREE_OPERATORS = (1, 1, 1)
"""Appends of each operator: a proposal can be based on a state that another has replaced."""


class Rules(NamedTuple):
    """The functions under test, and whether a proposal may be based on an inexact state."""

    fold: Callable[..., State] = real.fold
    initial_state: Callable[..., State] = real.initial_state
    merge: Callable[..., State] = real.merge
    base_from_any_state: bool = False


class World(NamedTuple):
    """State of the log with its oldest retained offset, the readers and the publishers.

    `readers` are pairs of the state folded from the log and the state in force, both packed;
    `highest` is the greatest generation that each reader has had in force. `pending_snapshots` are
    the states that readers have decided to write, None for none.
    """

    oldest: int = 0
    log: tuple[Any, ...] = ()
    readers: tuple[Any, ...] = ()
    highest: tuple[int, ...] = ()
    publishers: tuple[Any, ...] = ()
    pending_snapshots: tuple[Any, ...] = ()


def pack(state: State) -> tuple[Any, ...]:
    """Return the state as a hashable tuple."""
    outcomes = tuple((o["publish_id"], o["generation"], o["reason"]) for o in state.outcomes)
    return (*state[:5], outcomes)


def unpack(packed: tuple[Any, ...]) -> State:
    """Return the state of a packed tuple."""
    outcomes = tuple(
        {"publish_id": name, "generation": number, "reason": why} for name, number, why in packed[5]
    )
    return State(*packed[:5], outcomes)  # type: ignore[arg-type]


@cache
def as_record(offset: int, entry: tuple[Any, ...]) -> Any:
    """Return the product's record of an entry of the log."""
    if entry[0] == "publish":
        _, name, base, base_digest = entry
        body = {"publish_id": name, "base": base, "base_digest": base_digest}
        return PublishRecord(offset, {**body, "digest": digest_of(name), "content": name})  # type: ignore[typeddict-item]
    return SnapshotRecord(offset, to_snapshot(unpack(entry[1])))


@cache
def reference_state(log: tuple[Any, ...]) -> State:
    """Return the state folded from the whole log, expired records included."""
    state = State()
    for offset, entry in enumerate(log):
        state = real.fold(state, as_record(offset, entry))
    return state


@cache
def accepted_contents(log: tuple[Any, ...]) -> dict[int, str]:
    """Return the content of each accepted generation."""
    accepted = {0: ""}
    state = State()
    for offset, entry in enumerate(log):
        state = real.fold(state, as_record(offset, entry))
        accepted[state.generation] = state.content
    return accepted


class Spec:
    """The transitions under the given rules."""

    def __init__(self, rules: Rules, appends: tuple[int, ...]) -> None:
        self.rules = rules
        self.appends = appends
        self._from_log: dict[tuple[Any, ...], State] = {}

    def transitions(self, flat: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        """Return every possible next step."""
        world = World(*flat)
        steps: list[tuple[str, World]] = []
        steps += self.publish_steps(world)
        for at in range(READERS):
            steps += self.read_steps(world, at)
        steps += self.snapshot_steps(world, SNAPSHOT_WRITER)
        steps += self.peer_steps(world, FOLLOWER)
        if world.oldest < len(world.log):
            steps.append(("expire", world._replace(oldest=world.oldest + 1)))
        return [(label, tuple(after)) for label, after in steps]

    def publish_steps(self, world: World) -> list[tuple[str, World]]:
        """An operator bases a proposal on the state of the log, and appends it once or twice."""
        steps: list[tuple[str, World]] = []
        for at, (base, appended) in enumerate(world.publishers):
            if base is None and self.must_wait(world, at):
                continue
            if base is None:
                found = self.from_log(world)
                if found.exact or self.rules.base_from_any_state:
                    taken = (found.generation, found.digest)
                    steps.append((f"p{at} reads", self.with_publisher(world, at, (taken, 0))))
                continue
            if appended < self.appends[at] and len(world.log) < MAX_RECORDS:
                after = self.with_publisher(world, at, (base, appended + 1))
                entry = ("publish", f"p{at}", *base)
                steps.append((f"p{at} appends", after._replace(log=(*world.log, entry))))
        return steps

    def must_wait(self, world: World, at: int) -> bool:
        """Return whether an identical operator must read first, which avoids symmetric states."""
        alike = len(set(self.appends)) == 1
        return alike and at > 0 and world.publishers[at - 1][0] is None

    def read_steps(self, world: World, at: int) -> list[tuple[str, World]]:
        """A reader folds its next record, or reads all records again if its state is inexact."""
        folded, in_force = (unpack(each) for each in world.readers[at])
        if not folded.exact:
            state = self.from_log(world)
            if pack(state) == world.readers[at][0]:
                return []
            return [(f"r{at} reads all records", self.with_folded(world, at, state, in_force))]
        if folded.folded < world.oldest:
            inexact = folded._replace(exact=False)
            return [(f"r{at} missed records", self.with_folded(world, at, inexact, in_force))]
        if folded.folded >= len(world.log):
            return []
        record = as_record(folded.folded, world.log[folded.folded])
        return [
            (
                f"r{at} reads one record",
                self.with_folded(world, at, self.rules.fold(folded, record), in_force),
            )
        ]

    def snapshot_steps(self, world: World, at: int) -> list[tuple[str, World]]:
        """A reader decides to write a snapshot, and writes it at any later time."""
        steps: list[tuple[str, World]] = []
        folded = world.readers[at][0]
        waiting = world.pending_snapshots[at]
        if waiting is None and folded[4] and folded[0] and len(world.log) < MAX_RECORDS:
            pending_snapshots = tuple(
                folded if i == at else each for i, each in enumerate(world.pending_snapshots)
            )
            steps.append(
                (
                    f"r{at} decides to write a snapshot",
                    world._replace(pending_snapshots=pending_snapshots),
                )
            )
        if waiting is not None and len(world.log) < MAX_RECORDS:
            pending_snapshots = tuple(
                None if i == at else each for i, each in enumerate(world.pending_snapshots)
            )
            log = (*world.log, ("snapshot", waiting))
            steps.append(
                (
                    f"r{at} writes a snapshot",
                    world._replace(pending_snapshots=pending_snapshots, log=log),
                )
            )
        return steps

    def peer_steps(self, world: World, at: int) -> list[tuple[str, World]]:
        """A reader receives the state that the other has in force."""
        folded, in_force = (unpack(each) for each in world.readers[at])
        other = unpack(world.readers[1 - at][1])
        merged = self.rules.merge(in_force, other)
        if pack(merged) == pack(in_force):
            return []
        return [
            (f"r{at} receives the state of the other", self.with_reader(world, at, folded, merged))
        ]

    def from_log(self, world: World) -> State:
        """Return the state that an empty reader folds from the retained records."""
        key = (world.oldest, world.log)
        if key not in self._from_log:
            self._from_log[key] = self._fold_log(world)
        return self._from_log[key]

    def _fold_log(self, world: World) -> State:
        offsets = range(world.oldest, len(world.log))
        records = [as_record(offset, world.log[offset]) for offset in offsets]
        state = self.rules.initial_state(records, world.oldest)
        for record in records:
            state = self.rules.fold(state, record)
        return state

    def with_folded(self, world: World, at: int, folded: State, in_force: State) -> World:
        """Return the world with a reader's new folded state, merged into its state in force."""
        return self.with_reader(world, at, folded, self.rules.merge(in_force, folded))

    def with_reader(self, world: World, at: int, folded: State, in_force: State) -> World:
        """Return the world with a reader's new folded state and state in force."""
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
    """The state in force of each reader is an accepted generation with its content."""
    accepted = accepted_contents(world["log"])
    return all(accepted.get(reader[1][0]) == reader[1][2] for reader in world["readers"])


def generations_never_decrease(world: dict[str, Any]) -> bool:
    """The generation in force of a reader never decreases."""
    pairs = zip(world["readers"], world["highest"], strict=True)
    return all(reader[1][0] >= highest for reader, highest in pairs)


def outcomes_are_true(world: dict[str, Any]) -> bool:
    """Each outcome in force has the generation that the whole log gives its publish id."""
    real_outcomes = {
        o["publish_id"]: o["generation"] for o in reference_state(world["log"]).outcomes
    }
    for reader in world["readers"]:
        for name, generation, _ in reader[1][5]:
            if real_outcomes.get(name) != generation:
                return False
    return True


def specification(name: str, rules: Rules, appends: tuple[int, ...]) -> Protocol:
    """Return the specification under the given rules; `appends` has one number per operator."""
    empty = pack(State(exact=False))
    start = World(
        readers=((empty, empty),) * READERS,
        highest=(0,) * READERS,
        publishers=((None, 0),) * len(appends),
        pending_snapshots=(None,) * READERS,
    )
    return protocol(
        name,
        start,
        Spec(rules, appends).transitions,
        {
            "the state in force was accepted": in_force_was_accepted,
            "generations never decrease": generations_never_decrease,
            "outcomes are true": outcomes_are_true,
        },
    )
