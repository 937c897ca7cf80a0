"""Distribution of configuration versions: a store, a daemon that reads it, and one that does not.

A daemon's state is a `CurrentVersion`, built for each step. Messages between the two may be late,
lost, repeated or out of order. One version is unusable.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from foldhoist.configlog.versions import CurrentVersion, Reply, Version
from tests.model.checking import protocol

if TYPE_CHECKING:
    from minicheck import Protocol

READER, OTHER = 0, 1
"""Indexes of the two daemons."""
NEWEST = 3
"""Number of the last version that the operator writes."""
UNUSABLE = 2
"""Number of the version that no daemon can use."""
MAX_RESTARTS = 1
"""Maximum number of restarts of the other daemon."""


class Rules(NamedTuple):
    """The rules of the protocol; a mutant turns one off."""

    never_older: bool = True
    reject_unusable: bool = True
    request_newer: bool = True
    remember_unusable: bool = True


class World(NamedTuple):
    """State of the store, both daemons and sent messages.

    `current`: the version each daemon has in force; `rejected`: the newest it could not use. `sent`
    holds messages: receiver, whether it has the content, number. `went_back` and `used_unusable`
    record violations.
    """

    store: int = 1
    current: tuple[int, int] = (0, 0)
    rejected: tuple[int, int] = (0, 0)
    sent: frozenset[tuple[int, bool, int]] = frozenset()
    restarts: int = 0
    went_back: bool = False
    used_unusable: bool = False


Step = tuple[str, World]


def current_version_of(world: World, daemon: int) -> CurrentVersion:
    """Return the state of a daemon as a `CurrentVersion`."""
    current = CurrentVersion()
    current.adopt(Version(world.current[daemon], b""))
    if world.rejected[daemon]:
        current.mark_unusable(Version(world.rejected[daemon], b""))
    return current


def replaced(pair: tuple[int, int], daemon: int, value: int) -> tuple[int, int]:
    """Return the pair with the value of one daemon replaced."""
    return (value, pair[OTHER]) if daemon == READER else (pair[READER], value)


class Spec:
    """The transitions under the given rules."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules

    def transitions(self, flat: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        """Return every possible next step."""
        world = World(*flat)
        steps: list[Step] = []
        if world.store < NEWEST:
            steps.append(("operator writes", world._replace(store=world.store + 1)))
        for number in range(1, world.store + 1):
            steps.append((f"reader reads {number}", self.offer(world, READER, number)))
        for message in world.sent:
            steps.append((f"{message} arrives", self.deliver(world, message)))
            steps.append((f"{message} is lost", world._replace(sent=world.sent - {message})))
        for sender in (READER, OTHER):
            steps.append((f"{sender} announces its version", self.announce(world, sender)))
        if world.restarts < MAX_RESTARTS:
            steps.append(("the other restarts", self.restart(world)))
        return [(label, tuple(after)) for label, after in steps]

    def restart(self, world: World) -> World:
        """The other daemon restarts without a version."""
        return world._replace(
            current=replaced(world.current, OTHER, 0),
            rejected=replaced(world.rejected, OTHER, 0),
            restarts=world.restarts + 1,
        )

    def announce(self, world: World, sender: int) -> World:
        """A daemon announces its version to the other."""
        return world._replace(sent=world.sent | {(1 - sender, False, world.current[sender])})

    def deliver(self, world: World, message: tuple[int, bool, int]) -> World:
        """A message arrives; it may arrive again later."""
        receiver, is_content, number = message
        if is_content:
            return self.offer(world, receiver, number)
        match current_version_of(world, receiver).reply(number, asked=False):
            case Reply.CONTENT:
                sent = (1 - receiver, True, world.current[receiver])
                return world._replace(sent=world.sent | {sent})
            case Reply.REQUEST if self.rules.request_newer:
                return self.announce(world, receiver)
        return world

    def offer(self, world: World, daemon: int, number: int) -> World:
        """A daemon receives a version, from the store or from the other."""
        current = current_version_of(world, daemon)
        if not current.wants(number) and self.rules.never_older:
            return world
        if number == UNUSABLE and self.rules.reject_unusable:
            current.mark_unusable(Version(number, b""))
            if not self.rules.remember_unusable:
                current = CurrentVersion()
        else:
            current.adopt(Version(number, b""))
        now = current.version.number
        rejected = UNUSABLE if number == UNUSABLE else world.rejected[daemon]
        return world._replace(
            current=replaced(world.current, daemon, now),
            rejected=replaced(world.rejected, daemon, rejected),
            went_back=world.went_back or now < world.current[daemon],
            used_unusable=world.used_unusable or now == UNUSABLE,
        )

    def exchange_converges(self, flat: dict[str, Any]) -> bool:
        """Return whether one undisturbed exchange brings both daemons the newest usable version."""
        world = World(**flat)._replace(sent=frozenset())
        for number in range(1, world.store + 1):
            world = self.offer(world, READER, number)
        for _ in range(2):
            world = self.announce(world, READER)
            for _ in range(3):
                for message in sorted(world.sent):
                    world = self.deliver(world, message)
        usable = max(n for n in range(1, world.store + 1) if n != UNUSABLE)
        return world.current == (usable, usable)


def specification(name: str, rules: Rules) -> Protocol:
    """Return the specification under the given rules."""
    spec = Spec(rules)
    return protocol(
        name,
        World(),
        spec.transitions,
        {
            "no incarnation goes back to an older version": lambda w: not w["went_back"],
            "an unusable version is not used": lambda w: not w["used_unusable"],
            "an exchange delivers the newest version": spec.exchange_converges,
        },
    )
