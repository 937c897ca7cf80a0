"""An operator's proposal, step by step: what to do next, from what the log shows; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from foldhoist.configlog.fold import State, digest_of, outcome_of

if TYPE_CHECKING:
    from foldhoist.schema.messages import Publish

MAX_APPENDS = 5
"""Appends of one proposal, the first included; all carry one publish id."""


class Append(NamedTuple):
    """Append this record, then read the log and ask again."""

    body: Publish


class Accepted(NamedTuple):
    """The proposal is in force as this generation."""

    generation: int


class Rejected(NamedTuple):
    """The proposal is not in force and never will be."""

    why: str


class Unknown(NamedTuple):
    """It cannot be told; ask again with the publish id."""

    why: str


Step: TypeAlias = Append | Accepted | Rejected | Unknown


def new_publish_id(base: State, unique: str) -> str:
    """Return a publish id; it names the generation that the proposal is based on."""
    return f"{base.generation}-{unique}"


def base_generation(publish_id: str) -> int | None:
    """Return the generation that a publish id is based on, or None if it is no publish id."""
    number, dash, _ = publish_id.partition("-")
    return int(number) if dash and number.isdigit() else None


class Publisher:
    """One proposal with one publish id, which may be sent several times."""

    def __init__(self, publish_id: str, content: str) -> None:
        self.publish_id = publish_id
        self._content = content
        self._base = base_generation(publish_id)
        self._appends = 0

    def next(self, state: State | None) -> Step:
        """Return the next step; `state` is the log as just read, None if it could not be read."""
        outcome = outcome_of(state, self.publish_id) if state is not None else None
        if outcome is not None and outcome["generation"]:
            return Accepted(outcome["generation"])
        if outcome is not None:
            return Rejected(outcome["reason"])
        if state is None:
            return Unknown("the log could not be read")
        if not state.exact:
            return Unknown("the log does not hold enough to tell which generation is in force")
        if state.generation != self._base:
            return Unknown(
                f"generation {state.generation} is in force, and what became of the id is forgotten"
            )
        if self._appends >= MAX_APPENDS:
            return Unknown("the log did not show the proposal")
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
