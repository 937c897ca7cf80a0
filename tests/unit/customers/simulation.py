"""Simulation of hosts that serve and use one customer's quota, with failing hosts and links."""

from __future__ import annotations

import random
from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple

from foldhoist.customers.credit import CreditClient
from foldhoist.customers.directory import Customer, Directory
from foldhoist.customers.quota_server import Hosts, QuotaServer
from foldhoist.customers.steps import Ask, Denied, Granted

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foldhoist.customers.steps import Step
    from foldhoist.schema.fleet import Fleet

STEP_S = 0.01
"""Simulated time per step, seconds."""
LATENCY_S = 0.01
"""Latency of each message, seconds."""
LINK_TIMEOUT_S = 1.5
"""A connection over which nothing arrives is dropped after this long, seconds."""
HOSTS_INTERVAL_S = 0.1
"""Time between two updates of a quota server's hosts, seconds."""
WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20.0
NAME = "huka"


def fleet_of(rate: float, burst: float) -> Fleet:
    """Return a configuration with one customer."""
    section = {"keys": "", "rate_per_s": rate, "burst": burst, "rank": -1}
    found: Any = {"customers": {NAME: section}}
    return found  # type: ignore[no-any-return]


class Message(NamedTuple):
    """A message in transit; `at` is when it arrives."""

    at: float
    source: str
    target: str
    kind: str
    body: Any


class Host:
    """One incarnation of a host's daemon."""

    def __init__(self, name: str, seed: int, now: float) -> None:
        self.name = name
        self.client = CreditClient(random.Random(f"{name} {seed}"))
        self.server = QuotaServer(name, SLACK)
        self.next_update_at = now
        self.frozen_until = 0.0
        self.down_until = 0.0
        self.inbox: list[Message] = []
        self.known: frozenset[str] = frozenset()

    def learn(self, known: Iterable[str]) -> None:
        """Set the hosts that this one knows, which may differ from those that there are."""
        self.known = frozenset(known)
        self.client.set_hosts(self.known)


