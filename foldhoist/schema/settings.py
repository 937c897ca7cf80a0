"""Generated from settings.json by tools/generate.py; edit that and run `make generate`."""

from __future__ import annotations

from typing import Literal, TypedDict


class Daemon(TypedDict):
    """
    Who this daemon is.
    """

    name: str
    """
    Name of the target that this daemon stands beside, as in the fleet configuration.
    """
    data_centre: str
    """
    Data centre of this host.
    """


class Listen(TypedDict):
    """
    Addresses that this daemon listens on, each IP:port; port 0 lets the system choose.
    """

    callers: str
    """
    HTTP for callers.
    """
    frames: str
    """
    Call connections of other daemons.
    """
    control: str
    """
    Control messages of other daemons.
    """
    operators: str
    """
    HTTP for operators: status, metrics, explanations.
    """


class Upstream(TypedDict):
    """
    The upstream beside this daemon.
    """

    address: str
    """
    HTTP address of the upstream.
    """
    service: str
    """
    Service of the upstream until it announces itself, with an adapter.
    """
    health_path: str
    """
    Path of its health endpoint.
    """
    connect_ms: int
    """
    Longest wait for a new connection, milliseconds.
    """
    cold_overage: float
    """
    What a cold upstream bears in a second at most, as a multiple of what the configuration says, with an adapter.
    """
    cold_slack: float
    """
    Calls in a second that it bears on top of that; a quarter of them is used.
    """


class Platform(TypedDict):
    """
    The platform's services.
    """

    log: str
    """
    HTTP address of the append-only log.
    """
    stream: str
    """
    Stream that holds the configuration.
    """
    hosts: str
    """
    HTTP address of the host list; empty for none.
    """
    poll_ms: int
    """
    Time between two reads of the log by a reader, milliseconds.
    """
    hosts_poll_ms: int
    """
    Time between two reads of the host list, milliseconds.
    """
    keep_s: int
    """
    A generation is written again when its last record is older than this, seconds; stay well below the platform's retention.
    """
    adapter: str
    """
    Python package that speaks to a platform of another kind; empty for the product's own log and host list.
    """
    wait_ms: int
    """
    How often each reader reads an adapter's store while there is no news, milliseconds.
    """
    first_start: bool
    """
    Whether the whole system starts for the first time, so that no earlier life of this daemon needs to be asked for, with an adapter.
    """
    policy: Literal[
        "random", "round-robin", "least-in-flight", "two-choices", "hot-cold", "mixed"
    ]
    """
    How an upstream is chosen, with an adapter; all but mixed are baselines for measurements.
    """
    retry_slack: float
    """
    Further attempts that all daemons together may make in a window beside their share of calls, with an adapter; may be a fraction, as where it is shared out by a fleet's size.
    """
    retry_window_s: float
    """
    Length of that window, seconds.
    """
    quota_slack: float
    """
    Calls of a customer beyond its quota that may run in a window, at all daemons together; a part of it is what a new keeper of a quota begins with.
    """


class Peers(TypedDict):
    """
    How this daemon finds others before it has a configuration, and how it spreads one.
    """

    seeds: str
    """
    Control addresses asked at start, separated by commas.
    """
    readers: int
    """
    Daemons per data centre that read the log.
    """
    fanout: int
    """
    Daemons to which one passes a new generation on.
    """
    ask_ms: int
    """
    Mean time between two questions to a peer for a newer generation, milliseconds.
    """


class Limits(TypedDict):
    """
    What a caller may ask of this daemon.
    """

    callers: int
    """
    Caller connections open at once.
    """
    header_bytes: int
    """
    Longest request line and headers, bytes.
    """
    body_bytes: int
    """
    Longest request or answer body, bytes.
    """
    held_bytes: int
    """
    Bytes of request bodies held at once, for calls that came in here and again for calls to the upstream; as many bytes of answers may be unread by callers. Above it requests are refused, unless others that have arrived for longer give way. Bodies over 64 KiB get three quarters of it; see also `memory_mb`.
    """
    memory_mb: float
    """
    Memory that this process may use, megabytes; 0 if it is not known. Half of it is for what callers and other daemons have it hold: connections, requests that arrive, wait or run, and what is not sent yet. Above that, requests that have arrived for longest give way, others are refused, and the slowest readers are closed.
    """
    request_ms: int
    """
    Longest time for a caller to send a whole request, milliseconds.
    """
    idle_ms: int
    """
    A caller connection without a request is closed after this, milliseconds.
    """
    calls: int
    """
    Calls in flight in the ingress role at once.
    """
    drain_ms: int
    """
    Longest wait for calls in flight at a planned stop, milliseconds.
    """


class Measuring(TypedDict):
    """
    What measuring and control may cost.
    """

    probes_per_s: float
    """
    Health probes a second to the upstream, from every daemon together; only the owner sends any.
    """
    sample_cost: float
    """
    What a sample of the upstream's pace costs, in calls, with an adapter: it is sampled as often as that saves more slow calls than it costs; 0 for never.
    """
    control_bytes_per_s: int
    """
    Control bytes a second that this daemon may send, averaged over the burst.
    """
    control_burst_bytes: int
    """
    Control bytes that may be sent at once, as when a generation is passed on.
    """


class Observe(TypedDict):
    """
    What this daemon shows.
    """

    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"]
    """
    Least level of a log line.
    """
    log_format: Literal["text", "json"]
    """
    Format of a log line.
    """
    counters_s: float
    """
    Time between two log lines of counters, seconds; 0 for none.
    """
    trace_share: float
    """
    Share of ordinary calls whose spans are kept; refusals, retries and errors always are.
    """
    log_share: float
    """
    Share of ordinary calls of which log lines tell, with an adapter; refusals, retries and errors always are told, within a bound.
    """
    records: int
    """
    Decision records kept for explain and watch.
    """
    otlp: str
    """
    OTLP/HTTP address for spans, as http://IP:port/v1/traces; empty for none.
    """


class Settings(TypedDict):
    """
    Settings of one daemon: an INI file with these sections.
    """

    daemon: Daemon
    listen: Listen
    upstream: Upstream
    platform: Platform
    peers: Peers
    limits: Limits
    measuring: Measuring
    observe: Observe
