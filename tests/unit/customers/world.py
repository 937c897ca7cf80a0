"""Hosts that keep and use one customer's quota, in simulated time, with hosts and links failing."""

from __future__ import annotations

import random
from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple

from foldhoist.customers.credit import Ask, CreditClient, Denied, Granted
from foldhoist.customers.directory import Customer, Directory
from foldhoist.customers.quota_server import Hosts, QuotaServer

if TYPE_CHECKING:
    from foldhoist.customers.credit import Step
    from foldhoist.schema.fleet import Fleet

STEP_S = 0.01
"""Time between two looks at everything, seconds."""
LATENCY_S = 0.01
"""Time that a message takes, seconds."""
NOTICED_S = 1.5
"""A connection that brings nothing through is taken for lost after this long, seconds."""
LOOK_S = 0.1
"""Time between two looks of a keeper at the hosts, seconds."""
WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20.0
NAME = "huka"


def fleet_of(rate: float, burst: float) -> Fleet:
    """Return a configuration with one customer."""
    section = {"keys": "", "rate_per_s": rate, "burst": burst, "rank": -1}
    found: Any = {"customers": {NAME: section}}
    return found  # type: ignore[no-any-return]


class Sent(NamedTuple):
    """A message on its way: when it is there, from whom, to whom, its kind and body."""

    at: float
    source: str
    target: str
    kind: str
    body: Any


class Host:
    """One life of a host's daemon."""

    def __init__(self, name: str, seed: int, now: float) -> None:
        self.name = name
        self.client = CreditClient(random.Random(f"{name} {seed}"))
        self.server = QuotaServer(name, SLACK)
        self.look_at = now
        self.frozen_until = 0.0
        self.down_until = 0.0
        self.inbox: list[Sent] = []


class World:
    """All hosts; `cut` are pairs that do not reach each other."""

    def __init__(self, hosts: int, rate: float, burst: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.names = [f"h{each}" for each in range(hosts)]
        self.directory = Directory(fleet_of(rate, burst))
        self.hosts = {name: Host(name, seed, 0.0) for name in self.names}
        self.linked: dict[tuple[str, str], float] = {}
        self.cut: set[frozenset[str]] = set()
        self.sent: list[Sent] = []
        self.runs: list[float] = []
        self.denied = 0
        self.asked = 0
        self.lives = 0
        for host in self.hosts.values():
            self.start(host)

    # Failures

    def start(self, host: Host) -> None:
        host.client.set_hosts(self.names)
        host.server.adopt(self.now, self.directory)

    def kill(self, name: str, down_s: float) -> None:
        self.lives += 1
        host = Host(name, 1000 + self.lives, self.now)
        host.down_until = self.now + down_s
        self.hosts[name] = host
        self.start(host)
        for pair in [pair for pair in self.linked if name in pair]:
            self.lose(pair)
        self.sent = [each for each in self.sent if name not in (each.source, each.target)]

    def freeze(self, name: str, for_s: float) -> None:
        self.hosts[name].frozen_until = self.now + for_s

    def split(self, group: set[str]) -> None:
        others = set(self.names) - group
        self.cut = {frozenset((one, other)) for one in group for other in others}

    def heal(self) -> None:
        self.cut = set()

    def lower(self, rate: float, burst: float) -> None:
        self.directory = Directory(fleet_of(rate, burst))
        for host in self.hosts.values():
            host.server.adopt(self.now, self.directory)
            self.carry_out(host, host.client.adopt(self.now, self.directory))

    # Time

    def play(self, until: float, calls_per_s: float) -> None:
        """Let callers send at all hosts, by lot."""
        while self.now < until:
            self.now += STEP_S
            self.keep_links()
            self.deliver()
            for host in self.hosts.values():
                if self.runs_now(host):
                    self.turn(host)
            expected = calls_per_s * STEP_S
            calls = int(expected) + (self.rng.random() < expected % 1)
            for _ in range(calls):
                self.call(self.rng.choice(self.names))

    def call(self, name: str) -> None:
        host = self.hosts[name]
        if not self.runs_now(host):
            return
        self.asked += 1
        customer = self.directory.named(NAME)
        assert isinstance(customer, Customer)
        self.carry_out(host, host.client.admit(self.now, customer, self.asked))

    def runs_now(self, host: Host) -> bool:
        return self.now >= host.down_until and self.now >= host.frozen_until

    def turn(self, host: Host) -> None:
        inbox, host.inbox = host.inbox, []
        for each in inbox:
            self.receive(host, each)
        self.carry_out(host, host.client.tick(self.now))
        if self.now >= host.look_at:
            host.look_at = self.now + LOOK_S
            connected = {one for one, other in self.linked if other == host.name}
            reached = {other for one, other in self.linked if one == host.name}
            host.server.update_hosts(self.now, Hosts(set(self.names), connected, reached))

    def keep_links(self) -> None:
        for one in self.names:
            for other in self.names:
                pair = (one, other)
                alive = all(self.now >= self.hosts[each].down_until for each in pair)
                through = alive and frozenset(pair) not in self.cut
                if through and pair not in self.linked and self.runs_now(self.hosts[one]):
                    self.linked[pair] = self.now
                    self.hosts[one].client.link_changed(self.now, other, up=True)
                elif through and pair in self.linked:
                    self.linked[pair] = self.now
                elif pair in self.linked and self.now - self.linked[pair] > NOTICED_S:
                    self.lose(pair)

    def lose(self, pair: tuple[str, str]) -> None:
        del self.linked[pair]
        one, other = pair
        self.carry_out(
            self.hosts[one], self.hosts[one].client.link_changed(self.now, other, up=False)
        )

    def deliver(self) -> None:
        due, self.sent = split_by(self.sent, self.now)
        for each in due:
            if frozenset((each.source, each.target)) not in self.cut:
                self.hosts[each.target].inbox.append(each)

    def receive(self, host: Host, each: Sent) -> None:
        if each.kind == "Credit":
            self.carry_out(host, host.client.on_credit(self.now, each.body))
            return
        credit = host.server.on_ask(self.now, each.source, each.body)
        if not each.body["elsewhere"]:
            self.send(host.name, each.source, "Credit", credit)

    def send(self, source: str, target: str, kind: str, body: Any) -> None:
        self.sent.append(Sent(self.now + LATENCY_S, source, target, kind, body))

    def carry_out(self, host: Host, steps: list[Step]) -> None:
        for step in steps:
            match step:
                case Ask(server, message):
                    self.send(host.name, server, "CreditAsk", message)
                case Granted():
                    self.runs.append(self.now)
                case Denied():
                    self.denied += 1


def split_by(sent: list[Sent], now: float) -> tuple[list[Sent], list[Sent]]:
    """Return the messages that are there, and those still on their way."""
    return [each for each in sent if each.at <= now], [each for each in sent if each.at > now]


def most_in_a_window(runs: list[float]) -> int:
    """Return the runs of the fullest window, wherever it begins."""
    most = 0
    window: deque[float] = deque()
    for at in runs:
        window.append(at)
        while window[0] <= at - WINDOW_S:
            window.popleft()
        most = max(most, len(window))
    return most


def allowed(rate: float, burst: float) -> float:
    """Return the most that may run in a window."""
    return (rate * WINDOW_S + burst) * (1 + OVERAGE) + SLACK
