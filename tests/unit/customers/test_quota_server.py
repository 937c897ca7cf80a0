"""Tests of the credit that a quota server gains and grants, as primary server and otherwise."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from foldhoist.customers.candidates import MIN_CANDIDATES, quota_server_candidates, ranked_servers
from foldhoist.customers.directory import Directory
from foldhoist.customers.quota_server import (
    INITIAL_SLACK_SHARE,
    MAX_RETRY_AFTER_S,
    Hosts,
    QuotaServer,
)
from tests.unit.customers.simulation import NAME, fleet_of

if TYPE_CHECKING:
    from foldhoist.schema.messages import Credit

HOSTS = [f"h{each}" for each in range(8)]
FIRST, SECOND = ranked_servers(NAME, HOSTS)[:2]


def new_server(
    name: str = FIRST, rate: float = 8.0, burst: float = 16.0, slack: float = 0.0
) -> QuotaServer:
    """Return a quota server to which all hosts are connected."""
    server = QuotaServer(name, slack)
    server.adopt(0.0, Directory(fleet_of(rate, burst)))
    for host in HOSTS:
        server.on_lending(0.0, host, HOSTS)
    update_hosts(server, 0.0)
    return server


def update_hosts(server: QuotaServer, now: float, connected: list[str] = HOSTS) -> None:
    server.update_hosts(now, Hosts(set(HOSTS), connected))


def advance(server: QuotaServer, since: float, until: float, **of: Any) -> None:
    """Update a server's hosts every 0.1 s until a time."""
    at = since
    while at < until:
        at = min(until, at + 0.1)
        update_hosts(server, at, **of)


def ask(server: QuotaServer, now: float, want: int = 100, **fields: Any) -> Credit:
    host = fields.pop("host", HOSTS[0])
    plain: Any = {"ask": 1, "customer": NAME, "want": want, "lends_ms": 0, "elsewhere": False}
    return server.on_ask(now, host, {**plain, **fields})


def test_credit_grows_at_the_rate_up_to_the_burst_and_a_denial_says_when_to_retry() -> None:
    server = new_server()
    advance(server, 0.0, 1.0)
    credit = ask(server, 1.0)
    assert credit["granted"] in (7, 8)
    assert 0 < credit["again_ms"] <= MAX_RETRY_AFTER_S * 1000
    advance(server, 1.0, 60.0)
    credit = ask(server, 60.0, want=3)
    assert (credit["granted"], credit["again_ms"], credit["scarce"]) == (3, 0, False)
    assert ask(server, 60.0, want=10)["scarce"]
    assert ask(server, 60.0)["granted"] == 3


def test_a_stalled_server_gains_no_credit() -> None:
    server = new_server()
    advance(server, 0.0, 1.0)
    ask(server, 1.0)
    assert ask(server, 11.0)["granted"] <= 1


def test_credit_grows_with_the_share_of_connected_hosts() -> None:
    server = new_server()
    ask(server, 0.0)
    advance(server, 0.0, 1.0, connected=HOSTS[:4])
    assert ask(server, 1.0)["granted"] in (3, 4, 5)


def test_connected_hosts_that_have_not_said_so_lend_nothing() -> None:
    server = QuotaServer(FIRST)
    server.adopt(0.0, Directory(fleet_of(8.0, 16.0)))
    advance(server, 0.0, 5.0)
    assert ask(server, 5.0)["granted"] <= 1


def test_hosts_that_name_another_first_server_lend_nothing() -> None:
    server = new_server()
    ask(server, 0.0)
    for host in HOSTS[:4]:
        server.on_lending(0.0, host, [SECOND])
    advance(server, 0.0, 1.0)
    assert ask(server, 1.0)["granted"] in (3, 4, 5)


def test_a_lost_connection_ends_what_a_host_has_said() -> None:
    server = new_server()
    advance(server, 0.0, 0.2, connected=[])
    advance(server, 0.2, 10.0)
    assert ask(server, 10.0)["granted"] <= 3


def test_a_server_holds_only_the_part_of_the_burst_that_is_lent() -> None:
    server = new_server()
    advance(server, 0.0, 60.0, connected=HOSTS[:2])
    assert ask(server, 60.0)["granted"] in (3, 4)


def test_a_pause_of_all_hosts_does_not_cost_the_customer_its_burst() -> None:
    """Guards against calls that are refused after a pause, as their hosts count as silent."""
    server = new_server()
    advance(server, 0.0, 10.0)
    now = 10.0
    while now < 12.0:
        now += 0.05
        update_hosts(server, now)
        for host in HOSTS:
            ask(server, now, want=0, host=host)
    advance(server, now, now + 1.5)
    assert ask(server, now + 1.5)["granted"] >= 15


def test_a_secondary_server_gains_only_what_requests_lend() -> None:
    server = new_server(SECOND)
    for number in range(20):
        now = number / 10
        update_hosts(server, now)
        ask(server, now, want=0, host="h1", lends_ms=int(now * 1000))
    granted = ask(server, 2.0, host="h1", lends_ms=2000)["granted"]
    assert granted in (1, 2)


def test_a_server_to_which_hosts_turn_starts_with_limited_credit() -> None:
    server = new_server(SECOND, slack=8.0)
    others = [name for name in HOSTS if name != FIRST]
    for host in others:
        server.on_lending(0.0, host, others)
    advance(server, 0.0, 1.0, connected=others)
    granted = ask(server, 1.0)["granted"]
    assert 0 < granted <= 8 * INITIAL_SLACK_SHARE + 8


def test_hosts_that_ask_another_server_lend_nothing() -> None:
    server = new_server()
    for host in HOSTS[1:]:
        if host != FIRST:
            ask(server, 0.0, want=0, host=host, elsewhere=True)
    advance(server, 0.0, 1.0)
    assert ask(server, 1.0, host=FIRST)["granted"] <= 3


def test_a_server_that_does_not_know_the_hosts_yet_gains_nothing() -> None:
    """Guards against a daemon that has just started and takes a whole quota for its share."""
    server = QuotaServer(FIRST)
    server.adopt(0.0, Directory(fleet_of(8.0, 16.0)))
    granted = [ask(server, number / 10, lends_ms=number * 100) for number in range(100)]
    assert sum(each["granted"] for each in granted) == 0
    assert granted[-1]["again_ms"] == MAX_RETRY_AFTER_S * 1000


def test_an_unknown_customer_is_reported_and_an_unlimited_one_is_granted_everything() -> None:
    server = new_server()
    assert not ask(server, 0.0, customer="nobody")["known"]
    server.adopt(0.0, Directory(fleet_of(0.0, 0.0)))
    assert ask(server, 0.0)["granted"] == 100


def test_candidates_are_few_deterministic_and_stable() -> None:
    names = [f"host-{each}" for each in range(400)]
    taken = quota_server_candidates(names)
    assert len(taken) == 400 // 16
    assert quota_server_candidates(reversed(names)) == taken
    assert len(set(taken) & set(quota_server_candidates(names[1:]))) >= len(taken) - 2
    assert len(quota_server_candidates(names[:20])) == MIN_CANDIDATES
