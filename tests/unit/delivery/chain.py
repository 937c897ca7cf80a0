"""Simulates a chain of services on simpy with real Ingress and Owner objects.

The upstreams are simulated: each calls the next service. Every choice, refusal and retry is made by
the Ingress and Owner objects. Arrivals are counted at the upstreams. Times are seconds.
"""

from __future__ import annotations

import random
from functools import partial
from itertools import count, product
from typing import TYPE_CHECKING, Any, NamedTuple

import simpy

from foldhoist.admission.slots import QueueLimits
from foldhoist.config.fleet import parse_fleet
from foldhoist.delivery.call import CallerRequest, Reply
from foldhoist.delivery.call import SendTo as IngressSendTo
from foldhoist.delivery.codec import SCHEMA_VERSION
from foldhoist.delivery.dispatch import Complete, Result, SendTo, Shed, StartCall
from foldhoist.delivery.ingress import Ingress
from foldhoist.delivery.owner import Owner
from foldhoist.delivery.services import RetrySlack
from foldhoist.delivery.verdict import Answered
from foldhoist.membership.view import homes, tracked
from tests.unit.allowance import Allowance

if TYPE_CHECKING:
    from collections.abc import Callable

    from foldhoist.schema.messages import Dispatch, Hello

ALLOWED = Allowance()
"""Allowed repeats; each service of the chain may retry half of that share of its calls."""
WORK_S = 0.02
"""Time of a call at an upstream without the calls that it makes, seconds."""
ONE_WAY_S = 0.0003
"""Latency of a frame between two daemons, seconds."""
OWNER_TICK_S = 0.1
"""Time between two ticks of an owner, seconds."""
SLOTS = 200
"""Slots of each upstream; high enough that no call waits for one."""


class Deployment(NamedTuple):
    """The shape of a chain; for each call an upstream calls the next service `calls` times."""

    depth: int = 3
    hosts: int = 4
    calls: int = 1
    per_s: float = 60.0
    unsafe_share: float = 0.0


class Arrivals:
    """Calls that the upstreams of one service got; `requests` and `repeats` are sorted times."""

    def __init__(self) -> None:
        self.seen: set[str] = set()
        self.requests: list[float] = []
        self.repeats: list[float] = []

    @property
    def most_over(self) -> float:
        """Return by how many the repeats of the worst window exceed its allowance."""
        return ALLOWED.most_over(self.repeats, self.requests)


