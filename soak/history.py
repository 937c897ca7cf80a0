"""Records of a run: requests, executions and faults; times in seconds since traffic started."""

from __future__ import annotations

from typing import NamedTuple


class RequestResult(NamedTuple):
    """A request as its caller saw it; status 0 if no complete answer came.

    `limit` and `leaving` are what the answer said of the upstream's incarnation `signals_of`.
    """

    attempt: str
    daemon: str
    repeatable: bool
    sent: float
    ended: float
    status: int
    echo: str
    complete: bool
    limit: str = ""
    leaving: bool = False
    signals_of: str = ""


class Execution(NamedTuple):
    """A request that an upstream began to execute."""

    attempt: str
    upstream: str


class Arrival(NamedTuple):
    """A request that reached an incarnation of an upstream, run or turned away."""

    attempt: str
    instance: str
    at: float


class LimitSpan(NamedTuple):
    """A time in which an incarnation of an upstream named one limit, requests a second."""

    instance: str
    began: float
    ended: float
    per_s: float


class Fault(NamedTuple):
    """A fault injected into a daemon, its upstream or its store."""

    kind: str
    daemon: str
    began: float
    ended: float


class PlannedStop(NamedTuple):
    """A planned stop: its duration and exit code, None if the process had to be killed.

    `last_line` is when the daemon wrote its last log line, seconds after SIGTERM by the wall clock,
    and `ended` when the system listed the process as ended, seconds after SIGTERM; `last_state` is
    its state before that, as in /proc. `stalled` is the longest delay of the soak's own event loop
    meanwhile, seconds.
    """

    daemon: str
    took: float
    code: int | None
    last_line: float = 0.0
    ended: float = 0.0
    last_state: str = ""
    stalled: float = 0.0


class History(NamedTuple):
    """The history of one seed; `unserved` are daemons that answered no request in time."""

    asked: tuple[RequestResult, ...]
    executions: tuple[Execution, ...]
    faults: tuple[Fault, ...]
    stops: tuple[PlannedStop, ...]
    unserved: tuple[str, ...]
    arrivals: tuple[Arrival, ...] = ()
    limits: tuple[LimitSpan, ...] = ()


class Violation(NamedTuple):
    """A broken promise and the evidence for it."""

    promise: str
    evidence: str
