"""The configuration log keeps its invariants; without any of its rules it violates one."""

from __future__ import annotations

import pytest

from foldhoist.configlog import fold as real
from foldhoist.configlog.fold import PublishRecord, SnapshotRecord, State, from_snapshot
from tests.model.checking import holds, violated
from tests.model.log_spec import LOST_ANSWER, THREE_OPERATORS, Rules, specification


def accept_when_inexact(state: State, record: object) -> State:
    """Accepts a proposal though records may have been missed."""
    if isinstance(record, PublishRecord) and record.offset >= state.folded:
        return real.fold(state._replace(exact=True), record)
    return real.fold(state, record)  # type: ignore[arg-type]


def no_base_check(state: State, record: object) -> State:
    """Accepts a proposal with any base."""
    if isinstance(record, PublishRecord):
        body = {**record.body, "base": state.generation, "base_digest": state.digest}
        record = PublishRecord(record.offset, body)  # type: ignore[arg-type]
    return real.fold(state, record)  # type: ignore[arg-type]


def no_duplicate_check(state: State, record: object) -> State:
    """Evaluates a proposal that was appended twice as two proposals."""
    if isinstance(record, PublishRecord):
        name = record.body["publish_id"]
        left = tuple(each for each in state.outcomes if each["publish_id"] != name)
        state = state._replace(outcomes=left)
    return real.fold(state, record)  # type: ignore[arg-type]


def snapshot_is_always_exact(state: State, record: object) -> State:
    """Treats every snapshot as exact, whatever was appended before it."""
    if isinstance(record, SnapshotRecord) and record.offset >= state.folded:
        snapshot = from_snapshot(record.body)
        return snapshot._replace(folded=record.offset + 1, exact=True)
    return real.fold(state, record)  # type: ignore[arg-type]


def oldest_is_first(records: object, oldest: int) -> State:
    """Treats the oldest retained record as the first one of the log."""
    return State(folded=oldest, exact=True)


def ignore_gap(records: list[object], oldest: int) -> State:
    """Starts from any snapshot, also if records after its state are missing."""
    if oldest == 0:
        return State()
    for record in records:
        if isinstance(record, SnapshotRecord):
            return from_snapshot(record.body)._replace(exact=True, folded=oldest)
    return State(folded=oldest, exact=False)


def last_received_wins(state: State, other: State) -> State:
    """Adopts the state of a peer without comparison."""
    return other


MUTANTS = {
    "accepts when inexact": Rules(fold=accept_when_inexact),
    "no base check": Rules(fold=no_base_check),
    "no duplicate check": Rules(fold=no_duplicate_check),
    "a snapshot is always exact": Rules(fold=snapshot_is_always_exact),
    "the oldest record is the first": Rules(initial_state=oldest_is_first),
    "a gap after a snapshot is ignored": Rules(initial_state=ignore_gap),
    "the last received state wins": Rules(merge=last_received_wins),
}


@pytest.mark.parametrize("appends", [LOST_ANSWER, THREE_OPERATORS])
def test_the_log_holds(appends: tuple[int, ...]) -> None:
    assert holds(specification(f"log {appends}", Rules(), appends))


@pytest.mark.parametrize("name", MUTANTS)
def test_without_the_rule_an_invariant_is_violated(name: str) -> None:
    appends = (LOST_ANSWER, THREE_OPERATORS)
    assert any(
        violated(specification(f"log {each}, {name}", MUTANTS[name], each)) for each in appends
    )
