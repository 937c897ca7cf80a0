"""Generated from messages.json by tools/generate.py; edit that and run `make generate`."""

from __future__ import annotations

from typing import Literal, NotRequired, TypedDict


class Messages(TypedDict):
    """
    Every message between two foldhoist processes. A field's description gives its unit.
    """


class UpstreamSignals(TypedDict):
    """
    Signals that one incarnation of an upstream sends in its answers.
    """

    instance: str
    """
    Name of that incarnation, empty if the upstream does not announce itself.
    """
    born_ms: int
    """
    Its start, wall clock in milliseconds; 0 if it is not known.
    """
    limit_per_s: NotRequired[float]
    """
    Rate limit for all hosts together, calls per second; absent if it has none now.
    """
    limit_age_ms: NotRequired[int]
    """
    Time since this limit was set, milliseconds; absent without a limit.
    """
    wait_ms: NotRequired[int]
    """
    How long a call that arrives at the owner now waits for the rate limit, milliseconds; absent if it does not wait.
    """
    leaving: NotRequired[bool]
    """
    It is leaving, which cannot be taken back. Absent if it is not.
    """


class Load(TypedDict):
    """
    What an owner knows of its upstream at the moment it writes; rides on every answer.
    """

    busy: int
    """
    Slots in use, this owner's own count.
    """
    queued: int
    """
    Calls waiting at the owner for a slot.
    """
    slots: int
    """
    Slots that the owner dispatches into.
    """
    service_us: int
    """
    Recent mean service time in microseconds; 0 before the first answer.
    """
    errors: float
    """
    Recent share of answers with a 5xx status, 0 to 1.
    """
    state: Literal["cold", "warm", "shedding", "refusing", "leaving", "down"]
    """
    State of the upstream; shedding: it has just turned a call away, refusing: it turns all away, and its owner refuses them.
    """
    pace: NotRequired[int]
    """
    How long work takes there at this moment, in percent of the usual; absent if the upstream does not say.
    """
    pace_kept_ms: NotRequired[int]
    """
    How long that pace holds if the owner tells of no other, milliseconds; absent if the owner does not watch it.
    """
    signals: NotRequired[UpstreamSignals]


class Hello(TypedDict):
    """
    First frame in each direction of a call connection.
    """

    name: str
    """
    The sender's target name.
    """
    incarnation: str
    """
    Random name of this life of the sender's process.
    """
    epoch: int
    """
    Rises with each connection of one incarnation to one owner; an older connection is refused from then on.
    """
    schema: int
    """
    Version of the message schema.
    """


class Dispatch(TypedDict):
    """
    Ingress to owner: run this call.
    """

    seq: int
    """
    Sequence number, unique within the ingress incarnation.
    """
    acked: int
    """
    Every result with a sequence number below this has been received by the ingress.
    """
    service: str
    method: str
    path: str
    """
    Request target as the caller sent it.
    """
    headers: list[list[bytes]]
    """
    Pairs of name and value.
    """
    body: bytes
    budget_ms: int
    """
    Time left until the caller's deadline, in milliseconds, when the frame was written.
    """
    urgent: bool
    repeatable: bool
    key: str
    """
    Idempotency key, or empty.
    """
    key_issued_ms: int
    """
    When the key was first issued, milliseconds of wall clock; 0 if not known.
    """
    generation: int
    """
    Configuration generation by which the ingress chose this owner.
    """
    hops: int
    """
    How many calls this one is nested in.
    """
    retried: bool
    """
    This, or a call that it is nested in, is a further attempt after one that reached an upstream.
    """
    repeat_percent: NotRequired[int]
    """
    How likely it is a part of such an attempt where the caller does not say, percent. Absent if it is not, or said.
    """
    trace: str
    """
    W3C traceparent of the ingress span.
    """
    name: NotRequired[str]
    """
    The caller's own name for the request; absent if it has none.
    """
    caller: NotRequired[str]
    """
    Service of the host at which the call started; absent if the deployment does not tell callers apart.
    """
    parent_rank: NotRequired[int]
    """
    Rank of the calls that the upstream beside the ingress is at work on: what a nested call is a part of. Absent if there are none.
    """
    rank: NotRequired[int]
    """
    Rank of the call, 0 goes first; absent for the two ranks that `urgent` tells apart.
    """
    due_ms: NotRequired[int]
    """
    Time left until the answer is late by its route's objective, milliseconds; negative if it is late, absent without an objective.
    """
    route: NotRequired[str]
    """
    Name of its route, absent without an objective.
    """
    expect_ms: NotRequired[int]
    """
    How long such a call takes at an upstream, as the ingress has seen it, milliseconds.
    """
    start_ms: NotRequired[int]
    """
    Time left until the call must have started at the upstream, as the ingress stops, milliseconds; absent without such a limit.
    """
    customer: NotRequired[str]
    """
    Customer whose call it is; absent if it has none.
    """
    scarce: NotRequired[bool]
    """
    The customer has used up most of its burst: its calls go behind others where not all fit. Absent if not.
    """
    bulk: NotRequired[bool]
    """
    The answer is large: it comes back in pieces. Absent if not.
    """


