"""Versions of the configuration on their way: store, a daemon that reads it, one turned away.

What a daemon holds is the real core object, built anew for each step. Messages between the two are
late, lost, doubled and out of order. One version cannot be used.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from foldhoist.configlog.versions import CurrentVersion, Reply, Version
from tests.model.checking import protocol

if TYPE_CHECKING:
    from minicheck import Protocol

READER, OTHER = 0, 1
"""The two daemons."""
NEWEST = 3
"""Number of the last version that the operator writes."""
UNUSABLE = 2
"""A version that no daemon can use."""
MOST_RESTARTS = 1
"""Times that the daemon which is turned away starts again."""


class Rules(NamedTuple):
    """The rules of the protocol; a mutant turns one off."""

    never_back: bool = True
    whole_or_not: bool = True
    ask_for_newer: bool = True
    refused_stays_refused: bool = True


class World(NamedTuple):
    """All there is.

    `held`: what each daemon has in force; `refused`: the newest that it could not use. `sent` holds
    messages: receiver, whether it is a content, number. The last two tell of violations.
    """

    store: int = 1
    held: tuple[int, int] = (0, 0)
    refused: tuple[int, int] = (0, 0)
    sent: frozenset[tuple[int, bool, int]] = frozenset()
    restarts: int = 0
    went_back: bool = False
    used_unusable: bool = False


Step = tuple[str, World]


def held_of(world: World, daemon: int) -> CurrentVersion:
    """Return what a daemon holds as the real object."""
    held = CurrentVersion()
    held.adopt(Version(world.held[daemon], b""))
    if world.refused[daemon]:
        held.mark_unusable(Version(world.refused[daemon], b""))
    return held


def with_one(pair: tuple[int, int], daemon: int, value: int) -> tuple[int, int]:
    """Return the pair with one value replaced."""
    return (value, pair[OTHER]) if daemon == READER else (pair[READER], value)


class Spec:
    """The transitions under some rules."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules

    def transitions(self, flat: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        """Return every step that may come next."""
        world = World(*flat)
        steps: list[Step] = []
        if world.store < NEWEST:
            steps.append(("operator writes", world._replace(store=world.store + 1)))
        for number in range(1, world.store + 1):
            steps.append((f"reader reads {number}", self.offered(world, READER, number)))
        for message in world.sent:
            steps.append((f"{message} arrives", self.arrives(world, message)))
            steps.append((f"{message} is lost", world._replace(sent=world.sent - {message})))
        for teller in (READER, OTHER):
            steps.append((f"{teller} tells", self.tells(world, teller)))
        if world.restarts < MOST_RESTARTS:
            steps.append(("the other starts again", self.starts_again(world)))
        return [(label, tuple(after)) for label, after in steps]

    def starts_again(self, world: World) -> World:
        """A new life holds nothing."""
        return world._replace(
            held=with_one(world.held, OTHER, 0),
            refused=with_one(world.refused, OTHER, 0),
            restarts=world.restarts + 1,
        )

    def tells(self, world: World, teller: int) -> World:
        """A daemon tells the other one which version it holds."""
        return world._replace(sent=world.sent | {(1 - teller, False, world.held[teller])})

    def arrives(self, world: World, message: tuple[int, bool, int]) -> World:
        """A message arrives; it may arrive again later."""
        receiver, is_content, number = message
        if is_content:
            return self.offered(world, receiver, number)
        match held_of(world, receiver).reply(number, asked=False):
            case Reply.CONTENT:
                sent = (1 - receiver, True, world.held[receiver])
                return world._replace(sent=world.sent | {sent})
            case Reply.REQUEST if self.rules.ask_for_newer:
                return self.tells(world, receiver)
        return world

    def offered(self, world: World, daemon: int, number: int) -> World:
        """A daemon gets a version, from the store or from the other."""
        held = held_of(world, daemon)
        if not held.wants(number) and self.rules.never_back:
            return world
        if number == UNUSABLE and self.rules.whole_or_not:
            held.mark_unusable(Version(number, b""))
            if not self.rules.refused_stays_refused:
                held = CurrentVersion()
        else:
            held.adopt(Version(number, b""))
        now = held.version.number
        refused = UNUSABLE if number == UNUSABLE else world.refused[daemon]
        return world._replace(
            held=with_one(world.held, daemon, now),
            refused=with_one(world.refused, daemon, refused),
            went_back=world.went_back or now < world.held[daemon],
            used_unusable=world.used_unusable or now == UNUSABLE,
        )

    def mends(self, flat: dict[str, Any]) -> bool:
        """Return whether one undisturbed exchange brings both daemons the newest usable version."""
        world = World(**flat)._replace(sent=frozenset())
        for number in range(1, world.store + 1):
            world = self.offered(world, READER, number)
        for _ in range(2):
            world = self.tells(world, READER)
            for _ in range(3):
                for message in sorted(world.sent):
                    world = self.arrives(world, message)
        usable = max(n for n in range(1, world.store + 1) if n != UNUSABLE)
        return world.held == (usable, usable)


def specification(name: str, rules: Rules) -> Protocol:
    """Return the specification under some rules."""
    spec = Spec(rules)
    return protocol(
        name,
        World(),
        spec.transitions,
        {
            "never back within a life": lambda w: not w["went_back"],
            "an unusable version is not used": lambda w: not w["used_unusable"],
            "an exchange brings the newest": spec.mends,
        },
    )
