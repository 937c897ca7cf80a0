"""Which service a path belongs to, and whether the call is repeatable and urgent."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from foldhoist.schema.fleet import Fleet


class Routed(NamedTuple):
    """A call's service and the kind of call it is."""

    service: str
    repeatable: bool
    urgent: bool


class _Rule(NamedTuple):
    prefix: str
    methods: frozenset[str]
    routed: Routed


class RouteTable:
    """The routes of one configuration, longest prefix first."""

    def __init__(self, fleet: Fleet) -> None:
        self._rules = _rules(fleet)
        self._services = sorted(
            ((service["prefix"], name) for name, service in fleet["services"].items()),
            key=lambda pair: len(pair[0]),
            reverse=True,
        )

    def find(self, method: str, path: str) -> Routed | None:
        """Return the service and kind of a call, or None if no prefix matches."""
        for rule in self._rules:
            if path.startswith(rule.prefix) and method in rule.methods:
                return rule.routed
        for prefix, name in self._services:
            if path.startswith(prefix):
                return Routed(name, repeatable=False, urgent=False)
        return None


def _rules(fleet: Fleet) -> list[_Rule]:
    rules: list[_Rule] = []
    for route in fleet["routes"].values():
        methods = frozenset(part.strip().upper() for part in route["methods"].split(","))
        routed = Routed(route["service"], route["repeatable"], route["urgent"])
        rules.append(_Rule(route["prefix"], methods, routed))
    rules.sort(key=lambda rule: len(rule.prefix), reverse=True)
    return rules
