"""A restarted daemon waits until the departures it acknowledged before are known."""

from __future__ import annotations

from foldhoist.membership.startup_barrier import StartupBarrier


def test_a_first_incarnation_does_not_wait() -> None:
    assert StartupBarrier(first=True).done


def test_neither_the_store_nor_a_peer_alone_is_enough() -> None:
    """Either may lack a departure that the other has recorded."""
    from_store = StartupBarrier(first=False)
    from_store.store_answered({"b"})
    assert not from_store.done
    from_peer = StartupBarrier(first=False)
    from_peer.peer_remembered()
    assert not from_peer.done


def test_the_store_and_a_peer_with_records_are_enough() -> None:
    barrier = StartupBarrier(first=False)
    barrier.peer_remembered()
    barrier.store_answered({"b", "c"})
    assert barrier.done


def test_the_answers_of_all_peers_without_records_are_enough() -> None:
    barrier = StartupBarrier(first=False)
    barrier.store_answered({"b", "c"})
    barrier.peer_answered("b")
    assert not barrier.done
    barrier.peer_answered("c")
    assert barrier.done


def test_the_store_is_enough_if_it_names_no_peers() -> None:
    barrier = StartupBarrier(first=False)
    barrier.store_answered(set())
    assert barrier.done


def test_giving_up_ends_the_wait() -> None:
    barrier = StartupBarrier(first=False)
    barrier.give_up()
    assert barrier.done


def test_unreachable_peers_are_not_waited_for_but_the_store_is() -> None:
    barrier = StartupBarrier(first=False)
    barrier.wait_elapsed()
    assert not barrier.done
    barrier.store_answered({"gone"})
    assert barrier.done
