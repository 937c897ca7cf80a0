"""Tests of the election of readers and of the version that a daemon holds."""

from __future__ import annotations

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
