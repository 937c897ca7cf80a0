"""The services of the configuration in force, with what an ingress knows of each."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from foldhoist.admission.retries import RetryBudget, SlackPart
from foldhoist.config.fleet import evacuated
from foldhoist.routing.picker import Picker
from foldhoist.routing.policies import make_policy
from foldhoist.routing.split import Split

if TYPE_CHECKING:
    from collections.abc import Container, Iterable, Mapping
    from random import Random

    from foldhoist.routing.picker import Member
    from foldhoist.routing.routes import RouteMatch
    from foldhoist.schema.fleet import Fleet, Service

SLACK_CAPACITY_SHARE = 0.4
"""Share of the retries allowed beside a share of calls that all daemons together may hold.

With the default of 20 and few daemons each begins with one, so that its first call may be retried.
"""
SLACK_REFILL_SHARE = 0.1
"""Share of these that all daemons together gain in a window.

What is left of the slack is for what chance and uneven debts of daemons add along a chain: with 0.2
the last of 29 services got up to 4 arrivals too many in 10 s, counted on simulated time.
"""
ANNOUNCEMENT_TIMEOUT_S = 2.0
"""A service of which no upstream was heard for this long has none, seconds.

Upstreams announce themselves about every 1.5 s on the deployments known.
"""
MIN_DAEMONS = 8
"""A daemon that knows fewer others may not know all of them, and takes no larger part."""


@dataclass(slots=True)
class RetrySlack:
    """Further attempts that all daemons together may make in a window beside a share of calls."""

    attempts: float
    window_s: float

    def part(self, daemons: int) -> SlackPart:
        """Return the part of each of so many daemons."""
        attempts = self.attempts / max(MIN_DAEMONS, daemons)
        per_s = attempts * SLACK_REFILL_SHARE / self.window_s
        return SlackPart(attempts * SLACK_CAPACITY_SHARE, per_s, self.window_s)


class ServiceState:
    """A service of the configuration in force, with what this ingress knows of it."""

    __slots__ = ("budget", "cfg", "homes", "missing_since", "picker")

    def __init__(self, cfg: Service, picker: Picker, budget: RetryBudget) -> None:
        self.cfg = cfg
        self.picker = picker
        self.budget = budget
        self.homes: tuple[str, ...] = ()
        self.missing_since: float | None = None

    def track(self, now: float, members: list[Member]) -> None:
        """Take over the upstreams to choose from."""
        self.picker.members(members, now)
        if members:
            self.missing_since = None
        elif self.missing_since is None:
            self.missing_since = now

    def may_appear(self, now: float) -> bool:
        """Return whether an upstream can be hoped for: one is known, or was a moment ago."""
        return self.missing_since is None or now - self.missing_since < ANNOUNCEMENT_TIMEOUT_S


class Services:
    """All services by name; what is known of those that stay is kept."""

    def __init__(self, data_centre: str, rng: Random, slack: RetrySlack | None) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._slack = slack
        self._by_name: dict[str, ServiceState] = {}
        self._splits: dict[str, Split] = {}

    def adopt(self, fleet: Fleet, homes: Mapping[str, tuple[str, ...]]) -> None:
        """Take over the services of a configuration."""
        services: dict[str, ServiceState] = {}
        for name, cfg in fleet["services"].items():
            state = self._state(name, cfg)
            state.picker.evacuated = evacuated(fleet)
            state.picker.cold_s = 1.0 / cfg["cold_per_s"] if cfg["cold_per_s"] else 0.0
            state.homes = homes.get(name, ())
            services[name] = state
        self._by_name = services
        self._splits = {n: split for n, split in self._splits.items() if n in fleet["routes"]}

    def track(
        self, now: float, tracked: Mapping[str, list[Member]], up: Container[str], daemons: int
    ) -> None:
        """Take over the upstreams to choose from; `up` are those that are connected."""
        for name, state in self._by_name.items():
            state.track(now, tracked.get(name, []))
            for target in state.picker.tracks:
                state.picker.linked(target, now, target in up, fresh=False)
            if self._slack is not None:
                state.budget.bound(now, self._slack.part(daemons))

    def linked(self, now: float, target: str, up: bool, fresh: bool) -> None:
        """Take in that the connection to an owner stands or fell; `fresh` marks a new life."""
        for state in self._by_name.values():
            state.picker.linked(target, now, up, fresh)

    def draw(self, routed: RouteMatch) -> str:
        """Return the service that takes the next call of a split route."""
        split = self._splits.get(routed.route)
        if split is None or split.parts != routed.parts:
            split = Split(routed.parts, self._rng)
            self._splits[routed.route] = split
        return split.draw()

    def get(self, name: str) -> ServiceState | None:
        """Return a service, or None if it is not in the configuration any more."""
        return self._by_name.get(name)

    def all(self) -> Iterable[ServiceState]:
        """Return every service."""
        return self._by_name.values()

    def items(self) -> Iterable[tuple[str, ServiceState]]:
        """Return every service with its name."""
        return self._by_name.items()

    def _state(self, name: str, cfg: Service) -> ServiceState:
        old = self._by_name.get(name)
        if old is not None and old.cfg == cfg:
            return old
        picker = Picker(
            make_policy(cfg["policy"], self._data_centre),
            self._data_centre,
            cfg["eject_share"],
            self._rng,
        )
        if old is None:
            return ServiceState(cfg, picker, RetryBudget(cfg["retry_share"], self._rng))
        picker.tracks = old.picker.tracks
        # What was spent in this window stays spent, whatever option has changed.
        old.budget.share = cfg["retry_share"]
        return ServiceState(cfg, picker, old.budget)
