"""Selects the peers that a daemon connects to and the upstreams that it tracks; no I/O.

A daemon connects to every daemon of its data centre. In other data centres it connects to the
daemons of some upstreams of each service and to some relays. Its state grows with its data centre
and the number of services, not with the fleet. Daemons select different upstreams of a service, so
that each upstream has about the same number of ingresses.
"""

from __future__ import annotations

from collections import defaultdict
from itertools import islice
from typing import TYPE_CHECKING

from foldhoist.membership.hash_ring import HashRing

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_LOCAL = 18
"""Maximum number of usable upstreams of one service tracked in this data centre."""
MIN_REMOTE = 6
"""Number of upstreams of one service tracked in other data centres at least, if they exist."""
MIN_TRACKED = 16
"""Upstreams of one service tracked in total; missing local ones are replaced by remote ones."""
RELAYS_PER_DATA_CENTRE = 2
"""Daemons of each other data centre that forward membership updates there.

There are two, so that updates still arrive when one is lost.
"""
SCAN_FACTOR = 2
"""Most ring entries selected for each upstream wanted.

Unusable peers stay selected, so that they are retried, and further ones are selected beside them.
"""


class Neighbours:
    """The other daemons by data centre and by service, each on a hash ring."""

    def __init__(self, name: str, data_centre: str) -> None:
        self._name = name
        self._data_centre = data_centre
        self._by_data_centre: dict[str, HashRing] = defaultdict(HashRing)
        self._local: dict[str, HashRing] = defaultdict(HashRing)
        self._remote: dict[str, HashRing] = defaultdict(HashRing)

    def add(self, name: str, data_centre: str, service: str) -> None:
        """Add a daemon; an empty service means that no upstream of it is known."""
        self._by_data_centre[data_centre].add(name)
        if service:
            self._rings_for(data_centre)[service].add(name)

    def discard(self, name: str, data_centre: str, service: str) -> None:
        """Remove a daemon; data centre and service must be those it was added with."""
        _discard(self._by_data_centre, data_centre, name)
        if service:
            _discard(self._rings_for(data_centre), service, name)

    @property
    def services(self) -> set[str]:
        """Return the services that have an upstream at any other daemon."""
        return {*self._local, *self._remote}

    def local_daemons(self) -> list[str]:
        """Return every other daemon of this data centre."""
        own = self._by_data_centre.get(self._data_centre)
        return list(own) if own is not None else []

    def relays(self) -> set[str]:
        """Return the daemons of other data centres that forward membership updates there."""
        found: set[str] = set()
        for data_centre, ring in self._by_data_centre.items():
            if data_centre != self._data_centre:
                found.update(islice(ring.after(self._name), RELAYS_PER_DATA_CENTRE))
        return found

    def local(self, service: str, is_usable: Callable[[str], bool]) -> list[str]:
        """Return the daemons of this data centre to track for a service."""
        return _take_usable(self._local.get(service), self._name, MAX_LOCAL, is_usable)

    def remote(self, service: str, is_usable: Callable[[str], bool]) -> list[str]:
        """Return the daemons of other data centres to connect to and to track for a service."""
        ring = self._local.get(service)
        local = min(MAX_LOCAL, len(ring)) if ring is not None else 0
        return _take_usable(
            self._remote.get(service), self._name, max(MIN_REMOTE, MIN_TRACKED - local), is_usable
        )

    def _rings_for(self, data_centre: str) -> dict[str, HashRing]:
        return self._local if data_centre == self._data_centre else self._remote


def _take_usable(
    ring: HashRing | None, name: str, limit: int, is_usable: Callable[[str], bool]
) -> list[str]:
    """Return the names after this one, until `limit` of them are usable.

    The unusable ones between them are included, `SCAN_FACTOR` times `limit` names at most.
    """
    found: list[str] = []
    if ring is None:
        return found
    usable = 0
    for other in ring.after(name):
        if usable == limit or len(found) == SCAN_FACTOR * limit:
            break
        found.append(other)
        usable += is_usable(other)
    return found


def _discard(rings: dict[str, HashRing], key: str, name: str) -> None:
    ring = rings.get(key)
    if ring is None:
        return
    ring.discard(name)
    if not len(ring):
        del rings[key]
