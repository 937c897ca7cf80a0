"""An upstream leaves, and its daemon, the store and a peer may fail at any step.

The daemon's knowledge of its upstream, what it has heard of earlier lives and the peer's list of
daemons are the real core objects, built anew for each step. Announcements arrive in any order, late
ones too. What an acknowledgement promises: no call goes to that life of the upstream any more,
whatever dies next.

Assumed: the store or the peer that noted the leaving is reached by a restarted daemon before it
stops waiting for them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from foldhoist.membership.registry import Peer, Registration, Registry
from foldhoist.membership.settling import Settling
from foldhoist.membership.upstream import Heard, OwnUpstream
from tests.model.checking import protocol

if TYPE_CHECKING:
    from minicheck import Protocol

LIFE = "i-1"
"""The life of the upstream that leaves."""
MOST_BEATS = 3
"""Announcements of the upstream in a run."""
MOST_LIVES = 3
"""Lives of the daemon in a run."""
MOST_CUTS = 1
"""Times that the peer is cut off."""
MOST_OUTAGES = 1
"""Times that the store goes away."""


class Rules(NamedTuple):
    """The rules of the protocol; a mutant turns one off."""

    bind_before_ack: bool = True
    repeats_wait: bool = True
    ask_before_serving: bool = True
    hear_store_and_peer: bool = True
    keep_ended: bool = True


class World(NamedTuple):
    """All there is; `beats` are announcements on their way: state and sequence.

    `current`, `ended`: the daemon's knowledge. `store` and `peer` hold the ended lives noted there,
    None before the daemon was known. `binding`: a leaving waits for its acknowledgement.
    """

    says: str = "ready"
    sequence: int = 0
    beats: tuple[tuple[str, int], ...] = ()
    life: int = 1
    up: bool = True
    current: tuple[str, int] | None = None
    ended: tuple[str, ...] = ()
    settled: bool = True
    asked_store: bool = True
    asked_peer: bool = True
    binding: bool = False
    noted: bool = False
    wrote: bool = False
    store: tuple[str, ...] | None = ()
    store_up: bool = True
    outages: int = 0
    peer: tuple[str, ...] | None = ()
    peer_life: int = 1
    linked: bool = True
    cuts: int = 0
    acked: bool = False
    served_after: bool = False


Step = tuple[str, World]


def own_of(world: World) -> OwnUpstream:
    """Return the daemon's real knowledge of its upstream."""
    own = OwnUpstream()
    own.ended = list(world.ended)
    if world.current is not None:
        state, sequence = world.current
        own.current = announced(state, sequence)
    return own


def with_own(world: World, own: OwnUpstream) -> World:
    """Return the world with what the daemon knows now."""
    current = None
    if own.current is not None:
        current = (own.current["state"], own.current["sequence"])
    return world._replace(current=current, ended=tuple(own.ended))


def announced(state: str, sequence: int) -> Any:
    """Return what the upstream announces."""
    return {
        "instance": LIFE,
        "service": "s",
        "slots": 1,
        "state": state,
        "sequence": sequence,
        "cold_ms": 0,
    }


def registry_of(world: World) -> Registry:
    """Return the peer's real list, with the daemon as it is known there."""
    registry = Registry("p", "one")
    if world.peer is not None:
        known = Registration("d", str(world.peer_life), "1.2.3.4:5", "one", world.peer)
        registry.add(Peer(known, 0.0))
    return registry


def member(world: World) -> Any:
    """Return what the daemon tells a peer of itself."""
    return {
        "name": "d",
        "incarnation": str(world.life),
        "telling": 1,
        "frames": "1.2.3.4:5",
        "data_centre": "one",
        "version": 0,
        "upstream": announced("ready", 0),
        "ended": list(world.ended),
    }


