"""Selects the upstreams that a daemon tracks by the fleet file, a bounded number per service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.config.fleet import group_targets
from foldhoist.routing.picker import Member
from foldhoist.routing.rendezvous import ranked

if TYPE_CHECKING:
    from foldhoist.schema.fleet import Fleet

REMOTE_DIVISOR = 4
"""One in this many tracked upstreams is remote if more exist than are tracked.

Those take over if this data centre is lost.
"""


def tracked(fleet: Fleet, name: str, data_centre: str) -> dict[str, list[Member]]:
    """Return the upstreams that the daemon of this name tracks, by service."""
    chosen: dict[str, list[Member]] = {}
    by_service = group_targets(fleet)
    for service, cfg in fleet["services"].items():
        serving = {
            target_name: target
            for target_name, target in by_service.get(service, {}).items()
            if target["state"] == "serving"
        }
        local_names = [each for each in serving if serving[each]["data_centre"] == data_centre]
        remote_names = [each for each in serving if serving[each]["data_centre"] != data_centre]
        selected = _limit(ranked(local_names, name), ranked(remote_names, name), cfg["track"])
        chosen[service] = [
            Member(each, serving[each]["data_centre"], serving[each]["slots"]) for each in selected
        ]
    return chosen


def homes(fleet: Fleet) -> dict[str, tuple[str, ...]]:
    """Return the targets that may be homes of idempotency keys, by service."""
    by_service = group_targets(fleet)
    found: dict[str, tuple[str, ...]] = {}
    for service in fleet["services"]:
        targets = by_service.get(service, {})
        found[service] = tuple(n for n, target in targets.items() if target["state"] == "serving")
    return found


def _limit(local_names: list[str], remote_names: list[str], limit: int) -> list[str]:
    if len(local_names) + len(remote_names) <= limit:
        return local_names + remote_names
    remote = min(len(remote_names), max(1, limit // REMOTE_DIVISOR))
    local = min(len(local_names), limit - remote)
    return local_names[:local] + remote_names[: limit - local]
