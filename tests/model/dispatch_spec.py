"""One call that may not be repeated, from its ingress to its owner, over connections that fall.

Messages of a connection that its ingress has given up may still arrive late. The owner may be
paused at any point, which is any order of steps, and may restart with nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from tests.model.checking import protocol

if TYPE_CHECKING:
    from minicheck import Protocol


MOST_EPOCHS = 3
"""Connections that the ingress opens in a run."""


class Rules(NamedTuple):
    """The rules of the protocol; a mutant turns one off."""

    fence_epochs: bool = True
    compare_incarnations: bool = True
    remember_forgetting: bool = True
    running_is_maybe: bool = True
    ask_after_cut: bool = True
    no_retry_after_maybe: bool = True


class World(NamedTuple):
    """All there is.

    `ingress`: new, sent, asking, or told-answer, told-no, told-maybe. `call` at the owner: none,
    queued, running, or the result answer, no, maybe. `forth` and `back` hold (epoch, message).
    """

    ingress: str = "new"
    epoch: int = 0
    up: bool = False
    seen: int = -1
    forth: tuple[tuple[int, str], ...] = ()
    back: tuple[tuple[int, str], ...] = ()
    incarnation: int = 0
    known_epoch: int = 0
    call: str = "none"
    kept: bool = False
    forgotten: bool = False
    runs: int = 0
    withdrew: bool = False


Step = tuple[str, World]


class Spec:
    """The transitions under some rules."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules

    def transitions(self, flat: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        """Return every step that may come next."""
        world = World(*flat)
        steps = [*self.network(world), *self.at_ingress(world), *self.at_owner(world)]
        return [(label, tuple(after)) for label, after in steps]

    def network(self, world: World) -> list[Step]:
        """Connections rise and fall; messages arrive in the order of their connection."""
        steps: list[Step] = []
        if not world.up and world.epoch < MOST_EPOCHS:
            epoch = world.epoch + 1
            forth = (*world.forth, (epoch, "hello"))
            steps.append(("connect", world._replace(epoch=epoch, up=True, forth=forth)))
        if world.up:
            steps.append(("cut", self.cut(world)))
        for epoch in {each for each, _ in world.forth}:
            at = next(i for i, (each, _) in enumerate(world.forth) if each == epoch)
            rest = world._replace(forth=world.forth[:at] + world.forth[at + 1 :])
            steps += self.arrive(rest, *world.forth[at])
            if epoch != world.epoch or not world.up:
                left = tuple(each for each in world.forth if each[0] != epoch)
                steps.append((f"connection {epoch} loses its rest", world._replace(forth=left)))
        if world.back:
            rest = world._replace(back=world.back[1:])
            steps += self.heard(rest, world.back[0][1])
        if world.incarnation == 0:
            steps.append(("owner restarts", self.restart(world)))
        return steps

    def cut(self, world: World) -> World:
        """The ingress loses its connection; what it had sent may still arrive."""
        after = world._replace(up=False, back=())
        if world.ingress != "sent":
            return after
        if not self.rules.ask_after_cut:
            return self.tell(after, "no")
        return after._replace(ingress="asking")

    def restart(self, world: World) -> World:
        """The owner's process dies with its connections and comes back with nothing."""
        fresh = self.cut(world) if world.up else world
        return fresh._replace(
            forth=(),
            back=(),
            incarnation=1,
            known_epoch=0,
            call="none",
            kept=False,
            forgotten=False,
        )

    def arrive(self, world: World, epoch: int, message: str) -> list[Step]:
        """The owner reads a message."""
        label = f"owner reads {message} of connection {epoch}"
        if message == "hello":
            if epoch <= world.known_epoch and self.rules.fence_epochs:
                return [(label, world)]
            greeted = self.say(world._replace(known_epoch=epoch), f"hello{world.incarnation}")
            return [(label, greeted)]
        if epoch != world.known_epoch and self.rules.fence_epochs:
            return [(label, world)]
        match message:
            case "dispatch":
                return self.dispatched(world, label)
            case "withdraw":
                return [(label, self.withdrawn(world))]
            case "fate":
                return [(label, self.asked(world))]
        return []

    def dispatched(self, world: World, label: str) -> list[Step]:
        """The owner takes the call or refuses it."""
        if world.call != "none":
            return [(label, world)]
        queued = world._replace(call="queued")
        return [(label, queued), (f"{label}, refuses", self.end(queued, "no"))]

    def withdrawn(self, world: World) -> World:
        """The owner drops a waiting call, or cancels a running one."""
        if world.call == "queued":
            return self.end(world, "no")
        if world.call == "running":
            return self.end(world, "maybe" if self.rules.running_is_maybe else "no")
        return world

    def asked(self, world: World) -> World:
        """The owner says what became of the call."""
        if world.call in ("queued", "running"):
            return world
        if world.kept:
            return self.say(world, world.call)
        if world.forgotten and self.rules.remember_forgetting:
            return self.say(world, "maybe")
        return self.say(world, "no")

    def end(self, world: World, result: str) -> World:
        """The owner has a result, keeps it and says it."""
        return self.say(world._replace(call=result, kept=True), result)

    def say(self, world: World, message: str) -> World:
        """The owner writes to its newest connection, which may be gone at the other end."""
        if not world.up or world.known_epoch != world.epoch:
            return world
        return world._replace(back=(*world.back, (world.epoch, message)))

    def at_owner(self, world: World) -> list[Step]:
        """The owner starts, ends, drops or forgets the call."""
        steps: list[Step] = []
        if world.call == "queued":
            started = world._replace(call="running", runs=world.runs + 1)
            steps.append(("owner starts the call", started))
            if not world.up:
                steps.append(("owner drops the waiting call", self.end(world, "no")))
        if world.call == "running":
            steps.append(("upstream answers", self.end(world, "answer")))
            steps.append(("upstream breaks", self.end(world, "maybe")))
        if world.kept:
            forgot = world._replace(kept=False, forgotten=True, call="none")
            steps.append(("owner forgets the result", forgot))
        return steps

    def at_ingress(self, world: World) -> list[Step]:
        """The ingress gives up."""
        steps: list[Step] = []
        if world.ingress == "sent" and world.up and not world.withdrew:
            forth = (*world.forth, (world.epoch, "withdraw"))
            steps.append(("ingress withdraws", world._replace(withdrew=True, forth=forth)))
        if world.ingress == "sent" and world.up:
            late = world._replace(forth=(*world.forth, (world.epoch, "withdraw")))
            steps.append(("deadline passes", self.tell(late, "maybe")))
        if world.ingress == "asking":
            steps.append(("nobody can say", self.tell(world, "maybe")))
        return steps

    def heard(self, world: World, message: str) -> list[Step]:
        """The ingress reads a message."""
        label = f"ingress reads {message}"
        if message.startswith("hello"):
            return [(label, self.greeted(world, int(message[5:])))]
        if world.ingress not in ("sent", "asking"):
            return [(label, world)]
        steps = [(label, self.tell(world, message))]
        if message == "no" or (message == "maybe" and not self.rules.no_retry_after_maybe):
            elsewhere = world._replace(runs=world.runs + 1)
            steps.append((f"{label}, tries elsewhere", self.tell(elsewhere, "answer")))
        return steps

    def greeted(self, world: World, incarnation: int) -> World:
        """The connection is good: send the call, or ask for its fate."""
        if world.ingress == "new":
            forth = (*world.forth, (world.epoch, "dispatch"))
            return world._replace(ingress="sent", seen=incarnation, forth=forth)
        if world.ingress != "asking":
            return world
        if incarnation != world.seen and self.rules.compare_incarnations:
            return self.tell(world, "maybe")
        return world._replace(forth=(*world.forth, (world.epoch, "fate")))

    def tell(self, world: World, verdict: str) -> World:
        """The caller gets its final answer."""
        return world._replace(ingress=f"told-{verdict}")


def specification(name: str, rules: Rules) -> Protocol:
    """Return the specification under some rules."""
    return protocol(
        name,
        World(),
        Spec(rules).transitions,
        {
            "told not run is not run": lambda w: w["ingress"] != "told-no" or w["runs"] == 0,
            "runs at most once": lambda w: w["runs"] <= 1,
            "answered has run": lambda w: w["ingress"] != "told-answer" or w["runs"] == 1,
        },
    )