class Spec:
    """The transitions under some rules."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules

    def transitions(self, flat: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        """Return every step that may come next."""
        world = World(*flat)
        steps = [*self.of_upstream(world), *self.of_surroundings(world)]
        if world.up:
            steps += [*self.of_daemon(world), *self.of_settling(world)]
        return [(label, tuple(after)) for label, after in steps]

    def of_upstream(self, world: World) -> list[Step]:
        """The upstream announces itself; it goes on with its old word for a while or not."""
        steps: list[Step] = []
        if world.sequence < MOST_BEATS:
            for state in {world.says, "leaving"}:
                sequence = world.sequence + 1
                beats = (*world.beats, (state, sequence))
                after = world._replace(says=state, sequence=sequence, beats=beats)
                steps.append((f"upstream says {state} ({sequence})", after))
        return steps

    def of_surroundings(self, world: World) -> list[Step]:
        """The daemon dies and comes back; the store and the peer go and come back."""
        steps: list[Step] = []
        if world.up and world.life < MOST_LIVES:
            steps.append(("daemon dies", self.dies(world)))
        if not world.up:
            steps.append(("daemon starts again", self.starts(world)))
        if world.store_up and world.outages < MOST_OUTAGES:
            gone = world._replace(store_up=False, outages=world.outages + 1)
            steps.append(("store goes away", gone))
        if not world.store_up:
            steps.append(("store is back", world._replace(store_up=True)))
        if world.linked and world.cuts < MOST_CUTS:
            steps.append(("peer is cut off", world._replace(linked=False, cuts=world.cuts + 1)))
        return steps

    def dies(self, world: World) -> World:
        """All that the daemon knew is gone."""
        return world._replace(
            up=False,
            current=None,
            ended=(),
            settled=False,
            asked_store=False,
            asked_peer=False,
            binding=False,
            noted=False,
            wrote=False,
            linked=False,
        )

    def starts(self, world: World) -> World:
        """The next life knows nothing, and may not serve its upstream yet."""
        settled = not self.rules.ask_before_serving
        return world._replace(up=True, life=world.life + 1, settled=settled)

    def of_daemon(self, world: World) -> list[Step]:
        """The daemon hears announcements, binds a leaving, acknowledges it, and serves."""
        steps = [self.hears(world, at) for at in range(len(world.beats))]
        if world.binding and world.store_up and not world.wrote:
            steps.append(("store notes", world._replace(store=world.ended, wrote=True)))
        if world.binding and world.linked and not world.noted:
            steps.append(("peer notes", self.told(world)._replace(noted=True)))
        if world.binding and (world.noted or world.wrote or not self.rules.bind_before_ack):
            steps.append(("daemon acknowledges", world._replace(binding=False, acked=True)))
        is_ready = world.current is not None and world.current[0] == "ready"
        if world.settled and is_ready and world.acked:
            steps.append(("daemon serves", world._replace(served_after=True)))
        return steps

    def hears(self, world: World, at: int) -> Step:
        """One announcement arrives, whichever was sent first."""
        state, sequence = world.beats[at]
        rest = world._replace(beats=world.beats[:at] + world.beats[at + 1 :])
        own = own_of(rest)
        is_known = LIFE in own.ended
        heard = own.heard(announced(state, sequence))
        after = with_own(rest, own)
        if heard is Heard.LEAVING:
            after = after._replace(binding=True)
        elif state == "leaving" and is_known and not self.rules.repeats_wait:
            after = after._replace(acked=True, binding=False)
        return f"daemon hears {state} ({sequence})", after

    def told(self, world: World) -> World:
        """The peer takes in what the daemon tells of itself."""
        registry = registry_of(world)
        registry.told(0.0, member(world))
        peer = registry.peers["d"]
        ended = tuple(peer.ended) if self.rules.keep_ended else world.ended
        return world._replace(peer=ended, peer_life=world.life)

    def of_settling(self, world: World) -> list[Step]:
        """A restarted daemon hears what its earlier life acknowledged."""
        steps: list[Step] = []
        if not world.asked_store and world.store_up:
            heard = self.remembers(world, world.store or ())._replace(asked_store=True)
            steps.append(("daemon reads its record", self.settles(heard)))
        if not world.linked:
            registry = registry_of(world)
            registry.told(0.0, member(world))
            known = registry.remembered("d")
            after = self.told(world)._replace(linked=True, asked_peer=True)
            if known is not None:
                after = self.remembers(after, tuple(known))
            steps.append(("peer connects", self.settles(after)))
        return steps

    def remembers(self, world: World, ended: tuple[str, ...]) -> World:
        """The daemon takes in lives that have ended."""
        own = own_of(world)
        own.remember(list(ended))
        return with_own(world, own)

    def settles(self, world: World) -> World:
        """The daemon may serve once it has heard enough."""
        settling = Settling(first=world.settled)
        if world.asked_store:
            settling.store_answered({"p"})
        if world.asked_peer:
            settling.peer_remembered()
        enough = settling.done
        if not self.rules.hear_store_and_peer:
            enough = enough or world.asked_store or world.asked_peer
        return world._replace(settled=enough)


def specification(name: str, rules: Rules) -> Protocol:
    """Return the specification under some rules."""
    return protocol(
        name,
        World(),
        Spec(rules).transitions,
        {
            "an acknowledged leaving gets no more calls": lambda w: not w["served_after"],
        },
    )
