"""A daemon's new life serves its upstream once it has heard of its earlier ones."""

from __future__ import annotations

from foldhoist.membership.startup_barrier import StartupBarrier


def test_the_first_life_has_nothing_to_hear() -> None:
    assert StartupBarrier(first=True).done


def test_the_stores_word_alone_is_not_enough_and_neither_is_a_peers() -> None:
    """The store may have missed what a peer has noted, and the other way round."""
    from_store = StartupBarrier(first=False)
    from_store.store_answered({"b"})
    assert not from_store.done
    from_peer = StartupBarrier(first=False)
    from_peer.peer_remembered()
    assert not from_peer.done


def test_the_store_and_a_peer_that_remembers_are_enough() -> None:
    barrier = StartupBarrier(first=False)
    barrier.peer_remembered()
    barrier.store_answered({"b", "c"})
    assert barrier.done


def test_peers_that_remember_nothing_are_enough_if_all_have_said_so() -> None:
    barrier = StartupBarrier(first=False)
    barrier.store_answered({"b", "c"})
    barrier.peer_answered("b")
    assert not barrier.done
    barrier.peer_answered("c")
    assert barrier.done


def test_where_the_store_knows_no_peers_its_word_is_enough() -> None:
    barrier = StartupBarrier(first=False)
    barrier.store_answered(set())
    assert barrier.done


def test_waiting_ends() -> None:
    barrier = StartupBarrier(first=False)
    barrier.give_up()
    assert barrier.done


def test_peers_that_cannot_be_reached_are_not_waited_for_but_the_store_is() -> None:
    barrier = StartupBarrier(first=False)
    barrier.wait_elapsed()
    assert not barrier.done
    barrier.store_answered({"gone"})
    assert barrier.done