class Answer(TypedDict):
    """
    Owner to ingress: the upstream's whole answer.
    """

    seq: int
    status: int
    headers: list[list[bytes]]
    body: bytes
    ahead: int
    """
    Calls that ran or waited at the owner when this one arrived; -1 if it was not admitted anew.
    """
    waited_us: int
    """
    Time in the owner's queue, microseconds.
    """
    served_us: int
    """
    Time from dispatch to the whole answer, microseconds.
    """
    load: Load
    bulk: NotRequired[bool]
    """
    The answer of a bulk route; absent if not.
    """
    rest: NotRequired[int]
    """
    The rest of the body follows in pieces of this number; absent if it is whole.
    """


class Piece(TypedDict):
    """
    Owner to ingress: more of the body of an answer.
    """

    number: int
    """
    Number of the answer's rest on this connection.
    """
    last: bool
    body: bytes


class Refusal(TypedDict):
    """
    Owner to ingress: no answer, and whether the call may have run.
    """

    seq: int
    ran: Literal["no", "maybe"]
    """
    no: it certainly did not run. maybe: it was dispatched and no whole answer came.
    """
    reached: NotRequired[bool]
    """
    The upstream got the call and turned it away: it counts as an arrival there. Absent if it did not get it.
    """
    reason: str
    retry_after_ms: int
    """
    When asking again makes sense, in milliseconds.
    """
    load: Load


class Withdraw(TypedDict):
    """
    Ingress to owner: nobody waits for this call any more.
    """

    seq: int
    only_waiting: NotRequired[bool]
    """
    A call that has started goes on, and its result is still wanted. Absent if not.
    """


class FateAsk(TypedDict):
    """
    Ingress to owner on a new connection: what became of these calls?
    """

    seqs: list[int]


class Report(TypedDict):
    """
    Owner to every connected ingress when its upstream's state changes.
    """

    load: Load


class Suspect(TypedDict):
    """
    A call that was at work at upstreams when they ended.
    """

    call: str
    """
    By what the call is known when it comes again: a digest of host, method, path, body and caller.
    """
    crashes: list[str]
    """
    Crashes with it at work, each by a name that no other has.
    """
    refuted: list[str]
    """
    Those of them that such a call was not the cause of, since one was answered later.
    """
    age_ms: int
    """
    Time since the last of them, milliseconds.
    """


class Crashes(TypedDict):
    """
    Owner to every connected ingress, and to the relays of other data centres: what is known of calls under which upstreams ended.
    """

    suspects: list[Suspect]
    spread: bool
    """
    Whether the receiver is to pass it on in its data centre.
    """


class CreditAsk(TypedDict):
    """
    Ingress to a quota server: may calls of a customer run? Or, with `servers`: to which one the sender lends its shares.
    """

    ask: int
    """
    Number of the question, unique within the ingress incarnation.
    """
    customer: str
    want: int
    """
    Calls for which credit is asked; 0 with `elsewhere` or `servers`.
    """
    lends_ms: int
    """
    For how long the sender has asked no other keeper: the share of the quota that it lends is of that time, milliseconds.
    """
    elsewhere: bool
    """
    The sender asks another keeper for a while, since this one has not answered.
    """
    servers: NotRequired[list[str]]
    """
    The quota servers that the sender may ask now: it lends its share of each customer's quota to the first of these in the customer's ranking, until its next such message on this connection. With it nothing is asked and there is no answer. Absent in a request for credit.
    """


class Credit(TypedDict):
    """
    Keeper of a customer's quota to an ingress: so many of its calls may run.
    """

    ask: int
    known: bool
    """
    Whether the keeper's configuration holds the customer; if not, it has counted nothing.
    """
    granted: int
    """
    Calls that may run.
    """
    again_ms: int
    """
    When asking again makes sense if not all was granted, milliseconds.
    """
    scarce: bool
    """
    Most of the customer's burst is used up.
    """


class Outcome(TypedDict):
    """
    What became of one publish id.
    """

    publish_id: str
    generation: int
    """
    The generation it became, or 0 if it was rejected.
    """
    reason: str
    """
    Why it was rejected, or empty.
    """


class Snapshot(TypedDict):
    """
    A folded configuration log: the state after every record below an offset.
    """

    generation: int
    digest: str
    """
    SHA-256 of content, hexadecimal.
    """
    content: str
    """
    The fleet configuration as INI text.
    """
    folded: int
    """
    Every record with a smaller offset has been folded.
    """
    exact: bool
    """
    False if records may have been missed, so that the generation is only a lower bound.
    """
    outcomes: list[Outcome]
    """
    Latest outcomes, oldest first.
    """


class Publish(TypedDict):
    """
    A record of the configuration stream: an operator's proposal.
    """

    publish_id: str
    base: int
    """
    Generation that it replaces.
    """
    base_digest: str
    digest: str
    content: str


class Ask(TypedDict):
    """
    Control: tell me of anything newer than this generation.
    """

    have: int
    """
    Generation held by the asker; 0 for none.
    """
    name: str
    """
    Name of the asker.
    """
    answer_to: str
    """
    Control address of the asker.
    """


