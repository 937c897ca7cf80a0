"""Deployments of one service and cases for the simulation; times are in seconds."""

from __future__ import annotations

from typing import NamedTuple


class Slowdown(NamedTuple):
    """An interval in which an upstream works at 1/factor of its speed."""

    begin: float
    end: float
    factor: float


class Deployment(NamedTuple):
    """Size and service time of a service; `targets` upstreams spread over `centres`."""

    name: str
    targets: int
    slots: int
    service_s: float
    centres: int = 3
    urgent_share: float = 0.2


ISTANBUL = Deployment("istanbul", 4, 12, 0.008)
TRINIDAD = Deployment("trinidad", 4, 6, 0.008)


class Case(NamedTuple):
    """Load and faults of a run; `load` is a share of all slots, times are from the start.

    Upstreams are given by index: `bursts` are (begin, end, factor), `failing` (index, begin, end).
    """

    name: str
    load: float = 0.8
    length_s: float = 2.0
    bursts: tuple[tuple[float, float, float], ...] = ()
    slow: tuple[tuple[int, Slowdown], ...] = ()
    noisy: bool = False
    failing: tuple[tuple[int, float, float], ...] = ()
    leaving: tuple[tuple[int, float], ...] = ()
    joining: tuple[tuple[int, float], ...] = ()
    misleading: int = -1
    report_delay_s: float = 0.0
    lost_centre_at: float = -1.0
    one_ingress: bool = False


class CallOutcome(NamedTuple):
    """Outcome of a call: start, duration, priority, verdict, server error and attempted targets."""

    at: float
    seconds: float
    urgent: bool
    verdict: str
    failed: bool
    targets: tuple[str, ...]


def configuration(deployment: Deployment, policy: str, hedge_ms: int) -> str:
    """Return the configuration of one service."""
    centres = ", ".join(f"c{i}" for i in range(deployment.centres))
    parts = [f"[fleet]\nname = bench\ndata_centres = {centres}\n"]
    parts.append(
        f"[service s]\nprefix = /s/\ndeadline_ms = 500\npolicy = {policy}\n"
        f"queue = {deployment.slots * 2}\nhedge_ms = {hedge_ms}\n"
        "[route look]\nservice = s\nprefix = /s/\nmethods = GET\nrepeatable = yes\n"
    )
    for i in range(deployment.targets):
        ports = [f"127.0.0.1:{1000 + 3 * i + j}" for j in range(3)]
        parts.append(
            f"[target t{i}]\nservice = s\ndata_centre = c{i % deployment.centres}\n"
            f"frames = {ports[0]}\ncontrol = {ports[1]}\noperators = {ports[2]}\n"
            f"slots = {deployment.slots}\n"
        )
    return "\n".join(parts)
