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

from foldhoist.membership.incarnations import (
    EndedIncarnations,
    UpstreamIncarnation,
    incarnations_from_rows,
)
from foldhoist.membership.registry import Peer, Registration, Registry
from foldhoist.membership.startup_barrier import StartupBarrier
from foldhoist.membership.upstream import AnnouncementResult, OwnUpstream
from tests.model.checking import protocol

if TYPE_CHECKING:
    from minicheck import Protocol

NAME = "i-1"
"""The name of both lives of the upstream."""
MOST_BEATS = 3
"""Announcements of the upstream in a run."""


class Bounds(NamedTuple):
    """How much may happen in a run."""

    upstream_lives: int = 1
    daemon_lives: int = 3
    cuts: int = 1
    outages: int = 1


ONE_LIFE = Bounds()
"""One life of the upstream, all that surrounds it at its worst."""
TWO_LIVES = Bounds(upstream_lives=2, daemon_lives=2, outages=0)
"""The upstream starts again under its name; the daemon and its peer fail once."""


class Rules(NamedTuple):
    """The rules of the protocol; a mutant turns one off."""

    bind_before_ack: bool = True
    repeats_wait: bool = True
    ask_before_serving: bool = True
    hear_store_and_peer: bool = True
    keep_ended: bool = True
    tell_start: bool = True
    read_before_write: bool = True


class World(NamedTuple):
    """All there is; `beats` are announcements on their way: state, sequence and start.

    `current`, `ended`: the daemon's knowledge. `store` and `peer` hold the ended lives noted there,
    None before the daemon was known. A life is told by its start, 1 or 2: both have one name.
    `binding`: the life whose leaving waits for its acknowledgement, 0 for none; `left`: the last
    that has said that it leaves; `acked`: the last that this was acknowledged to.
    """

    says: str = "ready"
    sequence: int = 0
    born: int = 1
    left: int = 0
    beats: tuple[tuple[str, int, int], ...] = ()
    life: int = 1
    up: bool = True
    current: tuple[str, int, int] | None = None
    ended: tuple[int, ...] = ()
    settled: bool = True
    asked_store: bool = True
    asked_peer: bool = True
    binding: int = 0
    noted: bool = False
    wrote: bool = False
    store: tuple[int, ...] | None = ()
    store_up: bool = True
    outages: int = 0
    peer: tuple[int, ...] | None = ()
    peer_life: int = 1
    linked: bool = True
    cuts: int = 0
    acked: int = 0
    served_after: bool = False


Step = tuple[str, World]


def own_of(world: World) -> OwnUpstream:
    """Return the daemon's real knowledge of its upstream."""
    own = OwnUpstream(lives_of(world.ended))
    if world.current is not None:
        own.current = announced(*world.current)
    return own


def lives_of(starts: tuple[int, ...]) -> list[UpstreamIncarnation]:
    """Return ended lives by their starts."""
    return [UpstreamIncarnation(NAME, start) for start in starts]


def starts_of(lives: EndedIncarnations) -> tuple[int, ...]:
    """Return the starts of ended lives."""
    return tuple(life.born_ms for life in lives.incarnations())


def with_own(world: World, own: OwnUpstream) -> World:
    """Return the world with what the daemon knows now."""
    current = None
    if own.current is not None:
        current = (own.current["state"], own.current["sequence"], own.current["born_ms"])
    return world._replace(current=current, ended=starts_of(own.ended))


def announced(state: str, sequence: int, born: int) -> Any:
    """Return what the upstream announces."""
    return {
        "instance": NAME,
        "service": "s",
        "slots": 1,
        "state": state,
        "sequence": sequence,
        "born_ms": born,
        "cold_ms": 0,
    }


def registry_of(world: World) -> Registry:
    """Return the peer's real list, with the daemon as it is known there."""
    registry = Registry("p", "one")
    if world.peer is not None:
        ended = tuple(lives_of(world.peer))
        known = Registration("d", str(world.peer_life), "1.2.3.4:5", "one", ended)
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
        "upstream": announced("ready", 0, 0),
        "ended": EndedIncarnations(lives_of(world.ended)).rows(),
    }


