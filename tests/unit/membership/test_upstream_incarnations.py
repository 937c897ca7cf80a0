"""A restarted upstream is a new incarnation, which is served again under the same id.

Guards against identifying incarnations by id alone: announcements after a restart were ignored.
"""

from __future__ import annotations

from typing import Any

from foldhoist.membership.upstream import (
    REORDER_WINDOW_S,
    SILENT_S,
    AnnouncementResult,
    OwnUpstream,
)
from tests.unit.membership.test_registry import announced


def announcement(born_ms: int, sequence: int, state: str = "ready", instance: str = "i-1") -> Any:
    return {**announced(instance, state=state), "sequence": sequence, "born_ms": born_ms}


def test_a_sequence_that_restarts_with_a_new_incarnation_is_accepted() -> None:
    own = OwnUpstream()
    own.apply_announcement(announcement(1000, 57), 0.0)
    assert own.apply_announcement(announcement(9000, 1), 1.0) is AnnouncementResult.STATE
    assert own.current is not None
    assert own.current["sequence"] == 1


def test_a_departure_applies_to_its_incarnation_only() -> None:
    own = OwnUpstream()
    own.apply_announcement(announcement(1000, 1), 0.0)
    assert (
        own.apply_announcement(announcement(1000, 2, "leaving"), 1.0) is AnnouncementResult.LEAVING
    )
    assert own.apply_announcement(announcement(1000, 3), 2.0) is AnnouncementResult.NOTHING
    assert own.apply_announcement(announcement(9000, 1), 3.0) is AnnouncementResult.STATE
    assert own.current is not None
    assert own.current["state"] == "ready"


def test_late_announcements_of_an_older_incarnation_change_nothing() -> None:
    own = OwnUpstream()
    own.apply_announcement(announcement(1000, 57), 0.0)
    own.apply_announcement(announcement(9000, 1), 1.0)
    assert own.apply_announcement(announcement(1000, 58), 1.1) is AnnouncementResult.NOTHING
    assert (
        own.apply_announcement(announcement(1000, 59, "leaving"), 1.2) is AnnouncementResult.NOTHING
    )
    assert own.apply_departure("i-1", 1.3, 99_000, born_ms=1000) is AnnouncementResult.NOTHING
    assert own.current is not None
    assert (own.current["born_ms"], own.current["state"]) == (9000, "ready")


def test_late_announcements_of_an_older_incarnation_with_another_id_change_nothing() -> None:
    own = OwnUpstream()
    own.apply_announcement(announcement(9000, 1, instance="i-2"), 0.0)
    for sequence in (5, 6, 7):
        assert (
            own.apply_announcement(announcement(1000, sequence), 0.1) is AnnouncementResult.NOTHING
        )


def test_an_older_incarnation_is_accepted_once_the_known_one_is_silent() -> None:
    own = OwnUpstream()
    own.apply_announcement(announcement(9000, 57), 0.0)
    assert own.apply_announcement(announcement(1000, 1), 1.0) is AnnouncementResult.NOTHING
    assert own.apply_announcement(announcement(1000, 2), 2.0) is AnnouncementResult.NOTHING
    assert own.apply_announcement(announcement(1000, 3), SILENT_S) is AnnouncementResult.STATE


def test_an_older_incarnation_is_ignored_while_the_known_one_announces() -> None:
    own = OwnUpstream()
    for step in range(20):
        own.apply_announcement(announcement(9000, step + 1), float(step))
        assert (
            own.apply_announcement(announcement(1000, step + 1), step + 0.5)
            is AnnouncementResult.NOTHING
        )


def test_a_departure_without_a_start_applies_to_the_known_incarnation() -> None:
    own = OwnUpstream()
    own.apply_announcement(announcement(1000, 1), 0.0)
    assert own.apply_departure("i-1", 1.0, 5000) is AnnouncementResult.LEAVING
    assert own.apply_announcement(announcement(1000, 2), 2.0) is AnnouncementResult.NOTHING
    assert own.apply_announcement(announcement(9000, 1), 3.0) is AnnouncementResult.STATE


def test_a_departure_without_a_start_is_ambiguous_soon_after_a_restart() -> None:
    """It may be a late message of the previous incarnation; a repeated one means the new one."""
    own = OwnUpstream()
    own.apply_announcement(announcement(1000, 57), 0.0)
    own.apply_announcement(announcement(9000, 1), 1.0)
    assert own.apply_departure("i-1", 1.5, 9500) is AnnouncementResult.UNSURE
    assert own.apply_departure("i-1", 1.0 + REORDER_WINDOW_S, 20_000) is AnnouncementResult.LEAVING


def test_a_first_departure_without_a_start_applies_to_all_started_before() -> None:
    own = OwnUpstream()
    assert own.apply_departure("i-1", 0.0, 5000) is AnnouncementResult.LEAVING
    assert own.apply_announcement(announcement(4000, 2), 1.0) is AnnouncementResult.NOTHING
    assert own.apply_announcement(announcement(6000, 1), 2.0) is AnnouncementResult.STATE


def test_an_announcement_without_a_start_is_of_the_known_incarnation() -> None:
    own = OwnUpstream()
    own.apply_announcement(announcement(1000, 5), 0.0)
    assert own.apply_announcement(announcement(0, 4, "leaving"), 1.0) is AnnouncementResult.NOTHING
    assert own.apply_announcement(announcement(0, 6, "leaving"), 2.0) is AnnouncementResult.LEAVING
    assert own.apply_announcement(announcement(1000, 7), 3.0) is AnnouncementResult.NOTHING


def test_a_start_time_reported_later_is_the_same_incarnation() -> None:
    own = OwnUpstream()
    own.apply_announcement(announcement(0, 5), 0.0)
    assert own.apply_announcement(announcement(1000, 4), 1.0) is AnnouncementResult.NOTHING
    assert own.apply_announcement(announcement(1000, 6), 2.0) is not AnnouncementResult.LEAVING
    assert own.apply_announcement(announcement(1000, 1), 3.0) is AnnouncementResult.NOTHING
