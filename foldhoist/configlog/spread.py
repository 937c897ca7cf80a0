"""How a generation spreads: readers per data centre, a fan-out tree, and questions to peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from foldhoist.routing.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random


class Place(NamedTuple):
    """One daemon's place in the spread: names of the daemons that it deals with."""

    reader: bool
    children: tuple[str, ...]
    partners: tuple[str, ...]


def place_of(
    name: str, by_data_centre: Mapping[str, list[str]], own: str, readers: int, fanout: int
) -> Place:
    """Return a daemon's place; everyone with the same configuration finds the same tree."""
    order = ranked(by_data_centre.get(own, []), own)
    if name not in order:
        return Place(True, (), tuple(order[:readers]))
    at = order.index(name)
    first = readers + at * fanout
    children = tuple(order[first : first + fanout])
    near = [*_parent(order, at, readers, fanout), *order[:readers], order[(at + 1) % len(order)]]
    far = _far_readers(by_data_centre, own, readers) if at < readers else []
    partners = tuple(dict.fromkeys(each for each in [*near, *far] if each != name))
    return Place(at < readers, children, partners)


def next_partner(place: Place, rng: Random) -> str | None:
    """Return the peer to ask next, or None if there is none."""
    if not place.partners:
        return None
    return place.partners[int(rng.random() * len(place.partners))]


def _parent(order: list[str], at: int, readers: int, fanout: int) -> list[str]:
    if at < readers:
        return []
    return [order[(at - readers) // fanout]]


def _far_readers(by_data_centre: Mapping[str, list[str]], own: str, readers: int) -> list[str]:
    far: list[str] = []
    for data_centre, names in sorted(by_data_centre.items()):
        if data_centre != own:
            far += ranked(names, data_centre)[:readers]
    return far
