"""Choice of the quota servers; hosts that know the same hosts choose the same servers."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

from foldhoist.routing.rendezvous import home, ranked, weight

if TYPE_CHECKING:
    from collections.abc import Iterable

MIN_CANDIDATES = 8
"""Fewest candidates, if there are as many hosts; each daemon is connected to all of them."""
HOSTS_PER_CANDIDATE = 16
"""Hosts per candidate in a fleet too large for `MIN_CANDIDATES`; bounds the load on each."""
_RANKING_KEY = "keeper of quotas"
"""Key of the ranking of hosts; all daemons must use the same."""


def quota_server_candidates(hosts: Iterable[str]) -> tuple[str, ...]:
    """Return the hosts that may serve quotas, sorted by name.

    Adding or removing one host changes at most two of them.
    """
    names = set(hosts)
    count = max(MIN_CANDIDATES, len(names) // HOSTS_PER_CANDIDATE)
    return tuple(sorted(sorted(names, key=_weight, reverse=True)[:count]))


def ranked_servers(customer: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates in the order in which they are asked for a customer's credit."""
    return ranked(candidates, customer)


def first_server(customer: str, servers: Iterable[str]) -> str | None:
    """Return the server that is asked first for a customer's credit, or None without servers."""
    return home(servers, customer)


@lru_cache(maxsize=8192)
def _weight(host: str) -> tuple[bytes, str]:
    return weight(host, _RANKING_KEY), host
