"""An upstream that starts again under its id is another life, and serves again.

By hand on the class that keeps what an upstream says: after sequence 57, sequence 1 under the same
id changed nothing; after a leaving that was acknowledged, the same id with sequence 1 stayed
`leaving` for good. A life was told by its id alone; nothing read when it had started.
"""

from __future__ import annotations

from typing import Any

from foldhoist.membership.upstream import LATE_S, SILENT_S, AnnouncementResult, OwnUpstream
from tests.unit.membership.test_registry import announced


def beat(born_ms: int, sequence: int, state: str = "ready", instance: str = "i-1") -> Any:
    return {**announced(instance, state=state), "sequence": sequence, "born_ms": born_ms}


def test_counts_that_start_anew_are_heard() -> None:
    own = OwnUpstream()
    own.apply_announcement(beat(1000, 57), 0.0)
    assert own.apply_announcement(beat(9000, 1), 1.0) is AnnouncementResult.STATE
    assert own.current is not None
    assert own.current["sequence"] == 1


def test_a_leaving_binds_the_life_that_said_it_alone() -> None:
    own = OwnUpstream()
    own.apply_announcement(beat(1000, 1), 0.0)
    assert own.apply_announcement(beat(1000, 2, "leaving"), 1.0) is AnnouncementResult.LEAVING
    assert own.apply_announcement(beat(1000, 3), 2.0) is AnnouncementResult.NOTHING
    assert own.apply_announcement(beat(9000, 1), 3.0) is AnnouncementResult.STATE
    assert own.current is not None
    assert own.current["state"] == "ready"


def test_late_words_of_an_older_life_change_nothing() -> None:
    own = OwnUpstream()
    own.apply_announcement(beat(1000, 57), 0.0)
    own.apply_announcement(beat(9000, 1), 1.0)
    assert own.apply_announcement(beat(1000, 58), 1.1) is AnnouncementResult.NOTHING
    assert own.apply_announcement(beat(1000, 59, "leaving"), 1.2) is AnnouncementResult.NOTHING
    assert own.apply_departure("i-1", 1.3, 99_000, born_ms=1000) is AnnouncementResult.NOTHING
    assert own.current is not None
    assert (own.current["born_ms"], own.current["state"]) == (9000, "ready")


def test_late_words_of_an_older_life_with_another_id_change_nothing() -> None:
    own = OwnUpstream()
    own.apply_announcement(beat(9000, 1, instance="i-2"), 0.0)
    for sequence in (5, 6, 7):
        assert own.apply_announcement(beat(1000, sequence), 0.1) is AnnouncementResult.NOTHING


def test_a_life_whose_clock_was_set_back_is_heard_once_the_known_one_is_silent() -> None:
    own = OwnUpstream()
    own.apply_announcement(beat(9000, 57), 0.0)
    assert own.apply_announcement(beat(1000, 1), 1.0) is AnnouncementResult.NOTHING
    assert own.apply_announcement(beat(1000, 2), 2.0) is AnnouncementResult.NOTHING
    assert own.apply_announcement(beat(1000, 3), SILENT_S) is AnnouncementResult.STATE


def test_it_is_not_while_the_known_one_speaks() -> None:
    own = OwnUpstream()
    for step in range(20):
        own.apply_announcement(beat(9000, step + 1), float(step))
        assert (
            own.apply_announcement(beat(1000, step + 1), step + 0.5) is AnnouncementResult.NOTHING
        )


def test_an_end_that_names_the_id_alone_binds_the_life_that_is_known() -> None:
    own = OwnUpstream()
    own.apply_announcement(beat(1000, 1), 0.0)
    assert own.apply_departure("i-1", 1.0, 5000) is AnnouncementResult.LEAVING
    assert own.apply_announcement(beat(1000, 2), 2.0) is AnnouncementResult.NOTHING
    assert own.apply_announcement(beat(9000, 1), 3.0) is AnnouncementResult.STATE


def test_it_is_not_taken_where_it_may_be_a_late_word_of_the_life_before() -> None:
    """Taken for the new life's it would keep a host out; who is asked again means the new one."""
    own = OwnUpstream()
    own.apply_announcement(beat(1000, 57), 0.0)
    own.apply_announcement(beat(9000, 1), 1.0)
    assert own.apply_departure("i-1", 1.5, 9500) is AnnouncementResult.UNSURE
    assert own.apply_departure("i-1", 1.0 + LATE_S, 20_000) is AnnouncementResult.LEAVING


def test_an_end_that_names_the_id_alone_before_all_binds_what_started_until_then() -> None:
    own = OwnUpstream()
    assert own.apply_departure("i-1", 0.0, 5000) is AnnouncementResult.LEAVING
    assert own.apply_announcement(beat(4000, 2), 1.0) is AnnouncementResult.NOTHING
    assert own.apply_announcement(beat(6000, 1), 2.0) is AnnouncementResult.STATE


def test_a_word_without_a_start_is_of_the_life_that_is_known() -> None:
    own = OwnUpstream()
    own.apply_announcement(beat(1000, 5), 0.0)
    assert own.apply_announcement(beat(0, 4, "leaving"), 1.0) is AnnouncementResult.NOTHING
    assert own.apply_announcement(beat(0, 6, "leaving"), 2.0) is AnnouncementResult.LEAVING
    assert own.apply_announcement(beat(1000, 7), 3.0) is AnnouncementResult.NOTHING


def test_a_start_that_is_told_later_than_the_first_words_is_no_other_life() -> None:
    own = OwnUpstream()
    own.apply_announcement(beat(0, 5), 0.0)
    assert own.apply_announcement(beat(1000, 4), 1.0) is AnnouncementResult.NOTHING
    assert own.apply_announcement(beat(1000, 6), 2.0) is not AnnouncementResult.LEAVING
    assert own.apply_announcement(beat(1000, 1), 3.0) is AnnouncementResult.NOTHING
