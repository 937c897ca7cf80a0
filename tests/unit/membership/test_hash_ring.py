"""Successors of a name on the hash ring."""

from __future__ import annotations

from foldhoist.membership.hash_ring import HashRing


def test_the_successors_of_a_name_are_all_other_names_once() -> None:
    ring = HashRing()
    names = [f"n{number}" for number in range(20)]
    for name in names:
        ring.add(name)
        ring.add(name)
    assert len(ring) == 20
    successors = list(ring.after("n3"))
    assert sorted(successors) == sorted(set(names) - {"n3"})
    assert next(iter(ring.after(successors[0]))) == successors[1]
    assert next(iter(ring.after(successors[-1]))) == "n3"


def test_a_name_that_is_not_on_the_ring_has_successors_too() -> None:
    ring = HashRing()
    for name in ("a", "b", "c"):
        ring.add(name)
    assert sorted(ring.after("elsewhere")) == ["a", "b", "c"]


def test_a_removed_name_is_no_longer_returned() -> None:
    ring = HashRing()
    for name in ("a", "b", "c"):
        ring.add(name)
    ring.discard("b")
    ring.discard("b")
    assert sorted(ring) == ["a", "c"]
    assert list(HashRing().after("a")) == []
