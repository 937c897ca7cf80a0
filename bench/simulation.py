"""A discrete-event simulation on simpy: real ingresses and owners, fake network and upstreams.

Every choice, refusal and retry is made by the objects that run in a daemon. Times are in seconds.
"""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING, Any

import simpy

from bench.deployments import CallOutcome, Case, Deployment, Slowdown, configuration
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

SAME_DATA_CENTRE_S, OTHER_DATA_CENTRE_S = 0.00025, 0.0005
"""One-way delay between daemons of the same data centre, and of different ones."""
SAME_DAEMON_S = 0.00002
"""One-way delay between the ingress and the owner of one daemon."""


class Simulation:
    """One simulated run of a case with one policy and seed."""

    def __init__(
        self, deployment: Deployment, case: Case, policy: str, seed: int, hedge_ms: int = 0
    ) -> None:
        self.env = simpy.Environment()
        self.deployment = deployment
        self.case = case
        self.rng = random.Random(seed)
        self.outcomes: list[CallOutcome] = []
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
        self.next_ticks: dict[str, float] = {}
        self.loads: dict[str, list[tuple[float, Any]]] = {}
        self.in_transit: dict[str, int] = {}
        self.prepare()

    def make_owner(self, name: str) -> Owner:
        """Return the owner of a target."""
        service = self.fleet["services"]["s"]
        limits = QueueLimits(
            self.deployment.slots, service["queue"], service["urgent_slots"], service["urgent_run"]
        )
        return Owner(name, "s", limits, 600.0)

    def make_ingress(self, name: str) -> Ingress:
        """Return the ingress of a daemon, with the configuration adopted."""
        centre = self.fleet["targets"][name]["data_centre"]
        ingress = Ingress(centre, 100_000, random.Random(self.rng.random()))
        ingress.explain = False
        ingress.adopt(0.0, 1, self.fleet, tracked(self.fleet, name, centre), homes(self.fleet))
        return ingress

    def prepare(self) -> None:
        """Connect all ingresses to all owners and schedule the events of the case."""
        late = {self.names[at]: when for at, when in self.case.joining}
        for link, (name, ingress) in enumerate(self.ingresses.items()):
            for target in self.names:
                run = partial(self.link, ingress, name, target, link)
                self.schedule(late.get(target, 0.0), run)
        for at, slow in self.case.slow:
            self.upstreams[self.names[at]].slowdowns.append(slow)
        if self.case.noisy:
            self.add_noisy_neighbours()
        for at, begin, end in self.case.failing:
            self.upstreams[self.names[at]].failing.append((begin, end))
        for at, when in self.case.leaving:
            name = self.names[at]
            self.schedule(when, partial(self.leave, name))
        if self.case.lost_centre_at >= 0:
            self.schedule(self.case.lost_centre_at, self.lose_data_centre)
        for name in self.names:
            self.schedule_every(0.05, partial(self.tick_owner, name))

    def link(self, ingress: Ingress, name: str, target: str, number: int) -> None:
        """Connect an ingress to an owner."""
        hello = {"name": name, "incarnation": name, "epoch": 1, "schema": SCHEMA_VERSION}
        self.apply_owner_actions(target, self.owners[target].hello(self.env.now, number + 1, hello))  # type: ignore[arg-type]
        self.apply_ingress_actions(name, ingress.link_up(self.env.now, target, "life"))

    def add_noisy_neighbours(self) -> None:
        """Slow one random upstream after another down by a factor of 5, for 20 to 500 ms."""
        at = 0.2
        while at < self.case.length_s:
            length = self.rng.uniform(0.02, 0.5)
            name = self.rng.choice(self.names)
            self.upstreams[name].slowdowns.append(Slowdown(at, at + length, 5.0))
            at += length + self.rng.uniform(0.0, 0.1)

    def leave(self, name: str) -> None:
        """Set an upstream leaving."""
        self.apply_owner_actions(name, self.owners[name].set_leaving("drain"))

    def tick_owner(self, name: str) -> None:
        """Advance the timers of an owner."""
        self.apply_owner_actions(name, self.owners[name].tick(self.env.now))

    def lose_data_centre(self) -> None:
        """Disconnect every daemon of the first data centre."""
        for name in self.names:
            if self.fleet["targets"][name]["data_centre"] == "c0":
                self.down.add(name)
        for name, ingress in self.ingresses.items():
            if name in self.down:
                continue
            for target in self.down:
                self.apply_ingress_actions(name, ingress.link_lost(self.env.now, target))

    def schedule(self, delay: float, run: Callable[[], Any]) -> None:
        """Call a function after a delay."""
        self.env.timeout(delay).callbacks.append(lambda event: run())

    def schedule_every(self, period: float, run: Callable[[], Any]) -> None:
        """Call a function periodically, first after one period."""

        def run_and_reschedule() -> None:
            run()
            self.schedule(period, run_and_reschedule)

        self.schedule(period, run_and_reschedule)

    def run(self) -> list[CallOutcome]:
        """Run the case and 0.6 s more for its last calls; returns the outcomes."""
        self.schedule(self.interarrival_s(), self.arrive)
        self.env.run(until=self.case.length_s + 0.6)
        return self.outcomes

    def interarrival_s(self) -> float:
        """Return the time until the next call, seconds."""
        deployment = self.deployment
        rate = self.case.load * deployment.targets * deployment.slots / deployment.service_s
        for begin, end, factor in self.case.bursts:
            if begin <= self.env.now < end:
                rate *= factor
        return self.rng.expovariate(rate)

    def arrive(self) -> None:
        """Send a call to an ingress and schedule the next arrival, until the case ends."""
        if self.env.now >= self.case.length_s:
            return
        self.schedule(self.interarrival_s(), self.arrive)
        open_names = [name for name in self.names if name not in self.down]
        name = open_names[0] if self.case.one_ingress else self.rng.choice(open_names)
        urgent = self.rng.random() < self.deployment.urgent_share
        self.next_call += 1
        self.calls[(name, self.next_call)] = (self.env.now, urgent)
        trace = f"00-{self.next_call:032x}-{self.next_call:016x}-00"
        req = CallerRequest("GET", "/s/x", [], b"", 0.0, urgent, "", 0, 0, False, trace)
        ingress = self.ingresses[name]
        self.apply_ingress_actions(name, ingress.arrive(self.env.now, self.next_call, req))

    def record_outcome(self, name: str, call_id: int, verdict: Verdict, record: Record) -> None:
        """Record the outcome of a call."""
        began, urgent = self.calls.pop((name, call_id))
        match verdict:
            case Answered(response):
                result, failed = "answered", response.status >= 500
            case NotRun():
                result, failed = "not-run", False
            case _:
                result, failed = "may-have-run", False
        targets = tuple(attempt.target for attempt in record.attempts)
        self.outcomes.append(
            CallOutcome(began, self.env.now - began, urgent, result, failed, targets)
        )

    def apply_ingress_actions(self, name: str, actions: list[Any]) -> None:
        """Execute the actions of an ingress."""
        for action in actions:
            match action:
                case SendTo(target, frame):
                    self.send_to_owner(name, target, frame.kind, frame.body)
                case Reply(call_id, verdict, record):
                    self.record_outcome(name, call_id, verdict, record)
                case Connect():
                    pass
        self.set_tick(name)

    def set_tick(self, name: str) -> None:
        """Schedule the next tick of an ingress, unless one is due by then."""
        at = self.ingresses[name].next_at()
        if at is None or self.next_ticks.get(name, float("inf")) <= at:
            return
        self.next_ticks[name] = at
        self.schedule(max(0.0, at - self.env.now), lambda: self.tick(name))

    def tick(self, name: str) -> None:
        """Advance the timers of an ingress."""
        self.next_ticks.pop(name, None)
        self.apply_ingress_actions(name, self.ingresses[name].tick(self.env.now))

    def delay_s(self, name: str, target: str) -> float:
        """Return the one-way delay between two daemons."""
        if name == target:
            return SAME_DAEMON_S
        centres = [self.fleet["targets"][each]["data_centre"] for each in (name, target)]
        return SAME_DATA_CENTRE_S if centres[0] == centres[1] else OTHER_DATA_CENTRE_S

    def send_to_owner(self, name: str, target: str, kind: str, body: Any) -> None:
        """Deliver a frame to an owner after the network delay."""
        if target in self.down or name in self.down:
            return
        link = self.names.index(name) + 1
        owner = self.owners[target]

        if kind == "Dispatch":
            self.in_transit[target] = self.in_transit.get(target, 0) + 1

        def deliver() -> None:
            now = self.env.now
            if kind == "Dispatch":
                self.in_transit[target] -= 1
            if target in self.down:
                return
            if kind == "Dispatch":
                self.apply_owner_actions(target, owner.dispatch(now, 0, link, body))
            elif kind == "Withdraw":
                self.apply_owner_actions(target, owner.withdraw(now, link, body))

        self.schedule(self.delay_s(name, target), deliver)

    def apply_owner_actions(self, target: str, actions: list[Any]) -> None:
        """Execute the actions of an owner."""
        for action in actions:
            match action:
                case StartCall(ticket):
                    self.start_call(target, ticket)
                case OwnerSendTo(link, frame):
                    self.send_to_ingress(target, link, frame.kind, frame.body)
                case CancelCall():
                    pass

    def start_call(self, target: str, ticket: int) -> None:
        """Run a call at an upstream and report its end to the owner."""
        upstream = self.upstreams[target]
        status = 500 if upstream.fails(self.env.now) else 200

        def done() -> None:
            owner = self.owners[target]
            complete = Complete(status, [], b"")
            self.apply_owner_actions(target, owner.finished(self.env.now, ticket, complete))

        self.schedule(upstream.duration(self.env.now), done)

    def send_to_ingress(self, target: str, link: int, kind: str, body: Any) -> None:
        """Deliver a frame to an ingress after the network delay; the case may alter its load."""
        if link < 1 or target in self.down or self.names[link - 1] in self.down:
            return
        name = self.names[link - 1]
        ingress = self.ingresses[name]
        body = self.with_false_load(target, self.with_delayed_load(target, body))

        def deliver() -> None:
            now = self.env.now
            if name in self.down:
                return
            match kind:
                case "Answer":
                    self.apply_ingress_actions(name, ingress.answer(now, target, body))
                case "Refusal":
                    self.apply_ingress_actions(name, ingress.refusal(now, target, body))
                case "Report":
                    self.reports += 1
                    ingress.report(now, target, body)

        self.schedule(self.delay_s(name, target), deliver)

    def with_delayed_load(self, target: str, body: Any) -> Any:
        """Return the message with the load as it was `report_delay_s` ago."""
        if not self.case.report_delay_s:
            return body
        history = self.loads.setdefault(target, [])
        history.append((self.env.now, body["load"]))
        limit = self.env.now - self.case.report_delay_s
        while len(history) > 1 and history[1][0] <= limit:
            history.pop(0)
        return {**body, "load": history[0][1]}

    def with_false_load(self, target: str, body: Any) -> Any:
        """Return the message; the load of the misleading upstream is replaced by an idle one."""
        if self.case.misleading < 0 or self.names[self.case.misleading] != target:
            return body
        return {**body, "load": {**body["load"], "busy": 0, "queued": 0, "errors": 0.0}}

    def calls_in_transit(self, target: str) -> int:
        """Return the number of calls sent to an owner that have not arrived."""
        return self.in_transit.get(target, 0)
