"""Neighbours on a ring of names."""

from __future__ import annotations

from foldhoist.membership.hash_ring import HashRing


def test_the_names_behind_one_come_once_each_and_not_the_one_itself() -> None:
    ring = HashRing()
    names = [f"n{number}" for number in range(20)]
    for name in names:
        ring.add(name)
        ring.add(name)
    assert len(ring) == 20
    behind = list(ring.after("n3"))
    assert sorted(behind) == sorted(set(names) - {"n3"})
    assert next(iter(ring.after(behind[0]))) == behind[1]
    assert next(iter(ring.after(behind[-1]))) == "n3"


def test_one_that_is_not_on_the_ring_has_a_place_too() -> None:
    ring = HashRing()
    for name in ("a", "b", "c"):
        ring.add(name)
    assert sorted(ring.after("elsewhere")) == ["a", "b", "c"]


def test_who_is_taken_out_is_not_met_again() -> None:
    ring = HashRing()
    for name in ("a", "b", "c"):
        ring.add(name)
    ring.discard("b")
    ring.discard("b")
    assert sorted(ring) == ["a", "c"]
    assert list(HashRing().after("a")) == []
