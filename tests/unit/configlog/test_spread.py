"""Tests of the fan-out tree, the choice of peers and the takeover of reading the log."""

from __future__ import annotations

import random

from foldhoist.configlog.spread import PeerSelector, role_of

NAMES = {"a": [f"a{i}" for i in range(200)], "b": [f"b{i}" for i in range(10)]}


def test_the_tree_reaches_every_daemon_once() -> None:
    roles = {name: role_of(name, NAMES, "a", 3, 8) for name in NAMES["a"]}
    readers = [name for name, role in roles.items() if role.reader]
    assert len(readers) == 3
    reached = list(readers)
    for name in reached:
        reached += roles[name].children
    assert sorted(reached) == sorted(NAMES["a"])


def test_a_daemon_reads_the_log_when_the_last_known_read_is_old() -> None:
    name = next(n for n in NAMES["a"] if not role_of(n, NAMES, "a", 3, 8).reader)
    peers = PeerSelector(name, 1.0, random.Random(1))
    peers.role = role_of(name, NAMES, "a", 3, 8)
    held = {"generation": 1, "name": "a1", "reader": "a2", "age_ms": 200}
    peers.on_answer(100.0, held, behind=False)  # type: ignore[arg-type]
    assert not peers.should_read(101.0)
    assert peers.should_read(130.0)


def test_an_answer_that_names_the_daemon_itself_as_reader_is_ignored() -> None:
    peers = PeerSelector("a0", 1.0, random.Random(1))
    peers.role = role_of("a0", NAMES, "a", 3, 8)._replace(reader=False)
    echo = {"generation": 1, "name": "a1", "reader": "a0", "age_ms": 0}
    peers.on_answer(100.0, echo, behind=False)  # type: ignore[arg-type]
    assert peers.should_read(100.0)


def test_silent_peers_are_asked_less() -> None:
    peers = PeerSelector("b0", 1.0, random.Random(1))
    peers.role = role_of("b0", NAMES, "b", 3, 8)
    asked = [peers.next_peer(float(i) / 100) for i in range(200)]
    counts = {name: asked.count(name) for name in set(asked)}
    assert len(counts) > 5
    answering = "b1"
    held = {"generation": 1, "name": answering, "reader": "", "age_ms": 0}
    later = []
    for i in range(100):
        peers.on_answer(3.0 + i / 1000, held, behind=False)  # type: ignore[arg-type]
        later.append(peers.next_peer(3.0 + i / 1000))
    assert later.count(answering) > 50
