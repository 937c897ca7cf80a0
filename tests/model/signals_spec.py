"""An upstream names a limit and leaves in its answers, while its owner starts again.

`UpstreamSignals` of the owner and `HeardSignals` of two ingresses are the product's own classes,
built for each step. A call from an ingress that was told must not start at an owner that does not
know the limit, nor reach an incarnation that was told to leave; and no incarnation inherits what
another one said. Time stands still: the model is about who knows what, not about rates.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from foldhoist.admission.rate_limit import RateLimit
from foldhoist.delivery.heard_signals import HeardSignals
from foldhoist.delivery.upstream_signals import Signals, UpstreamSignals
from foldhoist.membership.incarnations import UNNAMED, UpstreamIncarnation
from tests.model.checking import protocol

if TYPE_CHECKING:
    from minicheck import Protocol

    from foldhoist.schema.messages import Heard, Load

NOW = 10.0
"""Time of every step, seconds; what an ingress was told is as old as the owner's process."""
LIMIT_PER_S = 5.0
"""The limit that an upstream names, calls a second."""
MAX_OWNERS = 3
"""Incarnations of the owner in a run."""
MAX_UPSTREAMS = 2
"""Incarnations of the upstream in a run."""
MAX_NAMINGS = 2
"""Times that one incarnation of the upstream names a limit anew."""

Word = tuple[int, bool, bool]
"""What is known of an upstream's incarnation: its number, 0 for none, has a limit, is leaving."""
NOTHING: Word = (0, False, False)
Passed = tuple[int, bool]
"""What an ingress has passed on of the current incarnation: a naming of a limit, its leaving."""


class Rules(NamedTuple):
    """The rules of the protocol; a mutant turns one off."""

    tell_on_connecting: bool = True
    keep_word_until_announced: bool = True
    silence_changes_nothing: bool = True
    match_incarnation: bool = True
    ignore_former_incarnation: bool = True


class World(NamedTuple):
    """State of the upstream, its owner and two ingresses.

    `namings` counts the times that the upstream has named a limit anew. `late` is the word in an
    answer that is still under way while its upstream is replaced. `pending` is what ingresses told
    the owner of each incarnation while it did not know it. `heard` is what ingresses remember;
    `passed_on` is the naming of a limit that they have passed on, 0 for none, and whether they have
    passed on that this incarnation is leaving.
    """

    upstream: int = 1
    limits: bool = False
    namings: int = 0
    leaves: bool = False
    owner: int = 1
    known: int = 1
    word: Word = NOTHING
    pending: tuple[Word, Word] = (NOTHING, NOTHING)
    passed_on: tuple[Passed, Passed] = ((0, False), (0, False))
    heard: tuple[Word, Word] = (NOTHING, NOTHING)
    connected: tuple[bool, bool] = (True, True)
    late: Word = NOTHING
    unbound_call: bool = False
    call_after_leaving: bool = False
    inherited: bool = False


Step = tuple[str, World]


def name_of(number: int) -> UpstreamIncarnation:
    """Return the incarnation of this number."""
    return UpstreamIncarnation(f"i-{number}") if number else UNNAMED


def signals_of(word: Word) -> Signals:
    """Return the signals of an answer that says this."""
    return Signals(LIMIT_PER_S if word[1] else None, word[2])


def owner_of(world: World) -> UpstreamSignals:
    """Return the owner's knowledge as the product's object."""
    signals = UpstreamSignals(RateLimit())
    signals.replaced(0.0, name_of(world.known), 0.0)
    if world.word[0]:
        signals.answered(0.0, Signals(LIMIT_PER_S))
        signals.answered(0.0, signals_of(world.word))
    for word in world.pending:
        if word[0]:
            signals.told(NOW, heard_of(word), NOW)
    return signals


def heard_of(word: Word) -> Heard:
    """Return the message of an ingress that was told this."""
    ingress = HeardSignals()
    ingress.record(NOW, "o", load_of(word))
    (told,) = ingress.tell(NOW, "o")
    heard: Any = told.frame.body
    return heard


def load_of(word: Word) -> Load:
    """Return a load whose signals are these, none for a word of no incarnation."""
    load: Any = {}
    if word[0]:
        load["said"] = {"instance": name_of(word[0]).instance, "born_ms": 0}
        if word[1]:
            load["said"]["limit_per_s"] = LIMIT_PER_S
        if word[2]:
            load["said"]["leaving"] = True
    return load


def pending_of(signals: UpstreamSignals) -> tuple[Word, Word]:
    """Return what the owner keeps of incarnations that it does not know."""
    kept = {incarnation: said for incarnation, (said, _) in signals._pending.items()}
    words: list[Word] = []
    for number in (1, 2):
        said = kept.get(name_of(number))
        word = NOTHING
        if said is not None:
            word = (number, "limit_per_s" in said, said.get("leaving", False))
        words.append(word)
    return words[0], words[1]


def word_of(signals: UpstreamSignals, known: int) -> Word:
    """Return what the owner knows of its upstream."""
    if signals.said(NOW, 0) is None:
        return NOTHING
    return (known, signals.limit.active, signals.leaving)


