"""Daemons that join, one that is lost, and one that comes to its address under another name.

Each list of daemons is the real core object, built anew for each step. Records of lost daemons stay
in the store, and a list may be read at any time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from foldhoist.membership.registry import Peer, Registration, Registry
from tests.model.checking import protocol

if TYPE_CHECKING:
    from minicheck import Protocol

ADDRESS = {"a": "h1:1", "b": "h2:1", "c": "h2:1"}
"""Where the daemons listen: c comes to the host of b."""
JOINS = ("new", "wrote", "joined")
"""Steps of joining: write the own record, then read all."""
MOST_READS = 2
"""Times that a daemon which has joined reads the list again."""


class Rules(NamedTuple):
    """The rules of the protocol; a mutant turns one off."""

    write_before_read: bool = True
    told_before_stored: bool = True
    one_name_an_address: bool = True
    told_before_passed_on: bool = True


class World(NamedTuple):
    """All there is.

    `step`: how far a, b and c have joined. `up`: which of them run. `store` holds names. `knows`
    holds, for each daemon, the names it knows, and whether these have told of themselves.
    """

    step: tuple[str, str, str] = ("new", "new", "absent")
    up: tuple[bool, bool, bool] = (True, True, False)
    store: tuple[str, ...] = ()
    knows: tuple[tuple[tuple[str, bool], ...], ...] = ((), (), ())
    reads: int = 0


Step = tuple[str, World]
NAMES = "abc"


def member(name: str) -> Any:
    """Return what a daemon tells of itself."""
    upstream = {"instance": name, "service": "s", "slots": 1, "state": "ready", "sequence": 1}
    return {
        "name": name,
        "incarnation": name,
        "telling": 1,
        "frames": ADDRESS[name],
        "data_centre": "one",
        "version": 0,
        "upstream": {**upstream, "born_ms": 0, "cold_ms": 0},
        "ended": [],
    }


def registry_of(world: World, at: int) -> Registry:
    """Return the list of a daemon as the real object."""
    registry = Registry(NAMES[at], "one")
    for name, told in world.knows[at]:
        peer = Peer(Registration(name, name, ADDRESS[name], "one"), 0.0)
        peer.upstream = member(name)["upstream"] if told else None
        registry.add(peer)
    return registry


def with_registry(world: World, at: int, registry: Registry) -> World:
    """Return the world with what the daemon knows now."""
    known = tuple((name, peer.upstream is not None) for name, peer in registry.peers.items())
    return world._replace(knows=replaced(world.knows, at, known))


def replaced(values: tuple[Any, ...], at: int, value: Any) -> tuple[Any, ...]:
    """Return the tuple with one value replaced."""
    return (*values[:at], value, *values[at + 1 :])


class Spec:
    """The transitions under some rules."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules

    def transitions(self, flat: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        """Return every step that may come next."""
        world = World(*flat)
        steps: list[Step] = []
        for at, name in enumerate(NAMES):
            if world.up[at]:
                steps += self.joins(world, at, name)
                steps += self.links(world, at, name)
                steps += self.passes_on(world, at, name)
        if world.up[1] and world.step[1] == "joined":
            lost = world._replace(up=replaced(world.up, 1, False), knows=self.forgotten(world, 1))
            steps.append(("b is lost", lost))
        if not world.up[1] and world.step[2] == "absent":
            came = world._replace(
                up=replaced(world.up, 2, True), step=replaced(world.step, 2, "new")
            )
            steps.append(("c comes to its address", came))
        return [(label, tuple(after)) for label, after in steps]

    def forgotten(self, world: World, at: int) -> tuple[Any, ...]:
        """Return what all know when one of them knows nothing any more."""
        return replaced(world.knows, at, ())

    def joins(self, world: World, at: int, name: str) -> list[Step]:
        """A daemon writes its record, reads the list, and may read it again."""
        match world.step[at]:
            case "new" if self.rules.write_before_read:
                return [(f"{name} writes", self.writes(world, at, "wrote"))]
            case "new":
                return [(f"{name} reads", self.lists(world, at, "wrote"))]
            case "wrote" if self.rules.write_before_read:
                return [(f"{name} reads", self.lists(world, at, "joined"))]
            case "wrote":
                return [(f"{name} writes", self.writes(world, at, "joined"))]
            case "joined" if world.reads < MOST_READS:
                again = self.lists(world, at, "joined")
                return [(f"{name} reads again", again._replace(reads=world.reads + 1))]
        return []

    def writes(self, world: World, at: int, step: str) -> World:
        """The daemon's record is in the store, and stays there when the daemon is lost."""
        store = tuple(sorted({*world.store, NAMES[at]}))
        return world._replace(store=store, step=replaced(world.step, at, step))

    def lists(self, world: World, at: int, step: str) -> World:
        """The daemon reads all records."""
        registry = registry_of(world, at)
        if not self.rules.told_before_stored:
            for peer in registry.peers.values():
                peer.upstream = None
        records = [Registration(name, name, ADDRESS[name], "one") for name in world.store]
        registry.add_records(0.0, records)
        return with_registry(world, at, registry)._replace(step=replaced(world.step, at, step))

    def passes_on(self, world: World, at: int, name: str) -> list[Step]:
        """A daemon tells another one that it has met what it knows of a third."""
        steps: list[Step] = []
        for to, told in world.knows[at]:
            reader = NAMES.index(to)
            if not told or not world.up[reader]:
                continue
            for other, _ in world.knows[at]:
                if other == to:
                    continue
                after = self.hears_of(world, reader, other)
                if after != world:
                    steps.append((f"{name} tells {to} of {other}", after))
        return steps

    def hears_of(self, world: World, at: int, other: str) -> World:
        """A daemon is told of another one by a third."""
        registry = registry_of(world, at)
        if not self.rules.told_before_passed_on:
            for peer in registry.peers.values():
                peer.upstream = None
        row = {"name": other, "incarnation": other, "frames": ADDRESS[other], "service": "s"}
        registry.add_relayed(0.0, [{**row, "data_centre": "one"}])  # type: ignore[typeddict-item]
        return with_registry(world, at, registry)

    def links(self, world: World, at: int, name: str) -> list[Step]:
        """A daemon calls one that it knows; if that one is there, each tells the other."""
        steps: list[Step] = []
        for other, told in world.knows[at]:
            to = NAMES.index(other)
            if told or not world.up[to] or world.step[to] == "new":
                continue
            steps.append((f"{name} meets {other}", self.meets(world, at, to)))
        return steps

    def meets(self, world: World, first: int, second: int) -> World:
        """Two daemons tell each other of themselves."""
        for at, other in ((first, second), (second, first)):
            registry = registry_of(world, at)
            if self.rules.one_name_an_address:
                registry.update_member(0.0, member(NAMES[other]))
            else:
                known = Registration(NAMES[other], NAMES[other], ADDRESS[NAMES[other]], "one")
                registry.add(Peer(known, 0.0))
                registry.peers[known.name].upstream = member(known.name)["upstream"]
            world = with_registry(world, at, registry)
        return world


def at_least_one_sees_the_other(world: dict[str, Any]) -> bool:
    """Of two that have joined and run, one knows the other."""
    if world["step"][:2] != ("joined", "joined") or world["up"] != (True, True, False):
        return True
    a_knows = "b" in dict(world["knows"][0])
    return a_knows or "a" in dict(world["knows"][1])


def one_name_for_an_address(world: dict[str, Any]) -> bool:
    """No list has two daemons at one address."""
    return all(not {"b", "c"} <= set(dict(known)) for known in world["knows"])


def the_one_that_told_stays(world: dict[str, Any]) -> bool:
    """Where c has told of itself, the record of the lost b does not come back."""
    c_knows_a = dict(world["knows"][2]).get("a", False)
    return not c_knows_a or not world["up"][2] or dict(world["knows"][0]).get("c", False)


def specification(name: str, rules: Rules) -> Protocol:
    """Return the specification under some rules."""
    return protocol(
        name,
        World(),
        Spec(rules).transitions,
        {
            "of two that join one sees the other": at_least_one_sees_the_other,
            "one name for an address": one_name_for_an_address,
            "who told of itself stays": the_one_that_told_stays,
        },
    )
