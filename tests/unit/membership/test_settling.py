"""A daemon's new life serves its upstream once it has heard of its earlier ones."""

from __future__ import annotations

from foldhoist.membership.settling import Settling


def test_the_first_life_has_nothing_to_hear() -> None:
    assert Settling(first=True).done


def test_the_stores_word_alone_is_not_enough_and_neither_is_a_peers() -> None:
    """The store may have missed what a peer has noted, and the other way round."""
    by_store = Settling(first=False)
    by_store.store_answered({"b"})
    assert not by_store.done
    by_peer = Settling(first=False)
    by_peer.peer_remembered()
    assert not by_peer.done


def test_the_store_and_a_peer_that_remembers_are_enough() -> None:
    settling = Settling(first=False)
    settling.peer_remembered()
    settling.store_answered({"b", "c"})
    assert settling.done


def test_peers_that_remember_nothing_are_enough_if_all_have_said_so() -> None:
    settling = Settling(first=False)
    settling.store_answered({"b", "c"})
    settling.peer_answered("b")
    assert not settling.done
    settling.peer_answered("c")
    assert settling.done


def test_where_the_store_knows_no_peers_its_word_is_enough() -> None:
    settling = Settling(first=False)
    settling.store_answered(set())
    assert settling.done


def test_waiting_ends() -> None:
    settling = Settling(first=False)
    settling.give_up()
    assert settling.done


def test_peers_that_cannot_be_reached_are_not_waited_for_but_the_store_is() -> None:
    settling = Settling(first=False)
    settling.waited()
    assert not settling.done
    settling.store_answered({"gone"})
    assert settling.done
