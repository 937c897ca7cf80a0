"""A restarted upstream is a new incarnation, which is served again under the same id.

Guards against identifying incarnations by id alone: announcements after a restart were ignored.
"""

from __future__ import annotations

from typing import Any

from foldhoist.membership.upstream import (
    LEAVING_SILENT_S,
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


def restarted_with_the_clock_set_back() -> OwnUpstream:
    """Return what is known after the third start, which has announced itself once as ready."""
    own = OwnUpstream()
    own.apply_announcement(announcement(1000, 57), 0.0)
    own.apply_announcement(announcement(9000, 1), 1.0)
    own.apply_announcement(announcement(8000, 1), 2.0)
    return own


def test_a_departure_after_the_clock_was_set_back_is_applied() -> None:
    """Guards against a departure that is acknowledged and not applied."""
    own = restarted_with_the_clock_set_back()
    left_at = 1.0 + LEAVING_SILENT_S
    assert own.apply_departure("i-1", left_at, 99_000, 8000) is AnnouncementResult.LEAVING
    assert own.current is not None
    assert own.current["state"] == "gone"
    assert own.apply_announcement(announcement(8000, 2), left_at) is AnnouncementResult.NOTHING
    assert own.current["state"] == "gone"


def test_an_announced_leaving_after_the_clock_was_set_back_is_applied() -> None:
    own = restarted_with_the_clock_set_back()
    leaving = announcement(8000, 2, "leaving")
    assert own.apply_announcement(leaving, 1.0 + LEAVING_SILENT_S) is AnnouncementResult.LEAVING
    assert own.current is not None
    assert own.current["state"] == "gone"


def test_a_leaving_that_may_be_late_is_not_acknowledged() -> None:
    """Guards against an acknowledgement that binds nothing, and against ending the one that runs.

    The known incarnation has just announced itself, or the older one has not repeated itself.
    """
    own = restarted_with_the_clock_set_back()
    own.apply_announcement(announcement(9000, 2), 2.5)
    assert own.apply_departure("i-1", 2.6, 99_000, 8000) is AnnouncementResult.UNSURE
    leaving = announcement(8000, 3, "leaving")
    assert own.apply_announcement(leaving, 2.7) is AnnouncementResult.UNSURE
    silent = OwnUpstream()
    silent.apply_announcement(announcement(9000, 1), 0.0)
    late_at = 2 * LEAVING_SILENT_S
    assert silent.apply_departure("i-1", late_at, 99_000, 8000) is AnnouncementResult.UNSURE
    for each in (own, silent):
        assert each.current is not None
        assert (each.current["born_ms"], each.current["state"]) == (9000, "ready")


def test_the_known_incarnation_is_served_again_if_an_older_leaving_was_late() -> None:
    own = restarted_with_the_clock_set_back()
    own.apply_departure("i-1", 1.0 + LEAVING_SILENT_S, 99_000, 8000)
    assert own.apply_announcement(announcement(9000, 2), 5.0) is AnnouncementResult.STATE
    assert own.current is not None
    assert own.current["state"] == "ready"


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
