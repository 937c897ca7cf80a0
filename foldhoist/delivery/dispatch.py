"""What an owner takes, gives, and remembers of a call: results, actions, tickets, peers."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from foldhoist.admission.completion import latest_start
from foldhoist.quarantine.identity import identity_of
from foldhoist.routing.routes import NO_RANK

if TYPE_CHECKING:
    from foldhoist.delivery.verdict import Headers
    from foldhoist.schema.messages import Answer, Crashes, Dispatch, Refusal, Report, Suspect


class Frame(NamedTuple):
    """A message to an ingress: its kind and its fields."""

    kind: str
    body: Answer | Crashes | Refusal | Report


class SendTo(NamedTuple):
    """Write a frame to a connection."""

    link: int
    frame: Frame


class CloseLink(NamedTuple):
    """Close a connection whose ingress has a newer one."""

    link: int


class StartCall(NamedTuple):
    """Send this call to the upstream; at most `budget_s` seconds are left for it.

    `instance` is the life of the upstream that it is meant for, empty if upstreams have no names.
    """

    ticket: int
    request: Dispatch
    budget_s: float
    instance: str = ""


class CancelCall(NamedTuple):
    """Stop this call at the upstream: nobody waits for it, or it would end the upstream."""

    ticket: int
    reason: str = "cancelled"


class ShareSuspects(NamedTuple):
    """Have daemons that are not connected with this owner hear of these."""

    suspects: list[Suspect]


class QuarantineCalls(NamedTuple):
    """Calls like these are refused from now on."""

    calls: list[str]


Action: TypeAlias = SendTo | CloseLink | StartCall | CancelCall | ShareSuspects | QuarantineCalls


class Complete(NamedTuple):
    """The upstream's whole answer; `pace` is how long work takes there in percent, 0 if unsaid."""

    status: int
    headers: Headers
    body: bytes
    pace: int = 0


class Sample(NamedTuple):
    """What the upstream says of itself beside calls.

    `pace` is how long work takes there in percent, 0 if unsaid; `cold_s` how long it is cold yet,
    seconds, None if unsaid.
    """

    pace: int
    cold_s: float | None = None


class Shed(NamedTuple):
    """The upstream says that it did not run the call."""

    retry_after_s: float


class Replaced(NamedTuple):
    """Another life of an upstream answers at the address, and says that it did not run the call."""


class Incomplete(NamedTuple):
    """No whole answer; `sent` tells whether any byte of the call may have reached the upstream."""

    sent: bool
    reason: str


Result: TypeAlias = Complete | Shed | Replaced | Incomplete


class Ended(NamedTuple):
    """What a call did at this owner, for its record; times are microseconds."""

    trace: str
    seq: int
    waited_us: int
    served_us: int
    result: str
    busy: int
    queued: int
    name: str = ""


class Refused(NamedTuple):
    """A call that an owner sent back without running it, with what that rested on."""

    request: str
    trace: str
    seq: int
    reason: str
    retry_after_ms: int
    busy: int
    queued: int
    slots: int
    state: str


@dataclass(slots=True)
class Counters:
    """What this owner has counted since it started."""

    answered: int = 0
    cancelled: int = 0
    crashes: int = 0
    dispatched: int = 0
    fenced: int = 0
    held: int = 0
    key_denied: int = 0
    key_replayed: int = 0
    lost: int = 0
    overloaded: int = 0
    refused: int = 0
    repeats: int = 0
    turned_away: int = 0
    withdrawn: int = 0


class Peer:
    """One life of one ingress process."""

    __slots__ = (
        "epoch",
        "incarnation",
        "kept",
        "kept_bytes",
        "last_forgotten_seq",
        "link",
        "live",
        "lost_at",
        "name",
        "used_at",
    )

    def __init__(self, name: str, incarnation: str, epoch: int, link: int) -> None:
        self.name = name
        self.incarnation = incarnation
        self.epoch = epoch
        self.link: int | None = link
        self.live: dict[int, int] = {}
        self.kept: OrderedDict[int, Frame] = OrderedDict()
        self.kept_bytes = 0
        self.last_forgotten_seq = 0
        self.lost_at = 0.0
        self.used_at = 0.0


class Ticket:
    """A call that waits or runs here; times are monotonic seconds."""

    __slots__ = (
        "ahead",
        "arrived",
        "deadline",
        "incarnation",
        "key",
        "rank",
        "repeat",
        "request",
        "running",
        "running_at_start",
        "start_by",
        "started",
    )

    def __init__(self, incarnation: str, request: Dispatch, now: float) -> None:
        self.incarnation = incarnation
        self.request = request
        self.arrived = now
        self.deadline = now + request["budget_ms"] / 1000
        due = now + request.get("due_ms", request["budget_ms"]) / 1000
        expect_s = request.get("expect_ms", 0) / 1000
        self.start_by = latest_start(now, due, self.deadline, expect_s)
        self.running = False
        self.started = 0.0
        self.ahead = 0
        self.running_at_start = 0
        self.key = request["key"]
        self.rank = request.get("rank", NO_RANK)
        self.repeat = 1.0 if request["retried"] else request.get("repeat_percent", 0) / 100

    @property
    def identity(self) -> str:
        """Return by what the call is known when it comes again."""
        return dispatch_identity(self.request)


def dispatch_identity(req: Dispatch) -> str:
    """Return by what a call is known when it comes again."""
    caller = req.get("caller", "")
    return identity_of(req["method"], req["path"], req["headers"], req["body"], caller)
