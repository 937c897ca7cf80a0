"""The configuration as a fold over the platform's log, deterministic at every reader.

A state holds the generation in force after all records below an offset. It is exact if no record
can have been missed; only an exact state accepts proposals.
"""

from __future__ import annotations

from hashlib import sha256
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Sequence

    from foldhoist.schema.messages import Outcome, Publish, Snapshot

MAX_OUTCOMES = 64
"""Most outcomes of publish ids that a state keeps; the oldest is dropped."""


class State(NamedTuple):
    """The result of folding a log; `folded` is the offset of the next record to fold."""

    generation: int = 0
    digest: str = ""
    content: str = ""
    folded: int = 0
    exact: bool = True
    outcomes: tuple[Outcome, ...] = ()


class PublishRecord(NamedTuple):
    """An operator's proposal at an offset of the log."""

    offset: int
    body: Publish


class SnapshotRecord(NamedTuple):
    """A state that a daemon rewrote to the log, at an offset of the log."""

    offset: int
    body: Snapshot


LogRecord: TypeAlias = PublishRecord | SnapshotRecord


def digest_of(content: str) -> str:
    """Return the SHA-256 of a configuration, hexadecimal."""
    return sha256(content.encode()).hexdigest()


def from_snapshot(snapshot: Snapshot) -> State:
    """Return the state that a snapshot carries."""
    return State(
        snapshot["generation"],
        snapshot["digest"],
        snapshot["content"],
        snapshot["folded"],
        snapshot["exact"],
        tuple(snapshot["outcomes"]),
    )


def to_snapshot(state: State) -> Snapshot:
    """Return the state as a message."""
    return {
        "generation": state.generation,
        "digest": state.digest,
        "content": state.content,
        "folded": state.folded,
        "exact": state.exact,
        "outcomes": list(state.outcomes),
    }


def outcome_of(state: State, publish_id: str) -> Outcome | None:
    """Return the outcome of a publish id, or None if the state does not hold it."""
    for outcome in state.outcomes:
        if outcome["publish_id"] == publish_id:
            return outcome
    return None


def initial_state(records: Sequence[LogRecord], oldest: int) -> State:
    """Return the state from which a new reader folds; `records` are all that the log retains.

    That is the empty state if the log is complete (`oldest` is 0), else the first exact snapshot
    after which no record is missing, else an empty state that is not exact.
    """
    if oldest == 0:
        return State()
    for record in records:
        match record:
            case SnapshotRecord(_, body) if body["exact"] and body["folded"] >= oldest:
                if body["digest"] == digest_of(body["content"]):
                    return from_snapshot(body)
    return State(folded=oldest, exact=False)


def fold_all(records: Sequence[LogRecord], oldest: int) -> State:
    """Return the state after all records that a log retains."""
    state = initial_state(records, oldest)
    for record in records:
        state = fold(state, record)
    return state


def skip_to(state: State, oldest: int) -> State:
    """Advance a state to the offset `oldest`; it is not exact if records were skipped."""
    if state.folded >= oldest:
        return state
    return state._replace(folded=oldest, exact=False)


def merge(state: State, other: State) -> State:
    """Return the merge of two states; its generation is the greater of the two.

    An exact state replaces an inexact one of the same or an older generation. Of two exact states,
    one continues the other, since both are folds of the same log.
    """
    if other.exact and not state.exact and other.generation >= state.generation:
        return other
    if state.exact and not other.exact:
        if other.generation > state.generation:
            return other._replace(folded=min(state.folded, other.folded), exact=False)
        return state
    if (other.generation, other.folded) > (state.generation, state.folded):
        return other
    return state


def fold(state: State, record: LogRecord) -> State:
    """Return the state after a record; a record that was folded before is ignored."""
    if record.offset < state.folded:
        return state
    state = skip_to(state, record.offset)
    match record:
        case PublishRecord(offset, body):
            state = _fold_publish(state, body)
        case SnapshotRecord(offset, body):
            state = _fold_snapshot(state, body, offset)
    return state._replace(folded=offset + 1)


def _fold_publish(state: State, body: Publish) -> State:
    if not state.exact or outcome_of(state, body["publish_id"]) is not None:
        return state
    reason = _rejection_reason(state, body)
    if reason:
        return _with_outcome(state, body["publish_id"], 0, reason)
    accepted = state._replace(
        generation=state.generation + 1, digest=body["digest"], content=body["content"]
    )
    return _with_outcome(accepted, body["publish_id"], accepted.generation, "")


def _rejection_reason(state: State, body: Publish) -> str:
    if body["digest"] != digest_of(body["content"]):
        return "the content does not match its digest"
    if body["base"] != state.generation or body["base_digest"] != state.digest:
        return f"it is based on generation {body['base']}, but {state.generation} is in force"
    return ""


def _fold_snapshot(state: State, body: Snapshot, offset: int) -> State:
    if body["digest"] != digest_of(body["content"]):
        return state
    stored = from_snapshot(body)
    if not state.exact and stored.exact and stored.folded >= offset:
        return stored if stored.generation >= state.generation else state
    if stored.generation > state.generation:
        return stored._replace(exact=False)
    return state


def _with_outcome(state: State, publish_id: str, generation: int, reason: str) -> State:
    outcome: Outcome = {"publish_id": publish_id, "generation": generation, "reason": reason}
    return state._replace(outcomes=(*state.outcomes, outcome)[-MAX_OUTCOMES:])
