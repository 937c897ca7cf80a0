"""Daemons that join, one that is lost, and one that takes its address under another name.

Each daemon's knowledge is a `Registry`, built for each step. Records of lost daemons stay in the
store, and the records may be read at any time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from foldhoist.membership.registration import Registration
from foldhoist.membership.registry import Peer, Registry
from tests.model.checking import protocol

if TYPE_CHECKING:
    from minicheck import Protocol

ADDRESS = {"a": "h1:1", "b": "h2:1", "c": "h2:1"}
"""Addresses of the daemons: c takes the address of b."""
JOINS = ("new", "wrote", "joined")
"""Steps of joining: write the own record, then read all records."""
MAX_READS = 2
"""Maximum number of reads by daemons that have joined."""


class Rules(NamedTuple):
    """The rules of the protocol; a mutant turns one off."""

    write_before_read: bool = True
    report_over_record: bool = True
    one_name_per_address: bool = True
    report_over_relay: bool = True


class World(NamedTuple):
    """State of the daemons a, b and c and of the store.

    `step`: the step of joining of each daemon. `up`: whether each one runs. `store` holds names of
    daemons with a record. `knows` holds, for each daemon, the names it knows and whether each of
    these has reported itself.
    """

    step: tuple[str, str, str] = ("new", "new", "absent")
    up: tuple[bool, bool, bool] = (True, True, False)
    store: tuple[str, ...] = ()
    knows: tuple[tuple[tuple[str, bool], ...], ...] = ((), (), ())
    reads: int = 0


Step = tuple[str, World]
NAMES = "abc"


def member(name: str) -> Any:
    """Return the report of a daemon on itself."""
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
    """Return the knowledge of a daemon as a `Registry`."""
    registry = Registry(NAMES[at], "one")
    for name, reported in world.knows[at]:
        peer = Peer(Registration(name, name, ADDRESS[name], "one"), 0.0)
        peer.upstream = member(name)["upstream"] if reported else None
        registry.add(peer)
    return registry


def with_registry(world: World, at: int, registry: Registry) -> World:
    """Return the world with a daemon's knowledge replaced by `registry`."""
    known = tuple((name, peer.upstream is not None) for name, peer in registry.peers.items())
    return world._replace(knows=replaced(world.knows, at, known))


def replaced(values: tuple[Any, ...], at: int, value: Any) -> tuple[Any, ...]:
    """Return the tuple with the value at index `at` replaced."""
    return (*values[:at], value, *values[at + 1 :])


