"""Route lookup: maps a call's host, path and method to a service and call options."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from foldhoist.schema.fleet import Fleet, Route

NO_RANK = -1
"""Rank of a call whose route sets none; its priority then depends on `urgent` alone."""
ANY_HOST = ""
"""Host of a route that matches every host."""


class WeightedService(NamedTuple):
    """A service of a split route with its weight."""

    service: str
    weight: float


class RouteMatch(NamedTuple):
    """The service and options of a call; times are seconds, 0 where the route sets none.

    `open` routes need no API key, and `bulk` routes have large answers. `parts` is empty unless
    the route is split.
    """

    service: str
    repeatable: bool
    urgent: bool
    route: str = ""
    parts: tuple[WeightedService, ...] = ()
    timeout_s: float = 0.0
    attempts: int = 0
    rank: int = NO_RANK
    objective_s: float = 0.0
    open: bool = False
    bulk: bool = False


class _Rule(NamedTuple):
    prefix: str
    methods: frozenset[str]
    match: RouteMatch


class RouteTable:
    """The routes of one configuration by host, and prefixes of services, longest prefix first."""

    def __init__(self, fleet: Fleet) -> None:
        self._by_host = _rules(fleet)
        self._services = sorted(
            (
                (service["prefix"], name)
                for name, service in fleet["services"].items()
                if service["prefix"]
            ),
            key=lambda pair: len(pair[0]),
            reverse=True,
        )

    def find(self, method: str, path: str, host: str = ANY_HOST) -> RouteMatch | None:
        """Return the service and options of a call, or None if nothing matches.

        `host` must be in lower case. Routes of this host come before those for any host; the
        prefixes of services come last.
        """
        for name in (host, ANY_HOST) if host else (ANY_HOST,):
            for rule in self._by_host.get(name, ()):
                if path.startswith(rule.prefix) and (not rule.methods or method in rule.methods):
                    return rule.match
        for prefix, service in self._services:
            if path.startswith(prefix):
                return RouteMatch(service, repeatable=False, urgent=False)
        return None


def parse_split(text: str) -> tuple[WeightedService, ...]:
    """Return the weighted services of a `split` option; raises ValueError if it is malformed."""
    parts: list[WeightedService] = []
    for entry in text.split(","):
        if not entry.strip():
            continue
        service, _, weight = entry.partition(":")
        if not service.strip() or not _is_weight(weight):
            raise ValueError(f"{entry.strip()} is no service with a weight")
        parts.append(WeightedService(service.strip(), float(weight)))
    return tuple(parts)


def _is_weight(text: str) -> bool:
    try:
        return 0 <= float(text) < float("inf")
    except ValueError:
        return False


def _rules(fleet: Fleet) -> dict[str, list[_Rule]]:
    by_host: dict[str, list[_Rule]] = {}
    for name, route in fleet["routes"].items():
        methods = frozenset(
            part.strip().upper() for part in route["methods"].split(",") if part.strip()
        )
        rule = _Rule(route["prefix"], methods, _route_match(name, route))
        by_host.setdefault(route["host"].lower(), []).append(rule)
    for rules in by_host.values():
        rules.sort(key=lambda rule: len(rule.prefix), reverse=True)
    return by_host


def _route_match(name: str, route: Route) -> RouteMatch:
    parts = parse_split(route["split"])
    return RouteMatch(
        route["service"],
        route["repeatable"],
        route["urgent"],
        name,
        parts,
        route["timeout_ms"] / 1000,
        route["attempts"],
        route["rank"],
        route["objective_ms"] / 1000,
        route["open"],
        route["bulk"],
    )
