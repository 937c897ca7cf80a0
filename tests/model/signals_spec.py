"""An upstream sends a limit and its departure in its answers, while its owner restarts.

`SignalState` of the owner and `SignalCache` of two ingresses are the product's own classes, built
for each step. Time stands still: the model checks who knows which signals, not rates.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from foldhoist.admission.rate_limit import RateLimit
from foldhoist.delivery.signal_cache import SignalCache
from foldhoist.delivery.signal_state import AnswerSignals, SignalState
from foldhoist.membership.incarnations import UNNAMED, UpstreamIncarnation
from tests.model.checking import protocol

if TYPE_CHECKING:
    from minicheck import Protocol

    from foldhoist.schema.messages import Load, SignalUpdate

NOW = 10.0
"""Time of every step, seconds; the first answers of an owner are older."""
LIMIT_PER_S = 5.0
"""The limit of the upstream, calls per second."""
MAX_OWNERS = 3
"""Incarnations of the owner in a run."""
MAX_UPSTREAMS = 2
"""Incarnations of the upstream in a run."""
MAX_LIMITS = 2
"""Number of times that one incarnation of the upstream sets a limit."""

Known = tuple[int, bool, bool]
"""Known signals: the number of the incarnation (0: none), has a limit, is leaving."""
NOTHING: Known = (0, False, False)
Passed = tuple[int, bool]
"""What an ingress has passed to callers: the number of the limit (0: none), the departure."""


class Rules(NamedTuple):
    """The rules of the protocol; a mutant turns one off."""

    update_on_connecting: bool = True
    keep_until_announced: bool = True
    ignore_loads_without_signals: bool = True
    match_incarnation: bool = True
    ignore_former_incarnation: bool = True


class World(NamedTuple):
    """State of the upstream, its owner and two ingresses.

    `limit_number` counts the limits that this incarnation of the upstream has set. `owner_upstream`
    is the incarnation that the owner knows, `owner_signals` its signals there, and `pending` those
    of incarnations that are not announced yet. `cached` is what the ingresses know, and `passed_on`
    what they have passed to callers of the current incarnation. `late` are the signals of an answer
    that is in transit while its upstream is replaced.
    """

    upstream: int = 1
    limited: bool = False
    limit_number: int = 0
    leaving: bool = False
    owner: int = 1
    owner_upstream: int = 1
    owner_signals: Known = NOTHING
    pending: tuple[Known, Known] = (NOTHING, NOTHING)
    passed_on: tuple[Passed, Passed] = ((0, False), (0, False))
    cached: tuple[Known, Known] = (NOTHING, NOTHING)
    connected: tuple[bool, bool] = (True, True)
    late: Known = NOTHING
    unlimited_call: bool = False
    call_after_departure: bool = False
    inherited: bool = False


Step = tuple[str, World]


def incarnation(number: int) -> UpstreamIncarnation:
    """Return the incarnation with this number."""
    return UpstreamIncarnation(f"i-{number}") if number else UNNAMED


def answer_signals(known: Known) -> AnswerSignals:
    """Return the signals of an answer with this limit and departure."""
    return AnswerSignals(LIMIT_PER_S if known[1] else None, known[2])


def state_of(world: World) -> SignalState:
    """Return the owner's state as the product's object."""
    state = SignalState(RateLimit())
    state.replaced(0.0, incarnation(world.owner_upstream), 0.0)
    if world.owner_signals[0]:
        state.answered(0.0, AnswerSignals(LIMIT_PER_S))
        state.answered(0.0, answer_signals(world.owner_signals))
    for known in world.pending:
        if known[0]:
            state.merge(NOW, update_of(known), NOW)
    return state


def update_of(known: Known) -> SignalUpdate:
    """Return the message of an ingress that knows these signals."""
    cache = SignalCache()
    cache.record(NOW, "o", load_of(known))
    (sent,) = cache.update_for(NOW, "o")
    update: Any = sent.frame.body
    return update


def load_of(known: Known) -> Load:
    """Return a load with these signals, without any for NOTHING."""
    load: Any = {}
    if known[0]:
        load["signals"] = {"instance": incarnation(known[0]).instance, "born_ms": 0}
        if known[1]:
            load["signals"]["limit_per_s"] = LIMIT_PER_S
        if known[2]:
            load["signals"]["leaving"] = True
    return load


def known_from(signals: Any) -> Known:
    """Return the signals of a message as the model keeps them."""
    number = int(signals["instance"].partition("-")[2])
    return (number, "limit_per_s" in signals, signals.get("leaving", False))


def pending_of(state: SignalState) -> tuple[Known, Known]:
    """Return the signals that the owner keeps for incarnations not announced yet."""
    kept = {each: known_from(signals) for each, (signals, _) in state._pending.items()}
    return kept.get(incarnation(1), NOTHING), kept.get(incarnation(2), NOTHING)


def known_by(state: SignalState, number: int) -> Known:
    """Return the signals that the owner knows of its upstream."""
    if state.message(NOW, 0) is None:
        return NOTHING
    return (number, state.limit.active, state.leaving)


def cached_in(cache: SignalCache) -> Known:
    """Return what an ingress sends to a restarted owner."""
    sent = cache.update_for(NOW, "o")
    if not sent:
        return NOTHING
    update: Any = sent[0].frame.body
    return known_from(update["signals"])


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
        """The upstream sets or ends a limit, leaves, or is replaced by another incarnation."""
        steps: list[Step] = []
        if world.limited:
            steps.append(("upstream ends its limit", world._replace(limited=False)))
        elif world.limit_number < MAX_LIMITS:
            after = world._replace(limited=True, limit_number=world.limit_number + 1)
            steps.append(("upstream sets a limit", after))
        if not world.leaving:
            steps.append(("upstream is leaving", world._replace(leaving=True)))
        if world.upstream < MAX_UPSTREAMS:
            after = world._replace(
                upstream=world.upstream + 1,
                limited=False,
                limit_number=0,
                leaving=False,
                passed_on=((0, False), (0, False)),
                late=(world.upstream, world.limited, world.leaving),
            )
            steps.append(("upstream is replaced", after))
        return steps

    def owner_steps(self, world: World) -> list[Step]:
        """The owner restarts, gets an announcement, or gets a late answer of a former upstream."""
        steps: list[Step] = []
        if world.owner < MAX_OWNERS:
            after = world._replace(
                owner=world.owner + 1,
                owner_upstream=0,
                owner_signals=NOTHING,
                pending=(NOTHING, NOTHING),
                connected=(False, False),
                late=NOTHING,
            )
            steps.append(("owner restarts", after))
        if world.owner_upstream != world.upstream:
            state = state_of(world)
            state.replaced(NOW, incarnation(world.upstream), NOW)
            after = world._replace(
                owner_upstream=world.upstream,
                owner_signals=known_by(state, world.upstream),
                pending=(NOTHING, NOTHING),
            )
            steps.append(("upstream announces itself", with_inherited(after)))
        accepts_late = world.owner_upstream == world.late[0]
        if world.late[0] and (accepts_late or not self.rules.ignore_former_incarnation):
            state = state_of(world)
            state.answered(NOW, answer_signals(world.late))
            signals = known_by(state, world.owner_upstream)
            after = world._replace(owner_signals=signals, late=NOTHING)
            steps.append(("late answer arrives", with_inherited(after)))
        return steps

    def ingress_steps(self, world: World, ingress: int) -> list[Step]:
        """An ingress connects to the owner, or sends a call that the owner admits."""
        if not world.connected[ingress]:
            return [(f"ingress {ingress} connects", self.connect(world, ingress))]
        if world.owner_upstream != world.upstream or world.owner_signals[2]:
            return []
        return [(f"ingress {ingress} sends a call", self.call(world, ingress))]

    def connect(self, world: World, ingress: int) -> World:
        """The ingress sends its update; the owner's first load may have been sent before that."""
        after = world._replace(connected=with_item(world.connected, ingress, True))
        cached = world.cached[ingress]
        if self.rules.update_on_connecting and cached[0]:
            after = self.update_owner(after, cached)
        return self.record(after, ingress, world.owner_signals)

    def update_owner(self, world: World, cached: Known) -> World:
        """The owner merges the signals of an ingress."""
        update = update_of(cached)
        if not self.rules.match_incarnation:
            update["signals"]["instance"] = incarnation(world.owner_upstream).instance
        state = state_of(world)
        state.merge(NOW, update, NOW)
        after = world._replace(owner_signals=known_by(state, world.owner_upstream))
        if self.rules.keep_until_announced:
            after = after._replace(pending=pending_of(state))
        return with_inherited(after)

    def record(self, world: World, ingress: int, load: Known) -> World:
        """The ingress gets a load of the owner."""
        if not self.rules.ignore_loads_without_signals and not load[0]:
            return world._replace(cached=with_item(world.cached, ingress, NOTHING))
        cache = SignalCache()
        for known in (world.cached[ingress], load):
            cache.record(NOW, "o", load_of(known))
        return world._replace(cached=with_item(world.cached, ingress, cached_in(cache)))

    def call(self, world: World, ingress: int) -> World:
        """A call starts, and its answer passes through the owner and the ingress."""
        limit_number, left = world.passed_on[ingress]
        state = state_of(world)
        state.answered(NOW, AnswerSignals(LIMIT_PER_S if world.limited else None, world.leaving))
        is_bound = world.limited and limit_number == world.limit_number
        knows_limit = world.owner_signals[0] == world.upstream
        passed: Passed = (
            world.limit_number if world.limited else limit_number,
            left or world.leaving,
        )
        after = world._replace(
            owner_signals=known_by(state, world.owner_upstream),
            passed_on=with_item(world.passed_on, ingress, passed),
            unlimited_call=world.unlimited_call or (is_bound and not knows_limit),
            call_after_departure=world.call_after_departure or left,
        )
        return self.record(after, ingress, after.owner_signals)


def with_inherited(world: World) -> World:
    """Return the world, marked if the owner holds signals that its upstream never sent."""
    has_limit, is_leaving = world.owner_signals[1:]
    never_sent = (has_limit and not world.limit_number) or (is_leaving and not world.leaving)
    is_current = world.owner_upstream == world.upstream
    return world._replace(inherited=world.inherited or (is_current and never_sent))


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
            "an owner starts no call of a bound ingress without the limit": lambda w: (
                not w["unlimited_call"]
            ),
            "an ingress sends no call after it has passed on the departure": lambda w: (
                not w["call_after_departure"]
            ),
            "no incarnation inherits the signals of another one": lambda w: not w["inherited"],
        },
    )
