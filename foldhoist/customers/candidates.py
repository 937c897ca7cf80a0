"""Which hosts keep the quotas of customers: everyone who knows the same hosts picks the same."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

from foldhoist.routing.rendezvous import ranked, weight

if TYPE_CHECKING:
    from collections.abc import Iterable

MIN_CANDIDATES = 8
"""Hosts that keep quotas at least: each daemon is connected with all of them."""
HOSTS_PER_CANDIDATE = 16
"""Of more hosts, one in so many keeps quotas, so that the work of one stays bounded."""
_RANKING_KEY = "keeper of quotas"
"""What the hosts are ranked for."""


def quota_server_candidates(hosts: Iterable[str]) -> tuple[str, ...]:
    """Return the hosts that keep quotas; one host more or less moves one seat at most or two."""
    names = set(hosts)
    count = max(MIN_CANDIDATES, len(names) // HOSTS_PER_CANDIDATE)
    return tuple(sorted(sorted(names, key=_weight, reverse=True)[:count]))


def ranked_servers(customer: str, candidates: Iterable[str]) -> list[str]:
    """Return the hosts that may keep a customer's quota, the first to be asked first."""
    return ranked(candidates, customer)


@lru_cache(maxsize=8192)
def _weight(host: str) -> tuple[bytes, str]:
    return weight(host, _RANKING_KEY), host
