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

from foldhoist.membership.ring import Ring

if TYPE_CHECKING:
    from collections.abc import Callable

NEAR = 18
"""Upstreams of one service in the own data centre that a daemon tracks, at most."""
FAR = 6
"""Upstreams of one service in other data centres that it tracks, if there are that many."""
ENOUGH = 16
"""With fewer upstreams of a service near, so many more far ones are tracked."""
RELAYS = 2
"""Daemons of each other data centre to which a daemon gives its news, and which pass it on there.

With one, a relay that is lost at that moment would keep its data centre from the news.
"""
PASSED_OVER = 2
"""Places on a ring that are looked at for each upstream wanted: those that are away, or have no
upstream just now, stay connected or are tried again, and others are taken beside them.
"""


class Neighbours:
    """The other daemons by data centre and by service, each on a ring."""

    def __init__(self, name: str, data_centre: str) -> None:
        self._name = name
        self._data_centre = data_centre
        self._centres: dict[str, Ring] = defaultdict(Ring)
        self._near: dict[str, Ring] = defaultdict(Ring)
        self._far: dict[str, Ring] = defaultdict(Ring)

    def add(self, name: str, data_centre: str, service: str) -> None:
        """Take in a daemon; with an empty service it has no upstream that is known."""
        self._centres[data_centre].add(name)
        if service:
            self._side(data_centre)[service].add(name)

    def discard(self, name: str, data_centre: str, service: str) -> None:
        """Take a daemon out; data centre and service are those it was taken in with."""
        _discard(self._centres, data_centre, name)
        if service:
            _discard(self._side(data_centre), service, name)

    @property
    def services(self) -> set[str]:
        """Return the services that any daemon has an upstream of."""
        return {*self._near, *self._far}

    def centre(self) -> list[str]:
        """Return every other daemon of the own data centre."""
        own = self._centres.get(self._data_centre)
        return list(own) if own is not None else []

    def relays(self) -> set[str]:
        """Return the daemons of other data centres that are given news to pass on there."""
        found: set[str] = set()
        for data_centre, ring in self._centres.items():
            if data_centre != self._data_centre:
                found.update(islice(ring.after(self._name), RELAYS))
        return found

    def near(self, service: str, is_usable: Callable[[str], bool]) -> list[str]:
        """Return the daemons of the own data centre to track for a service."""
        return _first(self._near.get(service), self._name, NEAR, is_usable)

    def far(self, service: str, is_usable: Callable[[str], bool]) -> list[str]:
        """Return the daemons elsewhere to connect to and to track for a service."""
        ring = self._near.get(service)
        near = min(NEAR, len(ring)) if ring is not None else 0
        return _first(self._far.get(service), self._name, max(FAR, ENOUGH - near), is_usable)

    def _side(self, data_centre: str) -> dict[str, Ring]:
        return self._near if data_centre == self._data_centre else self._far


def _first(ring: Ring | None, name: str, most: int, is_usable: Callable[[str], bool]) -> list[str]:
    """Return the names behind this one with `most` usable ones, and those passed over."""
    found: list[str] = []
    if ring is None:
        return found
    usable = 0
    for other in ring.after(name):
        if usable == most or len(found) == PASSED_OVER * most:
            break
        found.append(other)
        usable += is_usable(other)
    return found


def _discard(rings: dict[str, Ring], key: str, name: str) -> None:
    ring = rings.get(key)
    if ring is None:
        return
    ring.discard(name)
    if not len(ring):
        del rings[key]
