"""Announcements of an upstream that arrive late and out of order."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from foldhoist.membership.incarnations import UpstreamIncarnation
from foldhoist.membership.upstream import AnnouncementResult, OwnUpstream
from tests.unit.membership.test_registry import announced


def announcement(instance: str, sequence: int, state: str = "ready") -> object:
    return {**announced(instance, state=state), "sequence": sequence}


def test_a_late_announcement_changes_nothing() -> None:
    own = OwnUpstream()
    assert own.apply_announcement(announcement("i-1", 5)) is AnnouncementResult.STATE  # type: ignore[arg-type]
    assert own.apply_announcement(announcement("i-1", 4, "leaving")) is AnnouncementResult.NOTHING  # type: ignore[arg-type]
    assert own.current is not None
    assert own.current["state"] == "ready"


def test_a_departure_is_final_for_its_incarnation() -> None:
    own = OwnUpstream()
    own.apply_announcement(announcement("i-1", 1))  # type: ignore[arg-type]
    assert own.apply_announcement(announcement("i-1", 2, "leaving")) is AnnouncementResult.LEAVING  # type: ignore[arg-type]
    assert own.apply_announcement(announcement("i-1", 9)) is AnnouncementResult.NOTHING  # type: ignore[arg-type]
    assert own.current is not None
    assert own.current["state"] == "leaving"


def test_a_departure_acknowledged_by_an_earlier_daemon_is_final() -> None:
    own = OwnUpstream()
    own.apply_announcement(announcement("i-1", 1))  # type: ignore[arg-type]
    assert own.add_ended([UpstreamIncarnation("i-1")])
    assert own.current is not None
    assert own.current["state"] == "leaving"
    early = OwnUpstream()
    early.add_ended([UpstreamIncarnation("i-1")])
    assert early.apply_announcement(announcement("i-1", 1)) is AnnouncementResult.NOTHING  # type: ignore[arg-type]
    assert early.current is None


def test_a_late_announcement_of_a_replaced_incarnation_is_ignored() -> None:
    own = OwnUpstream()
    own.apply_announcement(announcement("i-1", 5))  # type: ignore[arg-type]
    assert own.apply_announcement(announcement("i-2", 1)) is AnnouncementResult.STATE  # type: ignore[arg-type]
    assert own.apply_announcement(announcement("i-1", 6)) is AnnouncementResult.NOTHING  # type: ignore[arg-type]
    assert own.current is not None
    assert own.current["instance"] == "i-2"


def test_a_replaced_incarnation_returns_if_it_keeps_announcing() -> None:
    own = OwnUpstream()
    own.apply_announcement(announcement("i-new", 5))  # type: ignore[arg-type]
    own.apply_announcement(announcement("i-old", 9))  # type: ignore[arg-type]
    own.apply_announcement(announcement("i-new", 6))  # type: ignore[arg-type]
    assert own.apply_announcement(announcement("i-new", 7)) is AnnouncementResult.STATE  # type: ignore[arg-type]
    assert own.current is not None
    assert own.current["instance"] == "i-new"


def test_a_departure_before_any_announcement_is_final() -> None:
    own = OwnUpstream()
    assert own.apply_departure("i-1", 0.0, 0) is AnnouncementResult.LEAVING
    assert own.apply_announcement(announcement("i-1", 3)) is AnnouncementResult.NOTHING  # type: ignore[arg-type]


Messages = st.tuples(
    st.sampled_from(["i-1", "i-2", "i-3"]),
    st.integers(1, 9),
    st.sampled_from(["ready", "leaving", "gone", "remembered"]),
)


@settings(max_examples=300, derandomize=True)
@given(st.lists(Messages, max_size=25))
def test_no_order_of_messages_makes_an_ended_incarnation_ready(
    messages: list[tuple[str, int, str]],
) -> None:
    own = OwnUpstream()
    ended: set[str] = set()
    for instance, sequence, state in messages:
        match state:
            case "gone":
                own.apply_departure(instance, 0.0, 0)
                ended.add(instance)
            case "remembered":
                own.add_ended([UpstreamIncarnation(instance)])
                ended.add(instance)
            case _:
                result = own.apply_announcement(announcement(instance, sequence, state))  # type: ignore[arg-type]
                if result is AnnouncementResult.LEAVING:
                    ended.add(instance)
        current = own.current
        if current is not None and current["instance"] in ended:
            assert current["state"] != "ready"
