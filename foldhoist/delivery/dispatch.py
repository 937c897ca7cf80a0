"""The owner's data types: results, actions, tickets, peers, records and counters."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from foldhoist.admission.completion import latest_start
from foldhoist.quarantine.identity import identity_of
from foldhoist.routing.routes import NO_RANK

if TYPE_CHECKING:
    from foldhoist.delivery.signal_state import SignalChange
    from foldhoist.delivery.verdict import Headers
    from foldhoist.schema.messages import Answer, Crashes, Dispatch, Refusal, Report, Suspect


LOCAL_LINK = 0
"""Link number of the ingress in the owner's own process."""


class Frame(NamedTuple):
    """A message to an ingress, with its kind and its fields."""

    kind: str
    body: Answer | Crashes | Refusal | Report


class SendTo(NamedTuple):
    """Send a frame on a connection."""

    link: int
    frame: Frame


class CloseLink(NamedTuple):
    """Close a connection whose ingress has opened a newer one."""

    link: int


class StartCall(NamedTuple):
    """Send a call to the upstream; `budget_s` is the time left until its deadline, seconds.

    `instance` is the instance name that the upstream has announced, empty if it has not.
    """

    ticket: int
    request: Dispatch
    budget_s: float
    instance: str = ""


class CancelCall(NamedTuple):
    """Stop a running call that nobody waits for, or that may crash the upstream."""

    ticket: int
    reason: str = "cancelled"


class ShareSuspects(NamedTuple):
    """Send these suspects to other data centres, for daemons not connected with this owner."""

    suspects: list[Suspect]


class QuarantineCalls(NamedTuple):
    """Log and store that calls with these identities are quarantined from now on."""

    calls: list[str]


class SignalsChanged(NamedTuple):
    """Log changes of the upstream's signals, and record its departure."""

    changes: list[SignalChange]


Action: TypeAlias = (
    SendTo | CloseLink | StartCall | CancelCall | ShareSuspects | QuarantineCalls | SignalsChanged
)


class Complete(NamedTuple):
    """The upstream's complete answer; `pace` in percent, 0 if the upstream does not send it."""

    status: int
    headers: Headers
    body: bytes
    pace: int = 0


class Sample(NamedTuple):
    """The upstream's answer to a question about its state outside of calls.

    `pace` is in percent, 0 if not sent; `cold_s` is for how long it is still cold, seconds, None if
    not sent. `well` is whether it says that it is well.
    """

    pace: int
    cold_s: float | None = None
    well: bool = False


class Shed(NamedTuple):
    """The upstream refused the call without running it."""

    retry_after_s: float


class Replaced(NamedTuple):
    """Another incarnation of the upstream answered, and did not run the call."""


class Incomplete(NamedTuple):
    """No complete answer; `sent` says whether the upstream may have got any byte of the call."""

    sent: bool
    reason: str


Result: TypeAlias = Complete | Shed | Replaced | Incomplete


class Ended(NamedTuple):
    """The record of a call that ended at this owner; times are microseconds."""

    trace: str
    seq: int
    waited_us: int
    served_us: int
    result: str
    busy: int
    queued: int
    name: str = ""


class Refused(NamedTuple):
    """The record of a call that the owner refused, with the load at that time.

    `limit_per_s` is the upstream's rate limit, None if it has none.
    """

    request: str
    trace: str
    seq: int
    reason: str
    retry_after_ms: int
    busy: int
    queued: int
    slots: int
    state: str
    limit_per_s: float | None = None
    limit_age_ms: int = 0


@dataclass(slots=True)
class Counters:
    """Events counted since the owner started."""

    answered: int = 0
    cancelled: int = 0
    crashes: int = 0
    dispatched: int = 0
    fenced: int = 0
    held: int = 0
    limit_changes: int = 0
    limited: int = 0
    key_denied: int = 0
    key_replayed: int = 0
    lost: int = 0
    overloaded: int = 0
    refused: int = 0
    repeats: int = 0
    turned_away: int = 0
    withdrawn: int = 0


class Peer:
    """One incarnation of an ingress process; times are monotonic seconds.

    `live` maps the attempts without a result to their tickets, `kept` others to results that the
    ingress has not acknowledged; `last_forgotten_seq` is the highest attempt whose result was
    dropped without that.
    """

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

    @property
    def is_local(self) -> bool:
        """Return whether the ingress is in the owner's own process."""
        return self.link == LOCAL_LINK


class Ticket:
    """A call that waits or runs at this owner; times are monotonic seconds.

    `start_by` is its latest useful start, `last_start` the latest that a process that stops allows.
    `ahead` counts the calls that ran or waited when it
    arrived, `running_at_start` the busy slots when it started, its own included, `replacements` the
    upstream's incarnations until then. `body_bytes` and `cost_bytes` are the memory that it takes
    beside its ingress. `repeat` is the probability that it is a repeat, 0 to 1.
    """

    __slots__ = (
        "ahead",
        "arrived",
        "body_bytes",
        "cost_bytes",
        "deadline",
        "incarnation",
        "key",
        "last_start",
        "rank",
        "repeat",
        "replacements",
        "request",
        "running",
        "running_at_start",
        "start_by",
        "started",
    )

    def __init__(self, incarnation: str, request: Dispatch, now: float) -> None:
        self.incarnation = incarnation
        self.request = request
        self.body_bytes = 0
        self.cost_bytes = 0
        self.arrived = now
        self.deadline = now + request["budget_ms"] / 1000
        due = now + request.get("due_ms", request["budget_ms"]) / 1000
        expect_s = request.get("expect_ms", 0) / 1000
        self.start_by = latest_start(now, due, self.deadline, expect_s)
        start_ms = request.get("start_ms")
        self.last_start = float("inf") if start_ms is None else now + start_ms / 1000
        self.running = False
        self.started = 0.0
        self.ahead = 0
        self.running_at_start = 0
        self.replacements = 0
        self.key = request["key"]
        self.rank = request.get("rank", NO_RANK)
        self.repeat = 1.0 if request["retried"] else request.get("repeat_percent", 0) / 100

    def limit_start(self, at: float) -> None:
        """Do not let the call start after this time."""
        self.last_start = min(self.last_start, at)
        self.start_by = min(self.start_by, self.last_start)

    @property
    def identity(self) -> str:
        """Return the identity that the quarantine uses for this request."""
        return dispatch_identity(self.request)


def dispatch_identity(req: Dispatch) -> str:
    """Return the identity that the quarantine uses for a request."""
    caller = req.get("caller", "")
    return identity_of(req["method"], req["path"], req["headers"], req["body"], caller)
