"""What an upstream announces, late and out of order."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from foldhoist.membership.incarnations import UpstreamIncarnation
from foldhoist.membership.upstream import AnnouncementResult, OwnUpstream
from tests.unit.membership.test_registry import announced


def beat(instance: str, sequence: int, state: str = "ready") -> object:
    return {**announced(instance, state=state), "sequence": sequence}


def test_a_late_announcement_changes_nothing() -> None:
    own = OwnUpstream()
    assert own.apply_announcement(beat("i-1", 5)) is AnnouncementResult.STATE  # type: ignore[arg-type]
    assert own.apply_announcement(beat("i-1", 4, "leaving")) is AnnouncementResult.NOTHING  # type: ignore[arg-type]
    assert own.current is not None
    assert own.current["state"] == "ready"


def test_an_end_binds_whatever_that_life_says_later() -> None:
    own = OwnUpstream()
    own.apply_announcement(beat("i-1", 1))  # type: ignore[arg-type]
    assert own.apply_announcement(beat("i-1", 2, "leaving")) is AnnouncementResult.LEAVING  # type: ignore[arg-type]
    assert own.apply_announcement(beat("i-1", 9)) is AnnouncementResult.NOTHING  # type: ignore[arg-type]
    assert own.current is not None
    assert own.current["state"] == "leaving"


def test_an_end_that_an_earlier_daemon_acknowledged_binds() -> None:
    own = OwnUpstream()
    own.apply_announcement(beat("i-1", 1))  # type: ignore[arg-type]
    assert own.add_ended([UpstreamIncarnation("i-1")])
    assert own.current is not None
    assert own.current["state"] == "leaving"
    early = OwnUpstream()
    early.add_ended([UpstreamIncarnation("i-1")])
    assert early.apply_announcement(beat("i-1", 1)) is AnnouncementResult.NOTHING  # type: ignore[arg-type]
    assert early.current is None


def test_a_late_word_of_a_life_that_was_replaced_is_passed_over() -> None:
    own = OwnUpstream()
    own.apply_announcement(beat("i-1", 5))  # type: ignore[arg-type]
    assert own.apply_announcement(beat("i-2", 1)) is AnnouncementResult.STATE  # type: ignore[arg-type]
    assert own.apply_announcement(beat("i-1", 6)) is AnnouncementResult.NOTHING  # type: ignore[arg-type]
    assert own.current is not None
    assert own.current["instance"] == "i-2"


def test_a_life_taken_for_replaced_comes_back_when_it_goes_on_announcing() -> None:
    own = OwnUpstream()
    own.apply_announcement(beat("i-new", 5))  # type: ignore[arg-type]
    own.apply_announcement(beat("i-old", 9))  # type: ignore[arg-type]
    own.apply_announcement(beat("i-new", 6))  # type: ignore[arg-type]
    assert own.apply_announcement(beat("i-new", 7)) is AnnouncementResult.STATE  # type: ignore[arg-type]
    assert own.current is not None
    assert own.current["instance"] == "i-new"


def test_a_leaving_that_is_said_first_of_all_binds() -> None:
    own = OwnUpstream()
    assert own.apply_departure("i-1", 0.0, 0) is AnnouncementResult.LEAVING
    assert own.apply_announcement(beat("i-1", 3)) is AnnouncementResult.NOTHING  # type: ignore[arg-type]


Words = st.tuples(
    st.sampled_from(["i-1", "i-2", "i-3"]),
    st.integers(1, 9),
    st.sampled_from(["ready", "leaving", "gone", "remembered"]),
)


@settings(max_examples=300, derandomize=True)
@given(st.lists(Words, max_size=25))
def test_no_order_of_words_makes_an_ended_life_ready(words: list[tuple[str, int, str]]) -> None:
    own = OwnUpstream()
    ended: set[str] = set()
    for instance, sequence, state in words:
        match state:
            case "gone":
                own.apply_departure(instance, 0.0, 0)
                ended.add(instance)
            case "remembered":
                own.add_ended([UpstreamIncarnation(instance)])
                ended.add(instance)
            case _:
                heard = own.apply_announcement(beat(instance, sequence, state))  # type: ignore[arg-type]
                if heard is AnnouncementResult.LEAVING:
                    ended.add(instance)
        current = own.current
        if current is not None and current["instance"] in ended:
            assert current["state"] != "ready"