class Spec:
    """The transitions under some rules."""

    def __init__(self, rules: Rules, bounds: Bounds) -> None:
        self.rules = rules
        self.bounds = bounds

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
        if world.sequence < MOST_BEATS - (world.born - 1):
            for state in {world.says, "leaving"}:
                sequence = world.sequence + 1
                start = world.born if self.rules.tell_start else 0
                beats = (*world.beats, (state, sequence, start))
                after = world._replace(says=state, sequence=sequence, beats=beats)
                if state == "leaving":
                    after = after._replace(left=world.born)
                steps.append((f"upstream says {state} ({sequence}, life {world.born})", after))
        if world.born < self.bounds.upstream_lives and world.sequence:
            after = world._replace(born=world.born + 1, says="ready", sequence=0)
            steps.append(("upstream starts again under its name", after))
        return steps

    def of_surroundings(self, world: World) -> list[Step]:
        """The daemon dies and comes back; the store and the peer go and come back."""
        steps: list[Step] = []
        if world.up and world.life < self.bounds.daemon_lives:
            steps.append(("daemon dies", self.dies(world)))
        if not world.up:
            steps.append(("daemon starts again", self.starts(world)))
        if world.store_up and world.outages < self.bounds.outages:
            gone = world._replace(store_up=False, outages=world.outages + 1)
            steps.append(("store goes away", gone))
        if not world.store_up:
            steps.append(("store is back", world._replace(store_up=True)))
        if world.linked and world.cuts < self.bounds.cuts:
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
            binding=0,
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
        may_write = world.asked_store or not self.rules.read_before_write
        if world.binding and world.store_up and not world.wrote and may_write:
            steps.append(("store notes", world._replace(store=world.ended, wrote=True)))
        if world.binding and world.linked and not world.noted:
            steps.append(("peer notes", self.told(world)._replace(noted=True)))
        if world.binding and (world.noted or world.wrote or not self.rules.bind_before_ack):
            acked = max(world.acked, world.binding)
            steps.append(("daemon acknowledges", world._replace(binding=0, acked=acked)))
        current = world.current
        is_ready = current is not None and current[0] == "ready"
        if world.settled and is_ready and current is not None and current[2] <= world.acked:
            steps.append(("daemon serves", world._replace(served_after=True)))
        return steps

    def hears(self, world: World, at: int) -> Step:
        """One announcement arrives, whichever was sent first."""
        state, sequence, born = world.beats[at]
        rest = world._replace(beats=world.beats[:at] + world.beats[at + 1 :])
        own = own_of(rest)
        is_known = UpstreamIncarnation(NAME, born) in own.ended
        heard = own.apply_announcement(announced(state, sequence, born))
        after = with_own(rest, own)
        if heard is AnnouncementResult.LEAVING:
            after = after._replace(binding=born, noted=False, wrote=False)
        elif state == "leaving" and is_known and not self.rules.repeats_wait:
            after = after._replace(acked=max(world.acked, born), binding=0)
        return f"daemon hears {state} ({sequence}, life {born})", after

    def told(self, world: World) -> World:
        """The peer takes in what the daemon tells of itself."""
        registry = registry_of(world)
        registry.update_member(0.0, member(world))
        peer = registry.peers["d"]
        ended = starts_of(peer.ended) if self.rules.keep_ended else world.ended
        return world._replace(peer=ended, peer_life=world.life)

    def of_settling(self, world: World) -> list[Step]:
        """A restarted daemon hears what its earlier life acknowledged."""
        steps: list[Step] = []
        if not world.asked_store and world.store_up:
            heard = self.remembers(world, world.store or ())._replace(asked_store=True)
            steps.append(("daemon reads its record", self.settles(heard)))
        if not world.linked:
            registry = registry_of(world)
            registry.update_member(0.0, member(world))
            known = registry.ended_incarnations("d")
            after = self.told(world)._replace(linked=True, asked_peer=True)
            if known is not None:
                after = self.remembers(
                    after, starts_of(EndedIncarnations(incarnations_from_rows(known)))
                )
            steps.append(("peer connects", self.settles(after)))
        return steps

    def remembers(self, world: World, ended: tuple[int, ...]) -> World:
        """The daemon takes in lives that have ended."""
        own = own_of(world)
        own.add_ended(lives_of(ended))
        return with_own(world, own)

    def settles(self, world: World) -> World:
        """The daemon may serve once it has heard enough."""
        barrier = StartupBarrier(first=world.settled)
        if world.asked_store:
            barrier.store_answered({"p"})
        if world.asked_peer:
            barrier.peer_remembered()
        enough = barrier.done
        if not self.rules.hear_store_and_peer:
            enough = enough or world.asked_store or world.asked_peer
        return world._replace(settled=enough)


def specification(name: str, rules: Rules, bounds: Bounds = ONE_LIFE) -> Protocol:
    """Return the specification under some rules, within some bounds."""
    return protocol(
        name,
        World(),
        Spec(rules, bounds).transitions,
        {
            "an acknowledged leaving gets no more calls": lambda w: not w["served_after"],
            "a life that never said that it leaves has not ended": lambda w: (
                all(start <= w["left"] for start in w["ended"])
                and (w["born"] == 1 or w["left"] == 2 or 0 not in w["ended"])
            ),
        },
    )