class Simulation:
    """All hosts; `cut` holds the pairs that cannot reach each other."""

    def __init__(
        self, hosts: int, rate: float, burst: float, seed: int, names: list[str] | None = None
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.names = names or [f"h{each}" for each in range(hosts)]
        self.directory = Directory(fleet_of(rate, burst))
        self.hosts = {name: Host(name, seed, 0.0) for name in self.names}
        self.last_received: dict[tuple[str, str], float] = {}
        self.cut: set[frozenset[str]] = set()
        self.in_transit: list[Message] = []
        self.granted_at: list[float] = []
        self.denied = 0
        self.asked = 0
        self.incarnations = 0
        for host in self.hosts.values():
            self.start(host)

    def start(self, host: Host) -> None:
        host.learn(self.names)
        host.server.adopt(self.now, self.directory)

    def restart(self, name: str, down_s: float) -> None:
        self.incarnations += 1
        host = Host(name, 1000 + self.incarnations, self.now)
        host.down_until = self.now + down_s
        self.hosts[name] = host
        self.start(host)
        for pair in [pair for pair in self.last_received if name in pair]:
            self.drop_link(pair)
        self.in_transit = [
            each for each in self.in_transit if name not in (each.source, each.target)
        ]

    def freeze(self, name: str, for_s: float) -> None:
        self.hosts[name].frozen_until = self.now + for_s

    def partition(self, group: set[str]) -> None:
        others = set(self.names) - group
        self.cut = {frozenset((one, other)) for one in group for other in others}

    def heal(self) -> None:
        self.cut = set()

    def set_quota(self, rate: float, burst: float) -> None:
        self.directory = Directory(fleet_of(rate, burst))
        for host in self.hosts.values():
            host.server.adopt(self.now, self.directory)
            self.apply_steps(host, host.client.adopt(self.now, self.directory))

    def run_until(self, until: float, calls_per_s: float) -> None:
        """Advance the time, with calls at random hosts."""
        while self.now < until:
            self.now += STEP_S
            self.update_links()
            self.deliver()
            for host in self.hosts.values():
                if self.is_running(host):
                    self.step(host)
            expected = calls_per_s * STEP_S
            calls = int(expected) + (self.rng.random() < expected % 1)
            for _ in range(calls):
                self.call(self.rng.choice(self.names))

    def call(self, name: str) -> None:
        host = self.hosts[name]
        if not self.is_running(host):
            return
        self.asked += 1
        customer = self.directory.named(NAME)
        assert isinstance(customer, Customer)
        self.apply_steps(host, host.client.admit(self.now, customer, self.asked))

    def is_running(self, host: Host) -> bool:
        return self.now >= host.down_until and self.now >= host.frozen_until

    def step(self, host: Host) -> None:
        inbox, host.inbox = host.inbox, []
        for each in inbox:
            self.receive(host, each)
        self.apply_steps(host, host.client.tick(self.now))
        if self.now >= host.next_update_at:
            host.next_update_at = self.now + HOSTS_INTERVAL_S
            connected = {one for one, other in self.last_received if other == host.name}
            host.server.update_hosts(self.now, Hosts(host.known, connected))
            self.apply_steps(host, host.client.lendings())

    def update_links(self) -> None:
        for one in self.names:
            for other in self.names:
                pair = (one, other)
                alive = all(self.now >= self.hosts[each].down_until for each in pair)
                reachable = alive and frozenset(pair) not in self.cut
                if (
                    reachable
                    and pair not in self.last_received
                    and self.is_running(self.hosts[one])
                ):
                    self.last_received[pair] = self.now
                    self.hosts[one].client.link_changed(self.now, other, up=True)
                elif reachable and pair in self.last_received:
                    self.last_received[pair] = self.now
                elif (
                    pair in self.last_received
                    and self.now - self.last_received[pair] > LINK_TIMEOUT_S
                ):
                    self.drop_link(pair)

    def drop_link(self, pair: tuple[str, str]) -> None:
        del self.last_received[pair]
        one, other = pair
        self.apply_steps(
            self.hosts[one], self.hosts[one].client.link_changed(self.now, other, up=False)
        )

    def deliver(self) -> None:
        due, self.in_transit = split_by(self.in_transit, self.now)
        for each in due:
            if frozenset((each.source, each.target)) not in self.cut:
                self.hosts[each.target].inbox.append(each)

    def receive(self, host: Host, each: Message) -> None:
        if each.kind == "Credit":
            self.apply_steps(host, host.client.on_credit(self.now, each.body))
            return
        if "servers" in each.body:
            host.server.on_lending(self.now, each.source, each.body["servers"])
            return
        credit = host.server.on_ask(self.now, each.source, each.body)
        if not each.body["elsewhere"]:
            self.send(host.name, each.source, "Credit", credit)

    def send(self, source: str, target: str, kind: str, body: Any) -> None:
        self.in_transit.append(Message(self.now + LATENCY_S, source, target, kind, body))

    def apply_steps(self, host: Host, steps: list[Step]) -> None:
        for step in steps:
            match step:
                case Ask(server, message):
                    self.send(host.name, server, "CreditAsk", message)
                case Granted():
                    self.granted_at.append(self.now)
                case Denied():
                    self.denied += 1


def split_by(in_transit: list[Message], now: float) -> tuple[list[Message], list[Message]]:
    """Return the messages that have arrived, and those in transit."""
    return [each for each in in_transit if each.at <= now], [
        each for each in in_transit if each.at > now
    ]


def max_in_window(granted_at: list[float]) -> int:
    """Return the most grants in any window."""
    most = 0
    window: deque[float] = deque()
    for at in granted_at:
        window.append(at)
        while window[0] <= at - WINDOW_S:
            window.popleft()
        most = max(most, len(window))
    return most


def allowed(rate: float, burst: float) -> float:
    """Return the most calls that a quota allows in a window."""
    return (rate * WINDOW_S + burst) * (1 + OVERAGE) + SLACK
