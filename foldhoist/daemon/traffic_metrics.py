"""Counters and gauges of the calls through a daemon, the same for both kinds of daemon."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from foldhoist.observe.counters import counters_of

if TYPE_CHECKING:
    from foldhoist.daemon.caller_state import ServerState
    from foldhoist.daemon.ingress_task import IngressTask
    from foldhoist.daemon.links import Links
    from foldhoist.daemon.owner_task import OwnerTask


NO_LIMIT = -1.0
"""Value of the gauge `limit_per_s` without a limit, since 0 is a limit."""


def traffic_counters(
    ingress_task: IngressTask, owner_task: OwnerTask, callers: ServerState
) -> dict[str, dict[str, int]]:
    """Return the counters of calls by component."""
    return {
        "ingress": counters_of(ingress_task.ingress.count),
        "owner": counters_of(owner_task.owner.count),
        "sampler": counters_of(owner_task.sampler.count),
        "callers": counters_of(callers.count),
    }


def traffic_gauges(
    ingress_task: IngressTask, owner_task: OwnerTask, callers: ServerState, links: Links
) -> dict[str, float]:
    """Return the gauges of calls and connections."""
    owner = owner_task.owner
    limit = owner.queue.rate
    return {
        "ingress_calls": ingress_task.ingress.calls,
        "owner_busy": owner.queue.busy,
        "owner_queued": owner.queue.queued,
        "limit_per_s": limit.per_s if limit.per_s is not None else NO_LIMIT,
        "starts_per_s": limit.used_per_s(asyncio.get_running_loop().time()),
        "links": len(links.connected()),
        "caller_connections": len(callers.open),
        "upstream_connections": owner_task.pool.open,
        "leaving": float(owner.leaving),
    }
