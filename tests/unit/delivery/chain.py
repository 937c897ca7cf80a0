"""A chain of services on simpy: the real ingress and owner objects, and upstreams that call on.

Nothing here decides: every choice, refusal and retry is made by the objects that run in a daemon.
Arrivals are counted at the upstreams, from what they saw alone. Times are seconds.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from functools import partial
from typing import TYPE_CHECKING, Any, NamedTuple

import simpy

from foldhoist.admission.slots import Shape
from foldhoist.config.fleet import parse_fleet
from foldhoist.delivery.call import CallerRequest, Reply
from foldhoist.delivery.call import SendTo as IngressSendTo
from foldhoist.delivery.codec import SCHEMA_VERSION
from foldhoist.delivery.dispatch import Result, SendTo, Shed, StartCall, Whole
from foldhoist.delivery.ingress import Ingress
from foldhoist.delivery.owner import Owner
from foldhoist.delivery.services import RetrySlack
from foldhoist.delivery.verdict import Answered
from foldhoist.membership.view import homes, tracked

if TYPE_CHECKING:
    from collections.abc import Callable

    from foldhoist.schema.messages import Dispatch, Hello

WORK_S = 0.02
"""What an upstream takes for a call, beside the calls that it makes."""
ONE_WAY_S = 0.0003
"""One way between two daemons."""
SLOTS = 200
"""Slots of each upstream: none is ever short of them."""


class Deployment(NamedTuple):
    """A chain: upstreams of each service call the next one, `calls` times for a call."""

    depth: int = 3
    hosts: int = 4
    calls: int = 1
    per_s: float = 60.0
    slack: float = 58.0
    window_s: float = 10.0


class Arrivals:
    """What the upstreams of one service saw, and what was asked of it; moments in order."""

    def __init__(self) -> None:
        self.seen: set[str] = set()
        self.asked: list[float] = []
        self.repeats: list[float] = []

    def most_over(self, ratio: float, deployment: Deployment) -> float:
        """Return by how many the repeats of the worst window exceed what is allowed in it.

        Allowed is a share of the requests of that window, of the one before it, or of the one half
        a window before it, whichever holds most, and the slack.
        """
        window = deployment.window_s
        worst = -deployment.slack
        for begin in self.repeats:
            repeats = _between(self.repeats, begin, window)
            starts = (begin, begin - window / 2, begin - window)
            asked = max(_between(self.asked, start, window) for start in starts)
            worst = max(worst, repeats - ratio * asked - deployment.slack)
        return worst


class Chain:
    """Callers call the first service; the last one does what `last` says."""

    def __init__(
        self, deployment: Deployment, last: Callable[[float, random.Random], Result], seed: int
    ) -> None:
        self.env = simpy.Environment()
        self.deployment = deployment
        self._last = last
        self._rng = random.Random(seed)
        self._fleet, faults = parse_fleet(_configuration(deployment), "chain")
        assert not faults, faults
        self.names = list(self._fleet["targets"])
        self.arrivals = {service: Arrivals() for service in self._fleet["services"]}
        self._inherited: dict[str, bool] = {}
        self._then: dict[tuple[str, int], Callable[[bool], None]] = {}
        self._next_call = 0
        self._ticks: dict[str, float] = {}
        self.owners = {name: self._owner(name) for name in self.names}
        self.ingresses = {name: self._ingress(name) for name in self.names}
        self._link_all()

    def run(self, length_s: float) -> None:
        """Let callers call for this long, and wait until all has ended."""
        self._until = length_s
        self._after(0.0, self._arrive)
        self.env.run(until=length_s + 2.0)

    def _link_all(self) -> None:
        for link, (name, ingress) in enumerate(self.ingresses.items()):
            for target, owner in self.owners.items():
                hello: Hello = {
                    "name": name,
                    "incarnation": name,
                    "epoch": 1,
                    "schema": SCHEMA_VERSION,
                }
                self._carry_owner(target, owner.hello(self.env.now, link + 1, hello))
                self._carry_ingress(name, ingress.link_up(self.env.now, target, "life"))

    # Building

    def _owner(self, name: str) -> Owner:
        service = self._fleet["targets"][name]["service"]
        return Owner(name, service, Shape(SLOTS, SLOTS, 0, 8), 600.0)

    def _ingress(self, name: str) -> Ingress:
        slack = RetrySlack(self.deployment.slack, self.deployment.window_s)
        ingress = Ingress("a", 100_000, random.Random(self._rng.random()), slack)
        ingress.explain = False
        known = tracked(self._fleet, name, "a")
        ingress.adopt(self.env.now, 1, self._fleet, known, homes(self._fleet), len(self.names))
        return ingress

    # Callers and upstreams

    def _arrive(self) -> None:
        if self.env.now >= self._until:
            return
        self._after(self._rng.expovariate(self.deployment.per_s), self._arrive)
        self._call(self._rng.choice(self.names), "s0", False, lambda good: None)

    def _call(self, name: str, service: str, repeat: bool, then: Callable[[bool], None]) -> None:
        """Send a call at a host; `repeat` tells that it is a part of a run that is a repeat."""
        self._next_call += 1
        call = f"{self._next_call:016x}"
        self._inherited[call] = repeat
        if not repeat:
            self.arrivals[service].asked.append(self.env.now)
        self._then[(name, self._next_call)] = then
        trace = f"00-{call:0>32}-{call}-00"
        req = CallerRequest("GET", f"/{service}/x", [], b"", 0.0, False, "", 0, 0, repeat, trace)
        req = req._replace(name=call)
        ingress = self.ingresses[name]
        self._carry_ingress(name, ingress.arrive(self.env.now, self._next_call, req))

    def _run(self, name: str, ticket: int, req: Dispatch) -> None:
        """Let the upstream of a host work on a call."""
        service = self._fleet["targets"][name]["service"]
        seen = self.arrivals[service]
        call = req["name"]
        repeat = self._inherited[call] or call in seen.seen
        seen.seen.add(call)
        if repeat:
            seen.repeats.append(self.env.now)
        at = int(service[1:])
        if at + 1 == self.deployment.depth:
            result = self._last(self.env.now, self._rng)
            wait_s = 0.0 if isinstance(result, Shed) else WORK_S
            self._after(wait_s, partial(self._finish, name, ticket, result))
            return
        self._after(WORK_S, partial(self._call_on, name, ticket, f"s{at + 1}", repeat))

    def _call_on(self, name: str, ticket: int, service: str, repeat: bool) -> None:
        left = self.deployment.calls
        good = True

        def ended(each: bool) -> None:
            nonlocal left, good
            left -= 1
            good = good and each
            if not left:
                self._finish(name, ticket, Whole(200 if good else 500, [], b""))

        for _ in range(self.deployment.calls):
            self._call(name, service, repeat, ended)

    def _finish(self, name: str, ticket: int, result: Result) -> None:
        self._carry_owner(name, self.owners[name].finished(self.env.now, ticket, result))

    # Actions of the real objects

    def _carry_ingress(self, name: str, actions: list[Any]) -> None:
        for action in actions:
            match action:
                case IngressSendTo(target, frame):
                    self._after(ONE_WAY_S, partial(self._to_owner, name, target, frame))
                case Reply(call_id, verdict, _):
                    good = isinstance(verdict, Answered) and verdict.response.status == 200
                    self._then.pop((name, call_id))(good)
        self._set_tick(name)

    def _carry_owner(self, target: str, actions: list[Any]) -> None:
        for action in actions:
            match action:
                case StartCall(ticket, req):
                    self._run(target, ticket, req)
                case SendTo(link, frame) if link > 0:
                    name = self.names[link - 1]
                    self._after(ONE_WAY_S, partial(self._to_ingress, name, target, frame))

    def _to_owner(self, name: str, target: str, frame: Any) -> None:
        owner, link, now = self.owners[target], self.names.index(name) + 1, self.env.now
        match frame.kind:
            case "Dispatch":
                self._carry_owner(target, owner.dispatch(now, 0, link, frame.body))
            case "Withdraw":
                self._carry_owner(target, owner.withdraw(now, link, frame.body))

    def _to_ingress(self, name: str, target: str, frame: Any) -> None:
        ingress, now = self.ingresses[name], self.env.now
        match frame.kind:
            case "Answer":
                self._carry_ingress(name, ingress.answer(now, target, frame.body))
            case "Refusal":
                self._carry_ingress(name, ingress.refusal(now, target, frame.body))

    def _set_tick(self, name: str) -> None:
        at = self.ingresses[name].next_at()
        if at is None or self._ticks.get(name, float("inf")) <= at:
            return
        self._ticks[name] = at
        self._after(max(0.0, at - self.env.now), partial(self._tick, name))

    def _tick(self, name: str) -> None:
        self._ticks.pop(name, None)
        self._carry_ingress(name, self.ingresses[name].tick(self.env.now))

    def _after(self, delay: float, run: Callable[[], Any]) -> None:
        self.env.timeout(delay).callbacks.append(lambda event: run())


def _between(moments: list[float], begin: float, length: float) -> int:
    return bisect_left(moments, begin + length) - bisect_left(moments, begin)


def _configuration(deployment: Deployment) -> str:
    parts = ["[fleet]\nname = chain\ndata_centres = a\n"]
    for at in range(deployment.depth):
        parts.append(
            f"[service s{at}]\nprefix = /s{at}/\nretry_share = 0.1\nattempts = 3\n"
            f"[route r{at}]\nservice = s{at}\nprefix = /s{at}/\nrepeatable = yes\n"
        )
        for host in range(deployment.hosts):
            port = 10000 + 100 * at + 3 * host
            parts.append(
                f"[target s{at}-{host}]\nservice = s{at}\ndata_centre = a\nslots = {SLOTS}\n"
                f"frames = 127.0.0.1:{port}\ncontrol = 127.0.0.1:{port + 1}\n"
                f"operators = 127.0.0.1:{port + 2}\n"
            )
    return "\n".join(parts)
