"""What callers and upstreams note, and what was done to daemons; times in seconds of the play."""

from __future__ import annotations

from typing import NamedTuple


class Asked(NamedTuple):
    """A request as its caller saw it; status 0 if the connection ended without an answer."""

    attempt: str
    daemon: str
    repeatable: bool
    sent: float
    ended: float
    status: int
    echo: str
    whole: bool


class Ran(NamedTuple):
    """A request that an upstream began to work on."""

    attempt: str
    upstream: str


class Fault(NamedTuple):
    """What was done to a daemon or its surroundings, from when to when."""

    kind: str
    daemon: str
    began: float
    ended: float


class Stopped(NamedTuple):
    """How a planned stop ended: the code of the process, None if it had to be killed."""

    daemon: str
    took: float
    code: int | None


class Notes(NamedTuple):
    """Everything noted in the play of one seed; `unserved` are daemons that did not come back."""

    asked: tuple[Asked, ...]
    ran: tuple[Ran, ...]
    faults: tuple[Fault, ...]
    stopped: tuple[Stopped, ...]
    unserved: tuple[str, ...]


class Broken(NamedTuple):
    """A promise that was not kept, and what shows it."""

    promise: str
    shown_by: str