class Spec:
    """The transitions under the given rules."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules

    def transitions(self, flat: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        """Return every possible next step."""
        world = World(*flat)
        steps = [*self.upstream_steps(world), *self.owner_steps(world)]
        for ingress in (0, 1):
            steps += self.ingress_steps(world, ingress)
        return [(label, tuple(after)) for label, after in steps]

    def upstream_steps(self, world: World) -> list[Step]:
        """The upstream names or ends a limit, leaves, or is replaced by another incarnation."""
        steps: list[Step] = []
        if world.limits:
            steps.append(("upstream ends its limit", world._replace(limits=False)))
        elif world.namings < MAX_NAMINGS:
            after = world._replace(limits=True, namings=world.namings + 1)
            steps.append(("upstream names a limit", after))
        if not world.leaves:
            steps.append(("upstream is leaving", world._replace(leaves=True)))
        if world.upstream < MAX_UPSTREAMS:
            late = (world.upstream, world.limits, world.leaves)
            after = world._replace(
                upstream=2,
                limits=False,
                namings=0,
                leaves=False,
                passed_on=((0, False), (0, False)),
                late=late,
            )
            steps.append(("upstream is replaced", after))
        return steps

    def owner_steps(self, world: World) -> list[Step]:
        """The owner starts again, learns its upstream, or gets a late answer of a former one."""
        steps: list[Step] = []
        if world.owner < MAX_OWNERS:
            steps.append(
                (
                    "owner starts again",
                    world._replace(
                        owner=world.owner + 1,
                        known=0,
                        word=NOTHING,
                        pending=(NOTHING, NOTHING),
                        connected=(False, False),
                        late=NOTHING,
                    ),
                )
            )
        if world.known != world.upstream:
            owner = owner_of(world)
            owner.replaced(NOW, name_of(world.upstream), NOW)
            word = word_of(owner, world.upstream)
            after = world._replace(known=world.upstream, word=word, pending=(NOTHING, NOTHING))
            steps.append(("upstream announces itself", with_inherited(after)))
        if world.late[0] and (
            not self.rules.ignore_former_incarnation or world.known == world.late[0]
        ):
            owner = owner_of(world)
            owner.answered(NOW, signals_of(world.late))
            after = world._replace(word=word_of(owner, world.known), late=NOTHING)
            steps.append(("late answer arrives", with_inherited(after)))
        return steps

    def ingress_steps(self, world: World, ingress: int) -> list[Step]:
        """An ingress connects to the owner and is given its load, or sends a call."""
        if not world.connected[ingress]:
            return [(f"ingress {ingress} connects", self.connect(world, ingress))]
        if world.known != world.upstream or world.word[2]:
            return []
        return [(f"ingress {ingress} sends a call", self.call(world, ingress))]

    def connect(self, world: World, ingress: int) -> World:
        """The ingress tells what it was told; the owner's first load may be from before that."""
        after = world._replace(connected=with_item(world.connected, ingress, True))
        first_load = world.word
        heard = world.heard[ingress]
        is_word = heard[0] and (heard[1] or heard[2])
        if self.rules.tell_on_connecting and is_word:
            after = self.tell(after, heard)
        return self.record(after, ingress, first_load)

    def tell(self, world: World, heard: Word) -> World:
        """The owner gets the word of an ingress."""
        message = heard_of(heard)
        if not self.rules.match_incarnation:
            message["said"]["instance"] = name_of(world.known).instance
        owner = owner_of(world)
        owner.told(NOW, message, NOW)
        after = world._replace(word=word_of(owner, world.known))
        if self.rules.keep_word_until_announced:
            after = after._replace(pending=pending_of(owner))
        return with_inherited(after)

    def record(self, world: World, ingress: int, load: Word) -> World:
        """The ingress gets a load of the owner."""
        if not self.rules.silence_changes_nothing and not load[0]:
            return world._replace(heard=with_item(world.heard, ingress, NOTHING))
        memory = HeardSignals()
        for word in (world.heard[ingress], load):
            memory.record(NOW, "o", load_of(word))
        return world._replace(heard=with_item(world.heard, ingress, remembered(memory)))

    def call(self, world: World, ingress: int) -> World:
        """A call starts, and its answer passes the owner and the ingress."""
        named, left = world.passed_on[ingress]
        owner = owner_of(world)
        owner.answered(NOW, Signals(LIMIT_PER_S if world.limits else None, world.leaves))
        is_unbound = world.limits and named == world.namings and not knows_limit(world)
        passed: Passed = (world.namings if world.limits else named, left or world.leaves)
        after = world._replace(
            word=word_of(owner, world.known),
            passed_on=with_item(world.passed_on, ingress, passed),
            unbound_call=world.unbound_call or is_unbound,
            call_after_leaving=world.call_after_leaving or left,
        )
        return self.record(after, ingress, after.word)


def remembered(memory: HeardSignals) -> Word:
    """Return what an ingress remembers."""
    told = memory.tell(NOW, "o")
    if not told:
        return NOTHING
    heard: Any = told[0].frame.body
    said = heard["said"]
    number = int(said["instance"].partition("-")[2])
    return (number, "limit_per_s" in said, said.get("leaving", False))


def knows_limit(world: World) -> bool:
    """Return whether the owner has heard of the limit, also if it has ended since."""
    return world.word[0] == world.upstream


def with_inherited(world: World) -> World:
    """Return the world, marked if the owner holds what its upstream's incarnation never said."""
    limited_never = world.word[1] and not world.namings
    left_never = world.word[2] and not world.leaves
    is_false = world.known == world.upstream and (limited_never or left_never)
    return world._replace(inherited=world.inherited or is_false)


def with_item(items: tuple[Any, Any], at: int, item: Any) -> tuple[Any, Any]:
    """Return the pair with one item replaced."""
    return (item, items[1]) if at == 0 else (items[0], item)


def specification(name: str, rules: Rules) -> Protocol:
    """Return the specification under the given rules."""
    return protocol(
        name,
        World(),
        Spec(rules).transitions,
        {
            "an ingress that was told of a limit sends through no owner that was not": lambda w: (
                not w["unbound_call"]
            ),
            "an ingress that was told of a leaving sends nothing there": lambda w: (
                not w["call_after_leaving"]
            ),
            "no incarnation inherits what another one said": lambda w: not w["inherited"],
        },
    )
