"""Generated from fleet.json by tools/generate.py; edit that and run `make generate`."""

from __future__ import annotations

from typing import Literal, TypedDict


class FleetSection(TypedDict):
    """
    The fleet.
    """

    name: str
    """
    Name of the fleet.
    """
    data_centres: str
    """
    Data centres, separated by commas.
    """
    hops: int
    """
    Deepest nesting of calls; a deeper one is refused.
    """
    header_bytes: int
    """
    Longest request line and headers, bytes; 0 for what the daemon's settings say.
    """
    body_bytes: int
    """
    Longest request body, bytes; 0 for what the daemon's settings say.
    """
    request_ms: int
    """
    Longest time for a caller to send a request's head, milliseconds; 0 for what the daemon's settings say.
    """
    idle_ms: int
    """
    A caller connection without a request is closed after this, milliseconds; 0 for what the daemon's settings say.
    """
    evacuated: str
    """
    Data centres whose upstreams get no calls, separated by commas.
    """


class Service(TypedDict):
    """
    A service: several targets that can each answer its calls.
    """

    prefix: str
    """
    Calls whose path begins with this belong to the service; the longest prefix wins.
    """
    deadline_ms: int
    """
    Time for a call in which the caller names none, milliseconds.
    """
    policy: Literal[
        "random", "round-robin", "least-in-flight", "two-choices", "hot-cold", "mixed"
    ]
    """
    How an upstream is chosen.
    """
    retry_share: float
    """
    Further attempts allowed, as a share of recent calls.
    """
    attempts: int
    """
    Most attempts of one call, the first included.
    """
    hedge_ms: int
    """
    A repeatable call without an answer after this many milliseconds is sent to a second upstream; 0 for never.
    """
    health_path: str
    """
    Path of the health endpoint of its upstreams; empty for what the daemon's settings say.
    """
    queue: int
    """
    Calls that may wait at one owner.
    """
    urgent_slots: int
    """
    Slots of each target that only urgent calls may take.
    """
    urgent_run: int
    """
    Urgent calls that may pass a waiting ordinary one in a row.
    """
    key_window_s: int
    """
    How long an idempotency key is remembered, seconds; a caller must not send a key again after that.
    """
    eject_share: float
    """
    Largest share of the service's upstreams that may be left out for errors or slowness.
    """
    track: int
    """
    Upstreams of the service that one daemon knows and chooses from.
    """
    cold_per_s: float
    """
    Calls a second that an upstream bears while it is cold; 0 if that is not known.
    """
    cold_ms: int
    """
    How long an upstream is cold after its start, milliseconds.
    """


class Route(TypedDict):
    """
    Calls of a service that differ from the rest: the longest matching prefix with a matching method wins.
    """

    service: str
    """
    Name of the service.
    """
    prefix: str
    """
    Path prefix.
    """
    methods: str
    """
    HTTP methods, separated by commas.
    """
    repeatable: bool
    """
    Whether running the call twice does no harm.
    """
    urgent: bool
    """
    Whether the call goes before others.
    """
    host: str
    """
    Host header that the calls carry; empty for any.
    """
    split: str
    """
    Services that share the calls instead of `service`, with their weights, as a:90, b:10; empty for none.
    """
    timeout_ms: int
    """
    Longest time for a call, milliseconds; 0 for the service's deadline.
    """
    attempts: int
    """
    Most upstreams that one call may reach; 0 for the service's attempts.
    """
    rank: int
    """
    Rank of the calls among those of the service, 0 goes first; -1 for the two ranks that `urgent` tells apart.
    """
    objective_ms: int
    """
    Time within which an answer is worth most, milliseconds; 0 for none.
    """
    open: bool
    """
    Whether the calls need no API key where there are customers.
    """
    bulk: bool
    """
    Whether answers are large: they are sent between daemons in pieces, and let others pass.
    """


class Customer(TypedDict):
    """
    A customer: whose calls these are is known by their API key. With one customer or more, every call needs a key, but on open routes.
    """

    keys: str
    """
    Digests of its API keys, separated by commas, as `foldhoist key` prints them.
    """
    rate_per_s: float
    """
    Calls a second that all daemons together run for it; 0 for no limit.
    """
    burst: float
    """
    Calls that may run at once on top of that.
    """
    rank: int
    """
    Rank of its calls, before that of their route, 0 goes first; -1 for the route's.
    """


class Target(TypedDict):
    """
    One target: an upstream and the daemon beside it.
    """

    service: str
    """
    Name of the service.
    """
    data_centre: str
    """
    Data centre of the host.
    """
    frames: str
    """
    Address of the daemon's call connections.
    """
    control: str
    """
    Address of the daemon's control messages.
    """
    operators: str
    """
    Address of the daemon's operator endpoint.
    """
    slots: int
    """
    Calls that the upstream runs at once.
    """
    connections: int
    """
    Connections that the upstream accepts.
    """
    state: Literal["serving", "leaving", "retired"]
    """
    serving; leaving: no new calls; retired: the operator states that the host is off for good and that nothing of it runs.
    """


class Fleet(TypedDict):
    """
    The fleet configuration: an INI file that is applied as a whole. Sections are [fleet], [service NAME], [route NAME], [customer NAME] and [target NAME].
    """

    fleet: FleetSection
    services: dict[str, Service]
    routes: dict[str, Route]
    customers: dict[str, Customer]
    targets: dict[str, Target]
