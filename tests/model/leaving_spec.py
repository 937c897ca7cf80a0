"""An upstream leaves while its daemon, the store and a peer may fail at any step.

`OwnUpstream`, `StartupBarrier` and the peer's `Registry` are the product's own classes, built for
each step. Announcements arrive in any order. An acknowledged leaving promises that no further call
goes to that incarnation of the upstream, whatever fails next.

Assumption: a restarted daemon reaches the store or the peer that recorded the leaving before it
stops waiting for them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from foldhoist.membership.incarnations import (
    EndedIncarnations,
    UpstreamIncarnation,
    incarnations_from_rows,
)
from foldhoist.membership.registration import Registration
from foldhoist.membership.registry import Peer, Registry
from foldhoist.membership.startup_barrier import StartupBarrier
from foldhoist.membership.upstream import AnnouncementResult, OwnUpstream
from tests.model.checking import protocol

if TYPE_CHECKING:
    from minicheck import Protocol

NAME = "i-1"
"""Name of both incarnations of the upstream."""
MAX_ANNOUNCEMENTS = 3
"""Maximum number of announcements of the upstream in a run."""


class Bounds(NamedTuple):
    """Maximum number of incarnations, lost connections and store outages in a run."""

    upstream_incarnations: int = 1
    daemon_incarnations: int = 3
    cuts: int = 1
    outages: int = 1


ONE_INCARNATION = Bounds()
"""One incarnation of the upstream, with all failures around it."""
TWO_INCARNATIONS = Bounds(upstream_incarnations=2, daemon_incarnations=2, outages=0)
"""The upstream restarts under its name; the daemon restarts once and loses its peer once."""


class Rules(NamedTuple):
    """The rules of the protocol; a mutant turns one off."""

    store_before_ack: bool = True
    delay_repeated_ack: bool = True
    wait_before_serving: bool = True
    require_store_and_peer: bool = True
    keep_ended: bool = True
    announce_start: bool = True
    read_before_write: bool = True


class World(NamedTuple):
    """State of the upstream, the daemon, the store and the peer.

    `announcements` are in transit: state, sequence and start. `current` and `ended` are what the
    daemon knows. `store` and `peer` hold the ended incarnations recorded there, None before the
    daemon was known. An upstream incarnation is identified by its start, 1 or 2. `unacked`: the one
    whose leaving is not acknowledged yet, 0 for none; `last_left`: the last one that announced
    leaving; `acked`: the last one whose leaving was acknowledged.
    """

    upstream_state: str = "ready"
    sequence: int = 0
    born: int = 1
    last_left: int = 0
    announcements: tuple[tuple[str, int, int], ...] = ()
    daemon_incarnation: int = 1
    daemon_up: bool = True
    current: tuple[str, int, int] | None = None
    ended: tuple[int, ...] = ()
    may_serve: bool = True
    store_read: bool = True
    peer_answered: bool = True
    unacked: int = 0
    peer_recorded: bool = False
    store_recorded: bool = False
    store: tuple[int, ...] | None = ()
    store_up: bool = True
    outages: int = 0
    peer: tuple[int, ...] | None = ()
    peer_incarnation: int = 1
    connected: bool = True
    cuts: int = 0
    acked: int = 0
    served_after_ack: bool = False


Step = tuple[str, World]


def own_upstream_of(world: World) -> OwnUpstream:
    """Return the daemon's knowledge of its upstream as the product's object."""
    own = OwnUpstream(incarnations_of(world.ended))
    if world.current is not None:
        own.current = announced(*world.current)
    return own


def incarnations_of(starts: tuple[int, ...]) -> list[UpstreamIncarnation]:
    """Return the upstream incarnations with these starts."""
    return [UpstreamIncarnation(NAME, start) for start in starts]


def starts_of(ended: EndedIncarnations) -> tuple[int, ...]:
    """Return the starts of ended incarnations."""
    return tuple(incarnation.born_ms for incarnation in ended.incarnations())


def with_own(world: World, own: OwnUpstream) -> World:
    """Return the world with the daemon's knowledge replaced by `own`."""
    current = None
    if own.current is not None:
        current = (own.current["state"], own.current["sequence"], own.current["born_ms"])
    return world._replace(current=current, ended=starts_of(own.ended))


