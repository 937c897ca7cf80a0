"""Verdicts: the outcome of a request, and whether it may have run."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

Headers: TypeAlias = list[list[bytes]]


class Response(NamedTuple):
    """A complete HTTP response; header names and values are raw bytes."""

    status: int
    headers: Headers
    body: bytes


class Answered(NamedTuple):
    """The upstream sent a complete response."""

    response: Response


class NotRun(NamedTuple):
    """The request did not run; it may be retried after `retry_after_s` seconds."""

    reason: str
    retry_after_s: float = 1.0
    status: int = 503


class MayHaveRun(NamedTuple):
    """The request was dispatched, but no complete response came back."""

    reason: str
    status: int = 502


Verdict: TypeAlias = Answered | NotRun | MayHaveRun


def verdict_name(verdict: Verdict) -> str:
    """Return the value of the verdict header."""
    match verdict:
        case Answered():
            return "answered"
        case NotRun():
            return "not-run"
        case MayHaveRun():
            return "may-have-run"
