"""The services of the configuration in force, with an ingress's state for each."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from foldhoist.admission.retries import RetryBudget, SlackPart
from foldhoist.config.fleet import evacuated
from foldhoist.delivery.signal_cache import SignalCache
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
"""Share of the retry slack that all daemons together may accumulate.

With a slack of 20 and up to eight daemons, each can hold one attempt.
"""
SLACK_REFILL_SHARE = 0.1
"""Share of the retry slack that all daemons together regain in a window.

The rest is a margin for the random and uneven use by daemons along a chain of services. With 0.2
the last of 29 services gets up to four attempts too many in a window.
"""
ANNOUNCEMENT_TIMEOUT_S = 2.0
"""A service without a known upstream for this long counts as having none, seconds.

It must be longer than the interval at which upstreams announce themselves, about 1.5 s.
"""
MIN_DAEMONS = 8
"""Least number by which the slack is divided, as a daemon may not know all others yet."""


@dataclass(slots=True)
class RetrySlack:
    """Retries that all daemons together may make in a window on top of a share of calls."""

    attempts: float
    window_s: float

    def part(self, daemons: int) -> SlackPart:
        """Return the part of each daemon if there are this many."""
        attempts = self.attempts / max(MIN_DAEMONS, daemons)
        per_s = attempts * SLACK_REFILL_SHARE / self.window_s
        return SlackPart(attempts * SLACK_CAPACITY_SHARE, per_s, self.window_s)


class ServiceState:
    """A service of the configuration in force: its picker, retry budget and homes of keys."""

    __slots__ = ("budget", "cfg", "homes", "missing_since", "picker")

    def __init__(self, cfg: Service, picker: Picker, budget: RetryBudget) -> None:
        self.cfg = cfg
        self.picker = picker
        self.budget = budget
        self.homes: tuple[str, ...] = ()
        self.missing_since: float | None = None

    def track(self, now: float, members: list[Member]) -> None:
        """Set the upstreams to choose from."""
        self.picker.members(members, now)
        if members:
            self.missing_since = None
        elif self.missing_since is None:
            self.missing_since = now

    def has_recent_upstream(self, now: float) -> bool:
        """Return whether an upstream is known or was known until recently."""
        return self.missing_since is None or now - self.missing_since < ANNOUNCEMENT_TIMEOUT_S


class Services:
    """All services by name; keeps the state of those that remain in the configuration."""

    def __init__(
        self,
        data_centre: str,
        rng: Random,
        slack: RetrySlack | None,
        signal_cache: SignalCache | None = None,
    ) -> None:
        self._signal_cache = signal_cache if signal_cache is not None else SignalCache()
        self._data_centre = data_centre
        self._rng = rng
        self._slack = slack
        self._by_name: dict[str, ServiceState] = {}
        self._splits: dict[str, Split] = {}

    def adopt(self, fleet: Fleet, homes: Mapping[str, tuple[str, ...]]) -> None:
        """Apply the services of a configuration."""
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
        """Set the upstreams to choose from; `up` are those whose owner is connected."""
        for name, state in self._by_name.items():
            state.track(now, tracked.get(name, []))
            for target in state.picker.tracks:
                state.picker.linked(target, now, target in up, fresh=False)
            if self._slack is not None:
                state.budget.set_slack(now, self._slack.part(daemons))

    def linked(self, now: float, target: str, up: bool, fresh: bool) -> None:
        """Record that an owner is connected or not; `fresh` marks a new incarnation."""
        for state in self._by_name.values():
            state.picker.linked(target, now, up, fresh)

    def draw(self, routed: RouteMatch) -> str:
        """Draw the service for the next call of a split route."""
        split = self._splits.get(routed.route)
        if split is None or split.parts != routed.parts:
            split = Split(routed.parts, self._rng)
            self._splits[routed.route] = split
        return split.draw()

    def get(self, name: str) -> ServiceState | None:
        """Return a service, or None if the configuration does not have it."""
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
            self._signal_cache.leaving,
        )
        if old is None:
            return ServiceState(cfg, picker, RetryBudget(cfg["retry_share"], self._rng))
        picker.tracks = old.picker.tracks
        # The budget is kept, so that a change of options does not refill it.
        old.budget.share = cfg["retry_share"]
        return ServiceState(cfg, picker, old.budget)