class Spec:
    """The transitions under the given rules."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules

    def transitions(self, flat: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        """Return every possible next step."""
        world = World(*flat)
        steps: list[Step] = []
        for at, name in enumerate(NAMES):
            if world.up[at]:
                steps += self.join_steps(world, at, name)
                steps += self.connect_steps(world, at, name)
                steps += self.relay_steps(world, at, name)
        if world.up[1] and world.step[1] == "joined":
            lost = world._replace(
                up=replaced(world.up, 1, False), knows=self.without_knowledge(world, 1)
            )
            steps.append(("b is lost", lost))
        if not world.up[1] and world.step[2] == "absent":
            joined = world._replace(
                up=replaced(world.up, 2, True), step=replaced(world.step, 2, "new")
            )
            steps.append(("c takes its address", joined))
        return [(label, tuple(after)) for label, after in steps]

    def without_knowledge(self, world: World, at: int) -> tuple[Any, ...]:
        """Return the knowledge of all daemons with that of one removed."""
        return replaced(world.knows, at, ())

    def join_steps(self, world: World, at: int, name: str) -> list[Step]:
        """A daemon writes its record, reads all records, and may read them again."""
        match world.step[at]:
            case "new" if self.rules.write_before_read:
                return [(f"{name} writes", self.write_record(world, at, "wrote"))]
            case "new":
                return [(f"{name} reads", self.read_records(world, at, "wrote"))]
            case "wrote" if self.rules.write_before_read:
                return [(f"{name} reads", self.read_records(world, at, "joined"))]
            case "wrote":
                return [(f"{name} writes", self.write_record(world, at, "joined"))]
            case "joined" if world.reads < MAX_READS:
                again = self.read_records(world, at, "joined")
                return [(f"{name} reads again", again._replace(reads=world.reads + 1))]
        return []

    def write_record(self, world: World, at: int, step: str) -> World:
        """The daemon writes its record, which stays in the store when the daemon is lost."""
        store = tuple(sorted({*world.store, NAMES[at]}))
        return world._replace(store=store, step=replaced(world.step, at, step))

    def read_records(self, world: World, at: int, step: str) -> World:
        """The daemon reads all records."""
        registry = registry_of(world, at)
        if not self.rules.report_over_record:
            for peer in registry.peers.values():
                peer.upstream = None
        records = [Registration(name, name, ADDRESS[name], "one") for name in world.store]
        registry.add_records(0.0, records)
        return with_registry(world, at, registry)._replace(step=replaced(world.step, at, step))

    def relay_steps(self, world: World, at: int, name: str) -> list[Step]:
        """A daemon relays the daemons it knows to one that has reported itself."""
        steps: list[Step] = []
        for to, reported in world.knows[at]:
            reader = NAMES.index(to)
            if not reported or not world.up[reader]:
                continue
            for other, _ in world.knows[at]:
                if other == to:
                    continue
                after = self.receive_relayed(world, reader, other)
                if after != world:
                    steps.append((f"{name} relays {other} to {to}", after))
        return steps

    def receive_relayed(self, world: World, at: int, other: str) -> World:
        """A daemon receives the address of another one from a third."""
        registry = registry_of(world, at)
        if not self.rules.report_over_relay:
            for peer in registry.peers.values():
                peer.upstream = None
        row = {"name": other, "incarnation": other, "frames": ADDRESS[other], "service": "s"}
        registry.add_relayed(0.0, [{**row, "data_centre": "one"}])  # type: ignore[typeddict-item]
        return with_registry(world, at, registry)

    def connect_steps(self, world: World, at: int, name: str) -> list[Step]:
        """A daemon connects to a running one that it knows and that has not reported itself yet."""
        steps: list[Step] = []
        for other, reported in world.knows[at]:
            to = NAMES.index(other)
            if reported or not world.up[to] or world.step[to] == "new":
                continue
            steps.append((f"{name} connects to {other}", self.connect(world, at, to)))
        return steps

    def connect(self, world: World, first: int, second: int) -> World:
        """Two daemons exchange reports."""
        for at, other in ((first, second), (second, first)):
            registry = registry_of(world, at)
            if self.rules.one_name_per_address:
                registry.update_member(0.0, member(NAMES[other]))
            else:
                known = Registration(NAMES[other], NAMES[other], ADDRESS[NAMES[other]], "one")
                registry.add(Peer(known, 0.0))
                registry.peers[known.name].upstream = member(known.name)["upstream"]
            world = with_registry(world, at, registry)
        return world


def one_knows_the_other(world: dict[str, Any]) -> bool:
    """If a and b have joined and run, and c does not, one knows the other."""
    if world["step"][:2] != ("joined", "joined") or world["up"] != (True, True, False):
        return True
    a_knows = "b" in dict(world["knows"][0])
    return a_knows or "a" in dict(world["knows"][1])


def one_name_at_each_address(world: dict[str, Any]) -> bool:
    """No daemon knows two daemons at one address."""
    return all(not {"b", "c"} <= set(dict(known)) for known in world["knows"])


def reported_daemon_stays(world: dict[str, Any]) -> bool:
    """While c runs and has the report of a, a keeps the report of c."""
    c_knows_a = dict(world["knows"][2]).get("a", False)
    return not c_knows_a or not world["up"][2] or dict(world["knows"][0]).get("c", False)


def specification(name: str, rules: Rules) -> Protocol:
    """Return the specification under the given rules."""
    return protocol(
        name,
        World(),
        Spec(rules).transitions,
        {
            "of two that have joined, one knows the other": one_knows_the_other,
            "one name at each address": one_name_at_each_address,
            "a daemon that reported itself stays known": reported_daemon_stays,
        },
    )
