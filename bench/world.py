"""A small world on simpy: the real ingress and owner objects, with fakes of network and upstream.

Nothing here decides: every choice, refusal and retry is made by the objects that run in a daemon.
Times are seconds.
"""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING, Any

import simpy

from bench.deployments import Case, Deployment, Seen, Slowdown, configuration
from bench.fake_upstream import FakeUpstream
from foldhoist.admission.slots import QueueLimits
from foldhoist.config.fleet import parse_fleet
from foldhoist.delivery.call import CallerRequest, Connect, Reply, SendTo
from foldhoist.delivery.codec import SCHEMA_VERSION
from foldhoist.delivery.dispatch import CancelCall, Complete, StartCall
from foldhoist.delivery.dispatch import SendTo as OwnerSendTo
from foldhoist.delivery.ingress import Ingress
from foldhoist.delivery.owner import Owner
from foldhoist.delivery.verdict import Answered, NotRun
from foldhoist.membership.view import homes, tracked

if TYPE_CHECKING:
    from collections.abc import Callable

    from foldhoist.delivery.call import Record
    from foldhoist.delivery.verdict import Verdict

NEAR_S, FAR_S = 0.00025, 0.0005
"""One way between daemons of one data centre, and of two."""
LOCAL_S = 0.00002
"""Between the two roles of one daemon."""


