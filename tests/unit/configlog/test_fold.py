"""Tests of the fold over the configuration log, and of the publisher."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from foldhoist.configlog.fold import (
    PublishRecord,
    SnapshotRecord,
    State,
    digest_of,
    fold,
    fold_all,
    from_snapshot,
    merge,
    to_snapshot,
)
from foldhoist.configlog.publisher import (
    Accepted,
    Append,
    Publisher,
    Rejected,
    Unknown,
    base_generation,
    new_publish_id,
)


def publish(offset: int, base: State, content: str, publish_id: str = "") -> PublishRecord:
    return PublishRecord(
        offset,
        {
            "publish_id": publish_id or f"{base.generation}-{content}",
            "base": base.generation,
            "base_digest": base.digest,
            "digest": digest_of(content),
            "content": content,
        },
    )


def test_of_two_proposals_on_one_base_the_first_wins() -> None:
    state = fold(State(), publish(0, State(), "a"))
    state = fold(state, publish(1, State(), "b"))
    assert (state.generation, state.content, state.folded) == (1, "a", 2)
    assert [outcome["generation"] for outcome in state.outcomes] == [1, 0]


def test_a_proposal_with_a_wrong_digest_is_rejected() -> None:
    record = publish(0, State(), "a")
    record.body["content"] = "b"
    assert fold(State(), record).generation == 0


@given(st.lists(st.tuples(st.integers(0, 3), st.text(max_size=3)), max_size=12))
def test_folding_records_again_or_in_parts_gives_the_same_state(
    proposals: list[tuple[int, str]],
) -> None:
    states = [State()]
    records = []
    for offset, (back, content) in enumerate(proposals):
        base = states[max(0, len(states) - 1 - back)]
        records.append(publish(offset, base, content, f"{offset % 5}"))
        states.append(fold(states[-1], records[-1]))
    assert fold_all(records, 0) == states[-1]
    again = states[-1]
    for record in records:
        again = fold(again, record)
    assert again == states[-1]
    generations = [state.generation for state in states]
    assert generations == sorted(generations)


def test_a_late_reader_starts_from_a_snapshot_and_is_exact() -> None:
    first = fold(State(), publish(0, State(), "a"))
    keep = SnapshotRecord(1, to_snapshot(first))
    after = publish(2, first, "b")
    state = fold_all([keep, after], 1)
    assert (state.generation, state.exact) == (2, True)


def test_a_late_reader_with_a_gap_accepts_nothing() -> None:
    first = fold(State(), publish(0, State(), "a"))
    keep = SnapshotRecord(3, to_snapshot(first))
    state = fold_all([keep, publish(4, first, "b")], 2)
    assert (state.generation, state.exact) == (1, False)


def test_a_snapshot_round_trips() -> None:
    state = fold(State(), publish(0, State(), "a"))
    assert from_snapshot(to_snapshot(state)) == state


def test_a_merge_keeps_the_greatest_generation() -> None:
    old = State(1, digest_of("a"), "a", 5)
    new = State(2, digest_of("b"), "b", 9)
    guess = new._replace(exact=False)
    assert merge(old, new) == merge(new, old) == new
    assert merge(guess, new) == merge(new, guess) == new
    assert merge(old, guess).generation == 2
    assert not merge(old, guess).exact


def test_a_publisher_appends_until_the_log_shows_it() -> None:
    publish_id = new_publish_id(State(), "x")
    publisher = Publisher(publish_id, "a")
    step = publisher.next(State())
    assert isinstance(step, Append)
    assert isinstance(publisher.next(State()), Append)
    state = fold(State(), PublishRecord(0, step.body))
    assert publisher.next(state) == Accepted(1)


def test_a_proposal_on_an_old_base_is_rejected() -> None:
    publisher = Publisher("0-x", "a")
    step = publisher.next(State())
    assert isinstance(step, Append)
    state = fold(fold(State(), publish(0, State(), "b")), PublishRecord(1, step.body))
    assert isinstance(publisher.next(state), Rejected)


def test_a_proposal_with_an_unknown_outcome_is_not_appended_again() -> None:
    state = State(9, digest_of("z"), "z", 50)
    assert isinstance(Publisher("3-x", "a").next(state), Unknown)
    assert isinstance(Publisher("9-x", "a").next(state._replace(exact=False)), Unknown)
    assert isinstance(Publisher("9-x", "a").next(None), Unknown)


def test_a_publish_id_contains_its_base_generation() -> None:
    assert base_generation("12-abc") == 12
    assert base_generation("abc") is None