class Chain:
    """A running chain: callers call the first service, and `last` gives the results of the last."""

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
        self._callbacks: dict[tuple[str, int], Callable[[bool], None]] = {}
        self._next_call = 0
        self._ticks: dict[str, float] = {}
        self._numbers = count(1)
        self._links: dict[tuple[str, str], int] = {}
        self._ingress_of_link: dict[int, str] = {}
        self._incarnations = dict.fromkeys(self.names, 1)
        self.owners = {name: self._owner(name) for name in self.names}
        self.ingresses = {name: self._ingress(name) for name in self.names}
        for name, target in product(self.names, self.names):
            self._link(name, target)

    def run(self, length_s: float) -> None:
        """Let callers call for this long, then run until the calls have ended."""
        self._until = length_s
        self.after(OWNER_TICK_S, self._tick_owners)
        self.after(0.0, self._send_from_caller)
        self.env.run(until=length_s + 2.0)

    def cut(self, name: str, target: str, for_s: float) -> None:
        """Drop the connection of an ingress to an owner with the frames under way."""
        number = self._links.pop((name, target), None)
        if number is None:
            return
        self.owners[target].link_lost(self.env.now, number)
        self._apply_ingress(name, self.ingresses[name].link_lost(self.env.now, target))
        self.after(for_s, partial(self._link, name, target))

    def restart(self, name: str, for_s: float) -> None:
        """Restart a daemon; the results of its upstream's calls are lost."""
        self._incarnations[name] += 1
        for each, target in [link for link in self._links if name in link]:
            if target == name:
                self.ingresses[each].link_lost(self.env.now, target)
                self._links.pop((each, target))
                self.after(for_s, partial(self._link, each, target))
                continue
            self.cut(each, target, for_s)
        self.owners[name] = self._owner(name)
        self.ingresses[name] = self._ingress(name)
        self._ticks.pop(name, None)
        for owner, call_id in [key for key in self._callbacks if key[0] == name]:
            self._callbacks.pop((owner, call_id))(False)

    def reconfigure(self) -> None:
        """Let every daemon adopt the same configuration with the next generation."""
        for name, ingress in self.ingresses.items():
            known = tracked(self._fleet, name, "a")
            number = ingress.generation + 1
            actions = ingress.adopt(
                self.env.now, number, self._fleet, known, homes(self._fleet), len(self.names)
            )
            self._apply_ingress(name, actions)

    def _link(self, name: str, target: str) -> None:
        if (name, target) in self._links:
            return
        number = next(self._numbers)
        self._links[(name, target)] = number
        self._ingress_of_link[number] = name
        hello: Hello = {
            "name": name,
            "incarnation": f"{name} {self._incarnations[name]}",
            "epoch": number,
            "schema": SCHEMA_VERSION,
        }
        self._apply_owner(target, self.owners[target].hello(self.env.now, number, hello))
        incarnation = f"{target} {self._incarnations[target]}"
        self._apply_ingress(name, self.ingresses[name].link_up(self.env.now, target, incarnation))

    def _tick_owners(self) -> None:
        for name, owner in self.owners.items():
            self._apply_owner(name, owner.tick(self.env.now))
        if self.env.now < self._until + 1.0:
            self.after(OWNER_TICK_S, self._tick_owners)

    def _owner(self, name: str) -> Owner:
        service = self._fleet["targets"][name]["service"]
        return Owner(name, service, QueueLimits(SLOTS, SLOTS, 0, 8), 600.0)

    def _ingress(self, name: str) -> Ingress:
        slack = RetrySlack(ALLOWED.slack, ALLOWED.window_s)
        ingress = Ingress("a", 100_000, random.Random(self._rng.random()), slack)
        ingress.explain = False
        known = tracked(self._fleet, name, "a")
        ingress.adopt(self.env.now, 1, self._fleet, known, homes(self._fleet), len(self.names))
        return ingress

    def _send_from_caller(self) -> None:
        if self.env.now >= self._until:
            return
        self.after(self._rng.expovariate(self.deployment.per_s), self._send_from_caller)
        unsafe = self._rng.random() < self.deployment.unsafe_share
        method = "POST" if unsafe else "GET"
        self._call(self._rng.choice(self.names), "s0", False, lambda good: None, method)

    def _call(
        self,
        name: str,
        service: str,
        repeat: bool,
        on_end: Callable[[bool], None],
        method: str = "GET",
    ) -> None:
        """Send a call at a host; `repeat` says that the run that makes it is a repeat."""
        self._next_call += 1
        call = f"{self._next_call:016x}"
        self._inherited[call] = repeat
        if not repeat:
            self.arrivals[service].requests.append(self.env.now)
        self._callbacks[(name, self._next_call)] = on_end
        trace = f"00-{call:0>32}-{call}-00"
        req = CallerRequest(method, f"/{service}/x", [], b"", 0.0, False, "", 0, 0, repeat, trace)
        req = req._replace(name=call)
        ingress = self.ingresses[name]
        self._apply_ingress(name, ingress.arrive(self.env.now, self._next_call, req))

    def _run(self, name: str, ticket: int, req: Dispatch) -> None:
        """Run a call at the upstream of a host."""
        owner = self.owners[name]
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
            self.after(wait_s, partial(self._finish, owner, ticket, result))
            return
        self.after(WORK_S, partial(self._call_on, owner, ticket, f"s{at + 1}", repeat))

    def _call_on(self, owner: Owner, ticket: int, service: str, repeat: bool) -> None:
        left = self.deployment.calls
        good = True

        def ended(each: bool) -> None:
            nonlocal left, good
            left -= 1
            good = good and each
            if not left:
                self._finish(owner, ticket, Complete(200 if good else 500, [], b""))

        for _ in range(self.deployment.calls):
            self._call(owner.name, service, repeat, ended)

    def _finish(self, owner: Owner, ticket: int, result: Result) -> None:
        if self.owners[owner.name] is owner:
            self._apply_owner(owner.name, owner.finished(self.env.now, ticket, result))

    def _apply_ingress(self, name: str, actions: list[Any]) -> None:
        for action in actions:
            match action:
                case IngressSendTo(target, frame) if (name, target) in self._links:
                    number = self._links[(name, target)]
                    self.after(ONE_WAY_S, partial(self._to_owner, target, number, frame))
                case Reply(call_id, verdict, _):
                    good = isinstance(verdict, Answered) and verdict.response.status == 200
                    self._callbacks.pop((name, call_id), _ignore_end)(good)
        self._set_tick(name)

    def _apply_owner(self, target: str, actions: list[Any]) -> None:
        for action in actions:
            match action:
                case StartCall(ticket, req):
                    self._run(target, ticket, req)
                case SendTo(link, frame) if link > 0:
                    self.after(ONE_WAY_S, partial(self._to_ingress, target, link, frame))

    def _to_owner(self, target: str, link: int, frame: Any) -> None:
        """Deliver a frame, unless its connection was lost meanwhile."""
        owner, now = self.owners[target], self.env.now
        if self._links.get((self._ingress_of_link[link], target)) != link:
            return
        match frame.kind:
            case "Dispatch":
                self._apply_owner(target, owner.dispatch(now, 0, link, frame.body))
            case "Withdraw":
                self._apply_owner(target, owner.withdraw(now, link, frame.body))
            case "FateAsk":
                self._apply_owner(target, owner.fate(now, link, frame.body))

    def _to_ingress(self, target: str, link: int, frame: Any) -> None:
        name, now = self._ingress_of_link[link], self.env.now
        ingress = self.ingresses[name]
        if self._links.get((name, target)) != link:
            return
        match frame.kind:
            case "Answer":
                self._apply_ingress(name, ingress.answer(now, target, frame.body))
            case "Refusal":
                self._apply_ingress(name, ingress.refusal(now, target, frame.body))

    def _set_tick(self, name: str) -> None:
        at = self.ingresses[name].next_at()
        if at is None or self._ticks.get(name, float("inf")) <= at:
            return
        self._ticks[name] = at
        self.after(max(0.0, at - self.env.now), partial(self._tick, name))

    def _tick(self, name: str) -> None:
        self._ticks.pop(name, None)
        self._apply_ingress(name, self.ingresses[name].tick(self.env.now))

    def after(self, delay: float, run: Callable[[], Any]) -> None:
        """Call `run` after `delay` seconds."""
        self.env.timeout(delay).callbacks.append(lambda event: run())


def _ignore_end(good: bool) -> None:
    """Callback of a call whose daemon was restarted meanwhile."""


def _configuration(deployment: Deployment) -> str:
    parts = ["[fleet]\nname = chain\ndata_centres = a\n"]
    for at in range(deployment.depth):
        parts.append(
            f"[service s{at}]\nprefix = /s{at}/\nretry_share = 0.1\nattempts = 3\n"
            f"[route r{at}]\nservice = s{at}\nprefix = /s{at}/\nmethods = GET\nrepeatable = yes\n"
            f"[route u{at}]\nservice = s{at}\nprefix = /s{at}/\nmethods = POST\nrepeatable = no\n"
        )
        for host in range(deployment.hosts):
            port = 10000 + 100 * at + 3 * host
            parts.append(
                f"[target s{at}-{host}]\nservice = s{at}\ndata_centre = a\nslots = {SLOTS}\n"
                f"frames = 127.0.0.1:{port}\ncontrol = 127.0.0.1:{port + 1}\n"
                f"operators = 127.0.0.1:{port + 2}\n"
            )
    return "\n".join(parts)
