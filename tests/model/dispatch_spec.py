"""Dispatch of a call that must not be repeated, over connections that fail.

Messages of a closed connection may still arrive. The owner may be paused at any point, which
allows any order of steps, and may restart without its state.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from tests.model.checking import protocol

if TYPE_CHECKING:
    from minicheck import Protocol


MAX_EPOCHS = 3
"""Maximum number of connections that the ingress opens in a run."""


class Rules(NamedTuple):
    """The rules of the protocol; a mutant turns one off."""

    fence_epochs: bool = True
    compare_incarnations: bool = True
    remember_forgotten: bool = True
    running_is_maybe: bool = True
    ask_after_disconnect: bool = True
    no_retry_after_maybe: bool = True


class World(NamedTuple):
    """State of the ingress, the owner and the messages in transit.

    `ingress`: new, sent, asking, or ended-answer, ended-no, ended-maybe. `call` at the owner: none,
    queued, running, or the result answer, no, maybe. `to_owner` and `to_ingress` hold messages in
    transit as (epoch, message).
    """

    ingress: str = "new"
    epoch: int = 0
    connected: bool = False
    seen_incarnation: int = -1
    to_owner: tuple[tuple[int, str], ...] = ()
    to_ingress: tuple[tuple[int, str], ...] = ()
    incarnation: int = 0
    known_epoch: int = 0
    call: str = "none"
    result_kept: bool = False
    forgotten: bool = False
    runs: int = 0
    withdraw_sent: bool = False


Step = tuple[str, World]


class Spec:
    """The transitions under the given rules."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules

    def transitions(self, flat: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        """Return every possible next step."""
        world = World(*flat)
        steps = [*self.network_steps(world), *self.ingress_steps(world), *self.owner_steps(world)]
        return [(label, tuple(after)) for label, after in steps]

    def network_steps(self, world: World) -> list[Step]:
        """Connections open and fail; messages of one connection arrive in order."""
        steps: list[Step] = []
        if not world.connected and world.epoch < MAX_EPOCHS:
            epoch = world.epoch + 1
            to_owner = (*world.to_owner, (epoch, "hello"))
            steps.append(
                ("connect", world._replace(epoch=epoch, connected=True, to_owner=to_owner))
            )
        if world.connected:
            steps.append(("disconnect", self.disconnect(world)))
        for epoch in {each for each, _ in world.to_owner}:
            at = next(i for i, (each, _) in enumerate(world.to_owner) if each == epoch)
            rest = world._replace(to_owner=world.to_owner[:at] + world.to_owner[at + 1 :])
            steps += self.deliver_to_owner(rest, *world.to_owner[at])
            if epoch != world.epoch or not world.connected:
                remaining = tuple(each for each in world.to_owner if each[0] != epoch)
                steps.append(
                    (
                        f"connection {epoch} loses its remaining messages",
                        world._replace(to_owner=remaining),
                    )
                )
        if world.to_ingress:
            rest = world._replace(to_ingress=world.to_ingress[1:])
            steps += self.deliver_to_ingress(rest, world.to_ingress[0][1])
        if world.incarnation == 0:
            steps.append(("owner restarts", self.restart_owner(world)))
        return steps

    def disconnect(self, world: World) -> World:
        """The ingress loses its connection; messages that it sent may still arrive."""
        after = world._replace(connected=False, to_ingress=())
        if world.ingress != "sent":
            return after
        if not self.rules.ask_after_disconnect:
            return self.end_call(after, "no")
        return after._replace(ingress="asking")

    def restart_owner(self, world: World) -> World:
        """The owner's process ends with its connections and restarts without its state."""
        fresh = self.disconnect(world) if world.connected else world
        return fresh._replace(
            to_owner=(),
            to_ingress=(),
            incarnation=1,
            known_epoch=0,
            call="none",
            result_kept=False,
            forgotten=False,
        )

    def deliver_to_owner(self, world: World, epoch: int, message: str) -> list[Step]:
        """The owner receives a message of the connection `epoch`."""
        label = f"owner reads {message} of connection {epoch}"
        if message == "hello":
            if epoch <= world.known_epoch and self.rules.fence_epochs:
                return [(label, world)]
            welcomed = self.reply(world._replace(known_epoch=epoch), f"hello{world.incarnation}")
            return [(label, welcomed)]
        if epoch != world.known_epoch and self.rules.fence_epochs:
            return [(label, world)]
        match message:
            case "dispatch":
                return self.on_dispatch(world, label)
            case "withdraw":
                return [(label, self.on_withdraw(world))]
            case "fate":
                return [(label, self.on_fate_request(world))]
        return []

    def on_dispatch(self, world: World, label: str) -> list[Step]:
        """The owner queues the call or refuses it."""
        if world.call != "none":
            return [(label, world)]
        queued = world._replace(call="queued")
        return [(label, queued), (f"{label}, refuses", self.finish(queued, "no"))]

    def on_withdraw(self, world: World) -> World:
        """The owner removes a queued call, or cancels a running one."""
        if world.call == "queued":
            return self.finish(world, "no")
        if world.call == "running":
            return self.finish(world, "maybe" if self.rules.running_is_maybe else "no")
        return world

    def on_fate_request(self, world: World) -> World:
        """The owner reports the result unless the call is queued or running."""
        if world.call in ("queued", "running"):
            return world
        if world.result_kept:
            return self.reply(world, world.call)
        if world.forgotten and self.rules.remember_forgotten:
            return self.reply(world, "maybe")
        return self.reply(world, "no")

    def finish(self, world: World, result: str) -> World:
        """The owner stores the result of the call and sends it."""
        return self.reply(world._replace(call=result, result_kept=True), result)

    def reply(self, world: World, message: str) -> World:
        """The owner sends on its newest connection; lost unless the ingress still has it."""
        if not world.connected or world.known_epoch != world.epoch:
            return world
        return world._replace(to_ingress=(*world.to_ingress, (world.epoch, message)))

    def owner_steps(self, world: World) -> list[Step]:
        """The owner starts, ends or drops the call, or forgets its result."""
        steps: list[Step] = []
        if world.call == "queued":
            started = world._replace(call="running", runs=world.runs + 1)
            steps.append(("owner starts the call", started))
            if not world.connected:
                steps.append(("owner drops the queued call", self.finish(world, "no")))
        if world.call == "running":
            steps.append(("upstream answers", self.finish(world, "answer")))
            steps.append(("upstream fails", self.finish(world, "maybe")))
        if world.result_kept:
            expired = world._replace(result_kept=False, forgotten=True, call="none")
            steps.append(("owner forgets the result", expired))
        return steps

    def ingress_steps(self, world: World) -> list[Step]:
        """The ingress withdraws the call, or ends it without a result."""
        steps: list[Step] = []
        if world.ingress == "sent" and world.connected and not world.withdraw_sent:
            to_owner = (*world.to_owner, (world.epoch, "withdraw"))
            steps.append(
                ("ingress withdraws", world._replace(withdraw_sent=True, to_owner=to_owner))
            )
        if world.ingress == "sent" and world.connected:
            late = world._replace(to_owner=(*world.to_owner, (world.epoch, "withdraw")))
            steps.append(("deadline passes", self.end_call(late, "maybe")))
        if world.ingress == "asking":
            steps.append(("fate request times out", self.end_call(world, "maybe")))
        return steps

    def deliver_to_ingress(self, world: World, message: str) -> list[Step]:
        """The ingress receives a message."""
        label = f"ingress reads {message}"
        if message.startswith("hello"):
            return [(label, self.on_hello(world, int(message[5:])))]
        if world.ingress not in ("sent", "asking"):
            return [(label, world)]
        steps = [(label, self.end_call(world, message))]
        if message == "no" or (message == "maybe" and not self.rules.no_retry_after_maybe):
            elsewhere = world._replace(runs=world.runs + 1)
            steps.append((f"{label}, retries elsewhere", self.end_call(elsewhere, "answer")))
        return steps

    def on_hello(self, world: World, incarnation: int) -> World:
        """The connection is established: the ingress sends the call or requests its fate."""
        if world.ingress == "new":
            to_owner = (*world.to_owner, (world.epoch, "dispatch"))
            return world._replace(ingress="sent", seen_incarnation=incarnation, to_owner=to_owner)
        if world.ingress != "asking":
            return world
        if incarnation != world.seen_incarnation and self.rules.compare_incarnations:
            return self.end_call(world, "maybe")
        return world._replace(to_owner=(*world.to_owner, (world.epoch, "fate")))

    def end_call(self, world: World, verdict: str) -> World:
        """The caller gets its final answer."""
        return world._replace(ingress=f"ended-{verdict}")


def specification(name: str, rules: Rules) -> Protocol:
    """Return the specification under the given rules."""
    return protocol(
        name,
        World(),
        Spec(rules).transitions,
        {
            "a not-run call did not run": lambda w: w["ingress"] != "ended-no" or w["runs"] == 0,
            "a call runs at most once": lambda w: w["runs"] <= 1,
            "an answered call has run": lambda w: w["ingress"] != "ended-answer" or w["runs"] == 1,
        },
    )