class Held(TypedDict):
    """
    Control: answer to a question; the generation held, and how fresh that knowledge is.
    """

    generation: int
    name: str
    """
    Name of the answerer.
    """
    reader: str
    """
    Who read the log; empty if nobody is known to have.
    """
    age_ms: int
    """
    Time since that reader read the log, milliseconds.
    """


class Handover(TypedDict):
    """
    Control: the new home of some keys asks a former home to stop and to tell what it knows.
    """

    service: str
    generation: int
    """
    Generation that makes the asker the home.
    """
    target: str
    """
    Name of the asker.
    """
    answer_to: str


class KeyState(TypedDict):
    """
    What a home knows of one idempotency key.
    """

    key: str
    fingerprint: str
    """
    Digest of method, path and body of the request that claimed the key.
    """
    ran: Literal["answered", "maybe"]
    status: int
    """
    Status of the kept answer, 0 for none.
    """
    headers: list[list[bytes]]
    body: bytes
    age_ms: int
    """
    Time since the key was first seen.
    """


class Announced(TypedDict):
    """
    What an upstream says of itself to the daemon beside it.
    """

    instance: str
    """
    Name of this life of the upstream; empty for none known.
    """
    service: str
    slots: int
    """
    Calls that it works on at once.
    """
    state: Literal["ready", "leaving", "gone"]
    sequence: int
    """
    Rises with each announcement of one life, so that a late one is known.
    """
    born_ms: int
    """
    When that life started, milliseconds of wall clock; 0 if it does not say.
    """
    cold_ms: int
    """
    How much longer it is slow from its start, milliseconds.
    """


class EndedLife(TypedDict):
    """
    Lives of an upstream that have ended: all of this name that started until then.
    """

    instance: str
    born_ms: int
    """
    Start of the last of them, milliseconds of wall clock; 0 if it did not say.
    """


class Member(TypedDict):
    """
    What a daemon tells every peer of itself: once on each new connection, and when it changes.
    """

    name: str
    incarnation: str
    """
    Random name of this life of the daemon.
    """
    telling: int
    """
    Rises with each word of one life: two connections may bring them out of order.
    """
    frames: str
    """
    Address of its call connections.
    """
    data_centre: str
    version: int
    """
    Version of the configuration that it holds; 0 for none.
    """
    evacuated_at: NotRequired[int]
    """
    Offset of the operator's log up to which it knows evacuations; absent for none.
    """
    upstream: Announced
    ended: list[EndedLife]
    """
    Lives of its upstreams whose leaving it has acknowledged, oldest first.
    """


class Row(TypedDict):
    """
    What one daemon knows of another: where it listens, and what its upstream serves.
    """

    name: str
    incarnation: str
    """
    Random name of the last life that is known.
    """
    frames: str
    """
    Address of its call connections.
    """
    data_centre: str
    service: str
    """
    Service of its upstream; empty if unknown.
    """


class Roster(TypedDict):
    """
    Daemons that the sender knows of.
    """

    rows: list[Row]
    spread: bool
    """
    Whether the receiver is to pass the rows on in its data centre.
    """
    wanted: bool
    """
    Whether the sender asks for all that the receiver knows.
    """


class Remembered(TypedDict):
    """
    To a daemon that has just started: what a peer knows of its earlier lives.
    """

    ended: list[EndedLife]
    """
    Lives of upstreams whose leaving the daemon has acknowledged.
    """


class SignalUpdate(TypedDict):
    """
    Ingress to owner, first on a connection: the latest signals of the owner's upstream that the ingress knows. A restarted owner has no other source until an answer.
    """

    signals: UpstreamSignals
    age_ms: int
    """
    Time since the ingress received them, milliseconds.
    """


class Goaway(TypedDict):
    """
    The last word of a connection: an owner takes no more calls on it, or an ingress sends none.
    """

    reason: str


class Noted(TypedDict):
    """
    A peer has taken in a Member.
    """

    ended: list[EndedLife]
    """
    The lives that it named as ended.
    """


class Evacuated(TypedDict):
    """
    Data centres whose upstreams get no calls by an operator's order.
    """

    at: int
    """
    Offset of the operator's log below which every record counts.
    """
    data_centres: list[str]


class Fresh(TypedDict):
    """
    How recently the sender heard from the platform's store, and what it holds.
    """

    version: int
    age_ms: int
    """
    Time since the store answered the sender, milliseconds.
    """
    wanted: bool
    """
    Whether the sender asks for an answer of the same kind.
    """
    evacuated: NotRequired[Evacuated]


class Handed(TypedDict):
    """
    Control: a former home has adopted the generation and runs these keys no more.
    """

    service: str
    generation: int
    former: str
    """
    Name of the former home.
    """
    since_ms: int
    """
    Wall clock in milliseconds from which on the former home knows every key of its own.
    """
    keys: list[KeyState]


class Versioned(TypedDict):
    """
    A whole configuration as the platform keeps it.
    """

    version: int
    content: bytes
    evacuated: NotRequired[Evacuated]