def announced(state: str, sequence: int, born: int) -> Any:
    """Return an announcement of the upstream."""
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
    """Return the registry of the peer, with the daemon as it is known there."""
    registry = Registry("p", "one")
    if world.peer is not None:
        ended = tuple(incarnations_of(world.peer))
        known = Registration("d", str(world.peer_incarnation), "1.2.3.4:5", "one", ended)
        registry.add(Peer(known, 0.0))
    return registry


def member(world: World) -> Any:
    """Return the report that the daemon sends to a peer."""
    return {
        "name": "d",
        "incarnation": str(world.daemon_incarnation),
        "telling": 1,
        "frames": "1.2.3.4:5",
        "data_centre": "one",
        "version": 0,
        "upstream": announced("ready", 0, 0),
        "ended": EndedIncarnations(incarnations_of(world.ended)).rows(),
    }


class Spec:
    """The transitions under the given rules."""

    def __init__(self, rules: Rules, bounds: Bounds) -> None:
        self.rules = rules
        self.bounds = bounds

    def transitions(self, flat: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        """Return every possible next step."""
        world = World(*flat)
        steps = [*self.upstream_steps(world), *self.environment_steps(world)]
        if world.daemon_up:
            steps += [*self.daemon_steps(world), *self.startup_steps(world)]
        return [(label, tuple(after)) for label, after in steps]

    def upstream_steps(self, world: World) -> list[Step]:
        """The upstream announces its previous state or leaving, or restarts under its name."""
        steps: list[Step] = []
        if world.sequence < MAX_ANNOUNCEMENTS - (world.born - 1):
            for state in {world.upstream_state, "leaving"}:
                sequence = world.sequence + 1
                start = world.born if self.rules.announce_start else 0
                announcements = (*world.announcements, (state, sequence, start))
                after = world._replace(
                    upstream_state=state, sequence=sequence, announcements=announcements
                )
                if state == "leaving":
                    after = after._replace(last_left=world.born)
                steps.append(
                    (f"upstream announces {state} ({sequence}, incarnation {world.born})", after)
                )
        if world.born < self.bounds.upstream_incarnations and world.sequence:
            after = world._replace(born=world.born + 1, upstream_state="ready", sequence=0)
            steps.append(("upstream restarts under its name", after))
        return steps

    def environment_steps(self, world: World) -> list[Step]:
        """The daemon ends and restarts; the store and the peer fail; the store recovers."""
        steps: list[Step] = []
        if world.daemon_up and world.daemon_incarnation < self.bounds.daemon_incarnations:
            steps.append(("daemon ends", self.stop_daemon(world)))
        if not world.daemon_up:
            steps.append(("daemon restarts", self.start_daemon(world)))
        if world.store_up and world.outages < self.bounds.outages:
            gone = world._replace(store_up=False, outages=world.outages + 1)
            steps.append(("store fails", gone))
        if not world.store_up:
            steps.append(("store recovers", world._replace(store_up=True)))
        if world.connected and world.cuts < self.bounds.cuts:
            steps.append(
                (
                    "connection to the peer is lost",
                    world._replace(connected=False, cuts=world.cuts + 1),
                )
            )
        return steps

    def stop_daemon(self, world: World) -> World:
        """The daemon ends and loses its state."""
        return world._replace(
            daemon_up=False,
            current=None,
            ended=(),
            may_serve=False,
            store_read=False,
            peer_answered=False,
            unacked=0,
            peer_recorded=False,
            store_recorded=False,
            connected=False,
        )

    def start_daemon(self, world: World) -> World:
        """The next incarnation has no state and may not serve its upstream yet."""
        may_serve = not self.rules.wait_before_serving
        return world._replace(
            daemon_up=True, daemon_incarnation=world.daemon_incarnation + 1, may_serve=may_serve
        )

    def daemon_steps(self, world: World) -> list[Step]:
        """The daemon receives announcements, records and acknowledges a leaving, and serves."""
        steps = [self.receive(world, at) for at in range(len(world.announcements))]
        may_write = world.store_read or not self.rules.read_before_write
        if world.unacked and world.store_up and not world.store_recorded and may_write:
            steps.append(
                (
                    "store records the leaving",
                    world._replace(store=world.ended, store_recorded=True),
                )
            )
        if world.unacked and world.connected and not world.peer_recorded:
            steps.append(
                (
                    "peer records the leaving",
                    self.report_to_peer(world)._replace(peer_recorded=True),
                )
            )
        if world.unacked and (
            world.peer_recorded or world.store_recorded or not self.rules.store_before_ack
        ):
            acked = max(world.acked, world.unacked)
            steps.append(("daemon acknowledges", world._replace(unacked=0, acked=acked)))
        current = world.current
        is_ready = current is not None and current[0] == "ready"
        if world.may_serve and is_ready and current is not None and current[2] <= world.acked:
            steps.append(("daemon serves", world._replace(served_after_ack=True)))
        return steps

    def receive(self, world: World, at: int) -> Step:
        """The announcement at this index arrives, in any order."""
        state, sequence, born = world.announcements[at]
        rest = world._replace(
            announcements=world.announcements[:at] + world.announcements[at + 1 :]
        )
        own = own_upstream_of(rest)
        is_known = UpstreamIncarnation(NAME, born) in own.ended
        result = own.apply_announcement(announced(state, sequence, born))
        after = with_own(rest, own)
        if result is AnnouncementResult.LEAVING:
            after = after._replace(unacked=born, peer_recorded=False, store_recorded=False)
        elif state == "leaving" and is_known and not self.rules.delay_repeated_ack:
            after = after._replace(acked=max(world.acked, born), unacked=0)
        return f"daemon receives {state} ({sequence}, incarnation {born})", after

    def report_to_peer(self, world: World) -> World:
        """The peer applies the daemon's report."""
        registry = registry_of(world)
        registry.update_member(0.0, member(world))
        peer = registry.peers["d"]
        ended = starts_of(peer.ended) if self.rules.keep_ended else world.ended
        return world._replace(peer=ended, peer_incarnation=world.daemon_incarnation)

    def startup_steps(self, world: World) -> list[Step]:
        """A restarted daemon learns which leavings its earlier incarnation acknowledged."""
        steps: list[Step] = []
        if not world.store_read and world.store_up:
            result = self.with_ended(world, world.store or ())._replace(store_read=True)
            steps.append(("daemon reads its record", self.with_startup_barrier(result)))
        if not world.connected:
            registry = registry_of(world)
            registry.update_member(0.0, member(world))
            known = registry.ended_incarnations("d")
            after = self.report_to_peer(world)._replace(connected=True, peer_answered=True)
            if known is not None:
                after = self.with_ended(
                    after, starts_of(EndedIncarnations(incarnations_from_rows(known)))
                )
            steps.append(("peer connects", self.with_startup_barrier(after)))
        return steps

    def with_ended(self, world: World, ended: tuple[int, ...]) -> World:
        """Return the world in which the daemon also knows these ended incarnations."""
        own = own_upstream_of(world)
        own.add_ended(incarnations_of(ended))
        return with_own(world, own)

    def with_startup_barrier(self, world: World) -> World:
        """The daemon may serve once its startup barrier is done."""
        barrier = StartupBarrier(first=world.may_serve)
        if world.store_read:
            barrier.store_answered({"p"})
        if world.peer_answered:
            barrier.peer_remembered()
        enough = barrier.done
        if not self.rules.require_store_and_peer:
            enough = enough or world.store_read or world.peer_answered
        return world._replace(may_serve=enough)


def specification(name: str, rules: Rules, bounds: Bounds = ONE_INCARNATION) -> Protocol:
    """Return the specification under the given rules, within the given bounds."""
    return protocol(
        name,
        World(),
        Spec(rules, bounds).transitions,
        {
            "an upstream gets no calls after its leaving was acknowledged": lambda w: (
                not w["served_after_ack"]
            ),
            "an incarnation that never announced leaving has not ended": lambda w: (
                all(start <= w["last_left"] for start in w["ended"])
                and (w["born"] == 1 or w["last_left"] == 2 or 0 not in w["ended"])
            ),
        },
    )
