"""Tests of the election of readers and of the version that a daemon holds."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

import pytest

from foldhoist.configlog.versions import (
    READERS,
    REPORT_INTERVAL_S,
    REPORT_TIMEOUT_S,
    TAKEOVER_STEP_S,
    CurrentVersion,
    ReaderElection,
    Reply,
    Version,
)

NAMES = [f"d{number}" for number in range(6)]


def all_readers() -> dict[str, ReaderElection]:
    found = {name: ReaderElection(name, 6.0) for name in NAMES}
    for readers in found.values():
        readers.set_peers(NAMES)
    return found


def daemons_that_read(
    found: dict[str, ReaderElection], now: float, reported_by: list[str]
) -> list[str]:
    """Return the daemons that read after `reported_by` report that the store answers them."""
    for name in reported_by:
        for other, readers in found.items():
            if other != name:
                readers.on_report(now, name, 0.0)
    return [name for name, readers in found.items() if readers.should_read(now)]


def test_all_daemons_elect_the_same_readers() -> None:
    found = all_readers()
    first = daemons_that_read(found, 0.0, NAMES)
    assert len(first) == READERS
    assert daemons_that_read(found, 0.1, first) == first


def test_without_reports_the_other_daemons_take_over_one_after_the_other() -> None:
    found = all_readers()
    first = daemons_that_read(found, 0.0, NAMES)
    silent = REPORT_TIMEOUT_S + 0.1
    assert set(daemons_that_read(found, silent, [])) >= set(first)
    counts = [
        len(daemons_that_read(found, silent + step * TAKEOVER_STEP_S, [])) for step in range(1, 6)
    ]
    assert counts == sorted(counts)
    assert counts[-1] == len(NAMES)


def test_a_restarted_daemon_waits_for_reports_before_it_takes_over() -> None:
    """A restarted daemon must not read the store before the readers could report."""
    found = all_readers()
    first = daemons_that_read(found, 0.0, [])
    assert len(first) == READERS
    assert daemons_that_read(found, REPORT_INTERVAL_S - 0.01, []) == first
    assert len(daemons_that_read(found, REPORT_INTERVAL_S + 0.01, [])) > READERS


def test_one_answered_reader_prevents_a_takeover() -> None:
    found = all_readers()
    first = daemons_that_read(found, 0.0, NAMES)
    others = [name for name in NAMES if name not in first]
    for number in range(50):
        now = number * 0.5
        assert set(daemons_that_read(found, now, first[:1])) <= set(first)
    assert others


def test_a_report_of_an_old_answer_does_not_count() -> None:
    readers = ReaderElection("d0", 6.0)
    readers.set_peers(NAMES)
    order = [name for name in NAMES if name != "d0"]
    for number in range(20):
        for name in order:
            readers.on_report(number * 0.5, name, 1000.0)
        last = readers.should_read(number * 0.5)
    assert last


def test_a_daemon_without_peers_reads() -> None:
    assert ReaderElection("d0", 6.0).should_read(0.0)


def test_a_daemon_that_starts_on_an_unusable_version_takes_an_older_one_from_a_peer() -> None:
    held = CurrentVersion()
    assert held.wants(7)
    held.mark_unusable(Version(7, b"broken"))
    assert not held.wants(7)
    assert held.reply(7, asked=False) is Reply.NOTHING
    assert held.reply(6, asked=False) is Reply.REQUEST
    held.adopt(Version(6, b"good"))
    assert not held.wants(6)
    assert not held.wants(7)
    assert held.wants(8)


def test_the_reply_depends_on_the_peers_version() -> None:
    held = CurrentVersion()
    held.adopt(Version(5, b"five"))
    assert held.reply(4, asked=False) is Reply.CONTENT
    assert held.reply(5, asked=False) is Reply.NOTHING
    assert held.reply(5, asked=True) is Reply.NUMBER
    assert held.reply(9, asked=True) is Reply.REQUEST


CONTACT_S = 3.0
"""A host is in touch again this long after its connections have gone silent, seconds."""
CYCLE_S = 3.2
"""The default interval of a reader's reads, seconds."""
GIVEN_UP_AFTER_S = 0.9 + 0.15
"""A read that hangs is followed by the next one after its wait and this time, seconds."""


class Read(NamedTuple):
    """A read of the store and when its wait ends, seconds."""

    began: float
    ends: float


def reads_of(names: list[str], seed: int, until: float) -> dict[str, list[Read]]:
    """Return the reads of these readers, which begin at random moments and get no news."""
    rng = Random(seed)
    found = {name: ReaderElection(name, CYCLE_S + 1.5) for name in names}
    reads: dict[str, list[Read]] = {}
    for name, readers in found.items():
        readers.set_peers(names)
        began = rng.random() * CYCLE_S
        reads[name] = [Read(began, began)]
    report_at = 0.0
    while True:
        name = min(names, key=lambda each: reads[each][-1].ends)
        now = reads[name][-1].ends
        if report_at < now:
            for sender in names:
                for each in names:
                    if each != sender and reads[sender][-1].began <= report_at:
                        age_s = report_at - reads[sender][-1].began
                        found[each].on_report(report_at, sender, age_s)
            report_at += REPORT_INTERVAL_S
            continue
        if now > until:
            return reads
        wait_s = found[name].poll_wait_s(now, CYCLE_S, has_news=False)
        reads[name].append(Read(now, now + wait_s * (1.0 - 0.05 * rng.random())))


@pytest.mark.parametrize("names", [["a", "b"], ["a"]])
@pytest.mark.parametrize("seed", range(20))
def test_a_reader_reads_again_soon_after_all_connections_went_silent(
    names: list[str], seed: int
) -> None:
    """Guards against readers that wait on silent connections while a change is due."""
    reads = reads_of(names, seed, until=100.0)
    for moment in range(300, 900):
        silent_at = moment / 10
        hanging = [
            each for own in reads.values() for each in own if each.began <= silent_at < each.ends
        ]
        again_at = min(each.ends for each in hanging) + GIVEN_UP_AFTER_S
        assert again_at <= silent_at + CONTACT_S


def test_readers_in_turn_read_no_more_often_than_once_each_in_a_cycle() -> None:
    """Guards against corrections of the turn that cost calls."""
    reads = reads_of(["a", "b"], seed=1, until=1000.0)
    total = sum(len(own) for own in reads.values())
    assert total <= 1.06 * READERS * 1000.0 / CYCLE_S
