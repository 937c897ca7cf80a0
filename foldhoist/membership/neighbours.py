"""Whom a daemon keeps connections to, and which upstreams it tracks; no I/O.

All daemons of its own data centre; of the others some upstreams of each service, and some daemons
that pass news on there. The state of a daemon grows with its data centre and with the number of
services, not with the fleet. Of one service the picks of daemons differ, so that each upstream has
about as many ingresses as any other.
"""

from __future__ import annotations

from collections import defaultdict
from itertools import islice
from typing import TYPE_CHECKING

from foldhoist.membership.hash_ring import HashRing

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_LOCAL = 18
"""Upstreams of one service in the own data centre that a daemon tracks, at most."""
MIN_REMOTE = 6
"""Upstreams of one service in other data centres that it tracks, if there are that many."""
MIN_TRACKED = 16
"""With fewer upstreams of a service near, so many more far ones are tracked."""
RELAYS_PER_DATA_CENTRE = 2
"""Daemons of each other data centre to which a daemon gives its news, and which pass it on there.

With one, a relay that is lost at that moment would keep its data centre from the news.
"""
SCAN_FACTOR = 2
"""Places on a ring that are looked at for each upstream wanted: those that are away, or have no
upstream just now, stay connected or are tried again, and others are taken beside them.
"""


class Neighbours:
    """The other daemons by data centre and by service, each on a ring."""

    def __init__(self, name: str, data_centre: str) -> None:
        self._name = name
        self._data_centre = data_centre
        self._by_data_centre: dict[str, HashRing] = defaultdict(HashRing)
        self._local: dict[str, HashRing] = defaultdict(HashRing)
        self._remote: dict[str, HashRing] = defaultdict(HashRing)

    def add(self, name: str, data_centre: str, service: str) -> None:
        """Take in a daemon; with an empty service it has no upstream that is known."""
        self._by_data_centre[data_centre].add(name)
        if service:
            self._rings_for(data_centre)[service].add(name)

    def discard(self, name: str, data_centre: str, service: str) -> None:
        """Take a daemon out; data centre and service are those it was taken in with."""
        _discard(self._by_data_centre, data_centre, name)
        if service:
            _discard(self._rings_for(data_centre), service, name)

    @property
    def services(self) -> set[str]:
        """Return the services that any daemon has an upstream of."""
        return {*self._local, *self._remote}

    def local_daemons(self) -> list[str]:
        """Return every other daemon of the own data centre."""
        own = self._by_data_centre.get(self._data_centre)
        return list(own) if own is not None else []

    def relays(self) -> set[str]:
        """Return the daemons of other data centres that are given news to pass on there."""
        found: set[str] = set()
        for data_centre, ring in self._by_data_centre.items():
            if data_centre != self._data_centre:
                found.update(islice(ring.after(self._name), RELAYS_PER_DATA_CENTRE))
        return found

    def local(self, service: str, is_usable: Callable[[str], bool]) -> list[str]:
        """Return the daemons of the own data centre to track for a service."""
        return _first(self._local.get(service), self._name, MAX_LOCAL, is_usable)

    def remote(self, service: str, is_usable: Callable[[str], bool]) -> list[str]:
        """Return the daemons elsewhere to connect to and to track for a service."""
        ring = self._local.get(service)
        near = min(MAX_LOCAL, len(ring)) if ring is not None else 0
        return _first(
            self._remote.get(service), self._name, max(MIN_REMOTE, MIN_TRACKED - near), is_usable
        )

    def _rings_for(self, data_centre: str) -> dict[str, HashRing]:
        return self._local if data_centre == self._data_centre else self._remote


def _first(
    ring: HashRing | None, name: str, most: int, is_usable: Callable[[str], bool]
) -> list[str]:
    """Return the names behind this one with `most` usable ones, and those passed over."""
    found: list[str] = []
    if ring is None:
        return found
    usable = 0
    for other in ring.after(name):
        if usable == most or len(found) == SCAN_FACTOR * most:
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
