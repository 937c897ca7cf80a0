"""The steps that publish an operator's proposal, decided from the state of the log; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from foldhoist.configlog.fold import State, digest_of, outcome_of

if TYPE_CHECKING:
    from foldhoist.schema.messages import Publish

MAX_APPENDS = 5
"""Most appends of one proposal, the first included; all carry the same publish id."""


class Append(NamedTuple):
    """Append this record, read the log, then ask for the next step."""

    body: Publish


class Accepted(NamedTuple):
    """The proposal came into force as this generation; a later one may have replaced it."""

    generation: int


class Rejected(NamedTuple):
    """The proposal is not in force and never will be."""

    why: str


class Unknown(NamedTuple):
    """The outcome is unknown; it can be asked for again with the publish id."""

    why: str


Step: TypeAlias = Append | Accepted | Rejected | Unknown


def new_publish_id(base: State, unique: str) -> str:
    """Return a publish id that contains the generation on which the proposal is based."""
    return f"{base.generation}-{unique}"


def base_generation(publish_id: str) -> int | None:
    """Return the generation in a publish id, or None if it is malformed."""
    number, dash, _ = publish_id.partition("-")
    return int(number) if dash and number.isdigit() else None


class Publisher:
    """Publishes one proposal, which may be appended several times under its publish id."""

    def __init__(self, publish_id: str, content: str) -> None:
        self.publish_id = publish_id
        self._content = content
        self._base = base_generation(publish_id)
        self._appends = 0

    def next(self, state: State | None) -> Step:
        """Return the next step; `state` is that of the log just read, None if reading failed."""
        outcome = outcome_of(state, self.publish_id) if state is not None else None
        if outcome is not None and outcome["generation"]:
            return Accepted(outcome["generation"])
        if outcome is not None:
            return Rejected(outcome["reason"])
        if state is None:
            return Unknown("the log could not be read")
        if not state.exact:
            return Unknown("the log does not show which generation is in force")
        if state.generation != self._base:
            return Unknown(
                f"generation {state.generation} is in force, and the outcome of the id is not known"
            )
        if self._appends >= MAX_APPENDS:
            return Unknown("the proposal did not appear in the log")
        self._appends += 1
        return Append(self._record(state))

    def _record(self, state: State) -> Publish:
        return {
            "publish_id": self.publish_id,
            "base": state.generation,
            "base_digest": state.digest,
            "digest": digest_of(self._content),
            "content": self._content,
        }
