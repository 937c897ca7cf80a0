"""The memory that callers and other daemons may take of this process, by its settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.admission.body_memory import BodyMemory, ProcessMemory, process_limit

if TYPE_CHECKING:
    from foldhoist.daemon.upstream import UpstreamPool
    from foldhoist.schema.settings import Limits


def owner_bodies(limits: Limits) -> BodyMemory:
    """Return what counts the bodies of calls at the owner, within the memory of the process."""
    return BodyMemory(limits["held_bytes"], ProcessMemory(process_limit(limits["memory_mb"])))


def apply_limits(limits: Limits, bodies: BodyMemory, pool: UpstreamPool) -> None:
    """Apply changed limits; what is held already stays."""
    bodies.limit = limits["held_bytes"]
    bodies.process.limit = process_limit(limits["memory_mb"])
    pool.set_max_held_bytes(limits["held_bytes"])
