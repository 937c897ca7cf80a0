"""The ingress's data types: caller requests, actions, calls, attempts, records and counters."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from foldhoist.delivery.verdict import Answered, Headers, MayHaveRun, NotRun, Response, Verdict
from foldhoist.quarantine.identity import identity_of
from foldhoist.routing.routes import NO_RANK

if TYPE_CHECKING:
    from collections.abc import Sequence

    from foldhoist.customers.directory import Customer
    from foldhoist.routing.picker import Choice
    from foldhoist.routing.policies import Scored
    from foldhoist.routing.routes import RouteMatch
    from foldhoist.schema.messages import CreditAsk, Dispatch, FateAsk, SignalUpdate, Withdraw


class CallerRequest(NamedTuple):
    """A request as a caller sent it; `budget_s` and `key_issued_ms` are 0 if not given.

    A negative `budget_s` means that the deadline has passed.

    `parent_rank` is the most common rank of the calls that ran at this host's upstream when the
    request came; the request belongs to one of them if that upstream sent it. `retried` says
    whether the parent call was a repeat, as the request's header `Foldhoist-Retry` states: False
    without the header, None on a platform that has no such header. `parent_repeat`, used only for
    None, is the share of repeats among the calls recently started at this host's upstream, 0 to 1,
    and 0 if none runs. `caller` is the service of
    this host and `name` the caller's own name for the request, both empty if the deployment has
    none. `api_key` is the digest of the API key, empty if there is none. `withheld` are the headers
    that identify the customer.
    """

    method: str
    path: str
    headers: Headers
    body: bytes
    budget_s: float
    urgent: bool
    key: str
    key_issued_ms: int
    hops: int
    retried: bool | None
    trace: str
    host: str = ""
    caller: str = ""
    name: str = ""
    parent_rank: int = NO_RANK
    parent_repeat: float = 0.0
    api_key: str = ""
    withheld: Sequence[list[bytes]] = ()

    @property
    def repeat(self) -> float:
        """Return the probability that the parent call was a repeat, 0 to 1."""
        return self.parent_repeat if self.retried is None else float(self.retried)


class OwnerFrame(NamedTuple):
    """A message to an owner, with its kind and its fields."""

    kind: str
    body: CreditAsk | Dispatch | FateAsk | SignalUpdate | Withdraw


class SendTo(NamedTuple):
    """Send a frame to the owner of this target."""

    target: str
    frame: OwnerFrame


class Reply(NamedTuple):
    """Send the caller its final answer."""

    call_id: int
    verdict: Verdict
    record: Record


class Connect(NamedTuple):
    """Open connections to these owners; a parked call waits for one."""

    targets: tuple[str, ...]


Action: TypeAlias = SendTo | Reply | Connect


class Attempt(NamedTuple):
    """A finished attempt; `sent` and `ended` are monotonic seconds."""

    seq: int
    target: str
    reason: str
    candidates: tuple[Scored, ...]
    sent: float
    ended: float
    result: str
    waited_us: int
    served_us: int


class Record(NamedTuple):
    """The decision record of a call at its ingress; times are monotonic seconds."""

    trace: str
    service: str
    method: str
    path: str
    urgent: bool
    repeatable: bool
    key: str
    generation: int
    arrived: float
    ended: float
    verdict: str
    reason: str
    status: int
    attempts: tuple[Attempt, ...]
    name: str = ""
    late: bool = False
    customer: str = ""


@dataclass(slots=True)
class Counters:
    """Events counted since the ingress started."""

    answered: int = 0
    calls: int = 0
    fate_asked: int = 0
    gone: int = 0
    hedged: int = 0
    late: int = 0
    may_have_run: int = 0
    not_run: int = 0
    over_quota: int = 0
    retried: int = 0
    turned_away: int = 0
    unidentified: int = 0
    unpaid: int = 0

    def ended(self, verdict: Verdict) -> None:
        """Count a final answer by its kind."""
        match verdict:
            case Answered():
                self.answered += 1
            case NotRun():
                self.not_run += 1
            case MayHaveRun():
                self.may_have_run += 1


class Timer(IntEnum):
    """What a timer of a call does when it is due."""

    EXPIRE = 0
    HEDGE = 1
    FATE_TIMEOUT = 2
    PARK_TIMEOUT = 3
    LAST_START = 4


class PendingAttempt:
    """An attempt without a result.

    `fate_due` is when the wait for its outcome ends after a lost connection, monotonic seconds, or
    0 while it does not wait.
    """

    __slots__ = ("candidates", "fate_due", "reason", "sent", "seq", "target")

    def __init__(self, seq: int, target: str, choice: Choice, now: float) -> None:
        self.seq = seq
        self.target = target
        self.reason = choice.reason
        self.candidates = choice.candidates
        self.sent = now
        self.fate_due = 0.0


class Call:
    """A call without a final answer; times are monotonic seconds.

    `dispatches` counts the attempts sent to owners, `arrivals` those of them that no owner refused
    before they reached its upstream. `may_have_run_reason` is set once an attempt without an answer
    may have run. `failure` is the last answer with a server error to a call that may be retried.
    `credit_until` is when the credit of a customer's call expires; a call that does not run returns
    it before that.
    """

    __slots__ = (
        "admitted",
        "arrivals",
        "arrived",
        "attempts",
        "attempts_allowed",
        "bulk",
        "cached_identity",
        "call_id",
        "credit_until",
        "customer",
        "deadline",
        "dispatches",
        "excluded",
        "failure",
        "may_have_run_reason",
        "objective_s",
        "over_burst",
        "pending",
        "rank",
        "repeatable",
        "req",
        "route",
        "service",
        "urgent",
    )

    def __init__(
        self,
        call_id: int,
        req: CallerRequest,
        routed: RouteMatch,
        now: float,
        deadline: float,
        customer: Customer | None = None,
    ) -> None:
        self.call_id = call_id
        self.customer = customer
        self.over_burst = False
        self.credit_until = 0.0
        self.admitted = False
        self.bulk = routed.bulk
        self.req = req
        self.service = routed.service
        self.route = routed.route
        self.urgent = routed.urgent or req.urgent
        self.repeatable = routed.repeatable
        self.arrived = now
        self.deadline = deadline
        self.pending: dict[int, PendingAttempt] = {}
        self.excluded: set[str] = set()
        self.attempts: list[Attempt] = []
        self.attempts_allowed = routed.attempts
        self.rank = routed.rank
        self.objective_s = routed.objective_s
        self.dispatches = 0
        self.arrivals = 0
        self.may_have_run_reason = ""
        self.failure: Response | None = None
        self.cached_identity = ""

    @property
    def identity(self) -> str:
        """Return the identity that the quarantine uses for this request; computed once."""
        if not self.cached_identity:
            req = self.req
            self.cached_identity = identity_of(
                req.method, req.path, req.headers, req.body, req.caller
            )
        return self.cached_identity

    def add_attempt(
        self, now: float, attempt: PendingAttempt, result: str, waited_us: int, served_us: int
    ) -> None:
        """Add an attempt with its result to the record."""
        ended = Attempt(
            attempt.seq,
            attempt.target,
            attempt.reason,
            attempt.candidates,
            attempt.sent,
            now,
            result,
            waited_us,
            served_us,
        )
        self.attempts.append(ended)


def make_record(call: Call, now: float, verdict: Verdict, generation: int) -> Record:
    """Return the decision record of a call that ends now."""
    match verdict:
        case Answered(response):
            name, reason, status = "answered", "", response.status
        case NotRun(reason, _, status):
            name = "not-run"
        case MayHaveRun(reason, status):
            name = "may-have-run"
    req = call.req
    return Record(
        req.trace,
        call.service,
        req.method,
        req.path,
        call.urgent,
        call.repeatable,
        req.key,
        generation,
        call.arrived,
        now,
        name,
        reason,
        status,
        tuple(call.attempts),
        req.name,
        0 < call.objective_s < now - call.arrived,
        call.customer.name if call.customer is not None else "",
    )