class World:
    """One run."""

    def __init__(
        self, deployment: Deployment, case: Case, policy: str, seed: int, hedge_ms: int = 0
    ) -> None:
        self.env = simpy.Environment()
        self.deployment = deployment
        self.case = case
        self.rng = random.Random(seed)
        self.seen: list[Seen] = []
        self.reports = 0
        text = configuration(deployment, policy, hedge_ms)
        self.fleet, faults = parse_fleet(text, "bench")
        assert not faults, faults
        self.names = list(self.fleet["targets"])
        self.upstreams = {
            name: FakeUpstream(deployment.service_s, random.Random(seed * 100 + i))
            for i, name in enumerate(self.names)
        }
        self.owners = {name: self.make_owner(name) for name in self.names}
        self.ingresses = {name: self.make_ingress(name) for name in self.names}
        self.down: set[str] = set()
        self.calls: dict[tuple[str, int], tuple[float, bool]] = {}
        self.next_call = 0
        self.wait_tick: dict[str, float] = {}
        self.loads: dict[str, list[tuple[float, Any]]] = {}
        self.flying: dict[str, int] = {}
        self.prepare()

    # Building

    def make_owner(self, name: str) -> Owner:
        """Return an owner."""
        service = self.fleet["services"]["s"]
        limits = QueueLimits(
            self.deployment.slots, service["queue"], service["urgent_slots"], service["urgent_run"]
        )
        return Owner(name, "s", limits, 600.0)

    def make_ingress(self, name: str) -> Ingress:
        """Return an ingress."""
        centre = self.fleet["targets"][name]["data_centre"]
        ingress = Ingress(centre, 100_000, random.Random(self.rng.random()))
        ingress.explain = False
        ingress.adopt(0.0, 1, self.fleet, tracked(self.fleet, name, centre), homes(self.fleet))
        return ingress

    def prepare(self) -> None:
        """Connect everyone, and set what will happen."""
        late = {self.names[at]: when for at, when in self.case.joining}
        for link, (name, ingress) in enumerate(self.ingresses.items()):
            for target in self.names:
                run = partial(self.link, ingress, name, target, link)
                self.after(late.get(target, 0.0), run)
        for at, slow in self.case.slow:
            self.upstreams[self.names[at]].slowdowns.append(slow)
        if self.case.noisy:
            self.make_noise()
        for at, begin, end in self.case.failing:
            self.upstreams[self.names[at]].failing.append((begin, end))
        for at, when in self.case.leaving:
            name = self.names[at]
            self.after(when, partial(self.leave, name))
        if self.case.lost_centre_at >= 0:
            self.after(self.case.lost_centre_at, self.lose_centre)
        for name in self.names:
            self.every(0.05, partial(self.tick_owner, name))

    def link(self, ingress: Ingress, name: str, target: str, number: int) -> None:
        """Connect an ingress to an owner."""
        hello = {"name": name, "incarnation": name, "epoch": 1, "schema": SCHEMA_VERSION}
        self.carry_owner(target, self.owners[target].hello(self.env.now, number + 1, hello))  # type: ignore[arg-type]
        self.carry_ingress(name, ingress.link_up(self.env.now, target, "life"))

    def make_noise(self) -> None:
        """Let a neighbour take 80% of one upstream after another, for 20 to 500 ms."""
        at = 0.2
        while at < self.case.length_s:
            length = self.rng.uniform(0.02, 0.5)
            name = self.rng.choice(self.names)
            self.upstreams[name].slowdowns.append(Slowdown(at, at + length, 5.0))
            at += length + self.rng.uniform(0.0, 0.1)

    def leave(self, name: str) -> None:
        """Let an upstream leave."""
        self.carry_owner(name, self.owners[name].set_leaving("drain"))

    def tick_owner(self, name: str) -> None:
        """Give an owner the time."""
        self.carry_owner(name, self.owners[name].tick(self.env.now))

    def lose_centre(self) -> None:
        """Cut everything in the first data centre off."""
        for name in self.names:
            if self.fleet["targets"][name]["data_centre"] == "c0":
                self.down.add(name)
        for name, ingress in self.ingresses.items():
            if name in self.down:
                continue
            for target in self.down:
                self.carry_ingress(name, ingress.link_lost(self.env.now, target))

    # Time

    def after(self, delay: float, run: Callable[[], Any]) -> None:
        """Run something later."""
        self.env.timeout(delay).callbacks.append(lambda event: run())

    def every(self, period: float, run: Callable[[], Any]) -> None:
        """Run something again and again."""

        def again() -> None:
            run()
            self.after(period, again)

        self.after(period, again)

    def run(self) -> list[Seen]:
        """Run to the end; return what callers saw."""
        self.after(self.gap(), self.arrive)
        self.env.run(until=self.case.length_s + 0.6)
        return self.seen

    # Callers

    def gap(self) -> float:
        """Return the time until the next call, seconds."""
        deployment = self.deployment
        rate = self.case.load * deployment.targets * deployment.slots / deployment.service_s
        for begin, end, factor in self.case.bursts:
            if begin <= self.env.now < end:
                rate *= factor
        return self.rng.expovariate(rate)

    def arrive(self) -> None:
        """A call enters somewhere."""
        if self.env.now >= self.case.length_s:
            return
        self.after(self.gap(), self.arrive)
        open_names = [name for name in self.names if name not in self.down]
        name = open_names[0] if self.case.one_ingress else self.rng.choice(open_names)
        urgent = self.rng.random() < self.deployment.urgent_share
        self.next_call += 1
        self.calls[(name, self.next_call)] = (self.env.now, urgent)
        trace = f"00-{self.next_call:032x}-{self.next_call:016x}-00"
        req = CallerRequest("GET", "/s/x", [], b"", 0.0, urgent, "", 0, 0, False, trace)
        ingress = self.ingresses[name]
        self.carry_ingress(name, ingress.arrive(self.env.now, self.next_call, req))

    def ended(self, name: str, call_id: int, verdict: Verdict, record: Record) -> None:
        """A caller has its final answer."""
        began, urgent = self.calls.pop((name, call_id))
        match verdict:
            case Answered(response):
                told, failed = "answered", response.status >= 500
            case NotRun():
                told, failed = "not-run", False
            case _:
                told, failed = "may-have-run", False
        targets = tuple(attempt.target for attempt in record.attempts)
        self.seen.append(Seen(began, self.env.now - began, urgent, told, failed, targets))

    # Actions of the real objects

    def carry_ingress(self, name: str, actions: list[Any]) -> None:
        """Carry out what an ingress wants."""
        for action in actions:
            match action:
                case SendTo(target, frame):
                    self.to_owner(name, target, frame.kind, frame.body)
                case Reply(call_id, verdict, record):
                    self.ended(name, call_id, verdict, record)
                case Connect():
                    pass
        self.set_tick(name)

    def set_tick(self, name: str) -> None:
        """Wake an ingress when its next time is up."""
        at = self.ingresses[name].next_at()
        if at is None or self.wait_tick.get(name, float("inf")) <= at:
            return
        self.wait_tick[name] = at
        self.after(max(0.0, at - self.env.now), lambda: self.tick(name))

    def tick(self, name: str) -> None:
        """Give an ingress the time."""
        self.wait_tick.pop(name, None)
        self.carry_ingress(name, self.ingresses[name].tick(self.env.now))

    def distance(self, name: str, target: str) -> float:
        """Return the time of one way between two daemons."""
        if name == target:
            return LOCAL_S
        centres = [self.fleet["targets"][each]["data_centre"] for each in (name, target)]
        return NEAR_S if centres[0] == centres[1] else FAR_S

    def to_owner(self, name: str, target: str, kind: str, body: Any) -> None:
        """Carry a frame to an owner."""
        if target in self.down or name in self.down:
            return
        link = self.names.index(name) + 1
        owner = self.owners[target]

        if kind == "Dispatch":
            self.flying[target] = self.flying.get(target, 0) + 1

        def deliver() -> None:
            now = self.env.now
            if kind == "Dispatch":
                self.flying[target] -= 1
            if target in self.down:
                return
            if kind == "Dispatch":
                self.carry_owner(target, owner.dispatch(now, 0, link, body))
            elif kind == "Withdraw":
                self.carry_owner(target, owner.withdraw(now, link, body))

        self.after(self.distance(name, target), deliver)

    def carry_owner(self, target: str, actions: list[Any]) -> None:
        """Carry out what an owner wants."""
        for action in actions:
            match action:
                case StartCall(ticket):
                    self.start(target, ticket)
                case OwnerSendTo(link, frame):
                    self.to_ingress(target, link, frame.kind, frame.body)
                case CancelCall():
                    pass

    def start(self, target: str, ticket: int) -> None:
        """The upstream runs a call."""
        upstream = self.upstreams[target]
        status = 500 if upstream.fails(self.env.now) else 200

        def done() -> None:
            owner = self.owners[target]
            whole = Complete(status, [], b"")
            self.carry_owner(target, owner.finished(self.env.now, ticket, whole))

        self.after(upstream.duration(self.env.now), done)

    def to_ingress(self, target: str, link: int, kind: str, body: Any) -> None:
        """Carry a frame to an ingress; a late report carries the load of some time ago."""
        if link < 1 or target in self.down or self.names[link - 1] in self.down:
            return
        name = self.names[link - 1]
        ingress = self.ingresses[name]
        body = self.with_misleading(target, self.with_old_load(target, body))

        def deliver() -> None:
            now = self.env.now
            if name in self.down:
                return
            match kind:
                case "Answer":
                    self.carry_ingress(name, ingress.answer(now, target, body))
                case "Refusal":
                    self.carry_ingress(name, ingress.refusal(now, target, body))
                case "Report":
                    self.reports += 1
                    ingress.report(now, target, body)

        self.after(self.distance(name, target), deliver)

    def with_old_load(self, target: str, body: Any) -> Any:
        """Return the message with the load of some time ago, if reports are late in this case."""
        if not self.case.report_delay_s:
            return body
        history = self.loads.setdefault(target, [])
        history.append((self.env.now, body["load"]))
        limit = self.env.now - self.case.report_delay_s
        while len(history) > 1 and history[1][0] <= limit:
            history.pop(0)
        return {**body, "load": history[0][1]}

    def with_misleading(self, target: str, body: Any) -> Any:
        """Return the message with a load that claims idleness, if this upstream's misleads."""
        if self.case.misleading < 0 or self.names[self.case.misleading] != target:
            return body
        return {**body, "load": {**body["load"], "busy": 0, "queued": 0, "errors": 0.0}}

    def on_the_way(self, target: str) -> int:
        """Return the calls that were sent to an owner and have not reached it."""
        return self.flying.get(target, 0)
