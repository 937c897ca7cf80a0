"""The configuration log holds its invariants; without any one rule it does not."""

from __future__ import annotations

import pytest

from foldhoist.configlog import fold as real
from foldhoist.configlog.fold import PublishRecord, SnapshotRecord, State, from_snapshot
from tests.model.checking import holds, violated
from tests.model.log_spec import LOST_ANSWER, THREE_RACE, Rules, specification


def accept_when_inexact(state: State, record: object) -> State:
    """Accepts a proposal though records may have been missed."""
    if isinstance(record, PublishRecord) and record.offset >= state.folded:
        return real.fold(state._replace(exact=True), record)
    return real.fold(state, record)  # type: ignore[arg-type]


def no_base_check(state: State, record: object) -> State:
    """Accepts a proposal whatever it is based on."""
    if isinstance(record, PublishRecord):
        body = {**record.body, "base": state.generation, "base_digest": state.digest}
        record = PublishRecord(record.offset, body)  # type: ignore[arg-type]
    return real.fold(state, record)  # type: ignore[arg-type]


def no_duplicate_check(state: State, record: object) -> State:
    """Judges a proposal that was appended twice as if it were two."""
    if isinstance(record, PublishRecord):
        name = record.body["publish_id"]
        left = tuple(each for each in state.outcomes if each["publish_id"] != name)
        state = state._replace(outcomes=left)
    return real.fold(state, record)  # type: ignore[arg-type]


def keep_is_always_exact(state: State, record: object) -> State:
    """Takes a state that was written again for the newest, whatever came in between."""
    if isinstance(record, SnapshotRecord) and record.offset >= state.folded:
        kept = from_snapshot(record.body)
        return kept._replace(folded=record.offset + 1, exact=True)
    return real.fold(state, record)  # type: ignore[arg-type]


def start_is_empty(records: object, oldest: int) -> State:
    """Takes the oldest record kept for the first one ever."""
    return State(folded=oldest, exact=True)


def gap_is_ignored(records: list[object], oldest: int) -> State:
    """Starts from any state that was written again, also if records after it are missing."""
    if oldest == 0:
        return State()
    for record in records:
        if isinstance(record, SnapshotRecord):
            return from_snapshot(record.body)._replace(exact=True, folded=oldest)
    return State(folded=oldest, exact=False)


def last_heard_wins(state: State, other: State) -> State:
    """Takes over whatever a peer says."""
    return other


MUTANTS = {
    "accepts when inexact": Rules(fold=accept_when_inexact),
    "no base check": Rules(fold=no_base_check),
    "no duplicate check": Rules(fold=no_duplicate_check),
    "a kept state is always exact": Rules(fold=keep_is_always_exact),
    "the oldest record is the first": Rules(anchor=start_is_empty),
    "a gap after a kept state is ignored": Rules(anchor=gap_is_ignored),
    "the last heard wins": Rules(merge=last_heard_wins),
}


@pytest.mark.parametrize("appends", [LOST_ANSWER, THREE_RACE])
def test_the_log_holds(appends: tuple[int, ...]) -> None:
    assert holds(specification(f"log {appends}", Rules(), appends))


@pytest.mark.parametrize("name", MUTANTS)
def test_without_the_rule_it_does_not(name: str) -> None:
    shapes = (LOST_ANSWER, THREE_RACE)
    assert any(
        violated(specification(f"log {each}, {name}", MUTANTS[name], each)) for each in shapes
    )
