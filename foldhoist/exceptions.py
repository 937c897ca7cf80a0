"""Exceptions of the package; their texts are written for operators."""

from __future__ import annotations


class FoldhoistError(Exception):
    """Base of the errors that a command reports without a traceback."""


class UsageError(FoldhoistError):
    """The command line, a settings file or a configuration file must be changed."""


class UnreachableError(FoldhoistError):
    """A daemon or the platform did not answer."""


class ListenError(FoldhoistError):
    """An address under `[listen]` cannot be listened on, and waiting would not help."""

    def __init__(self, option: str, address: str, problem: str) -> None:
        super().__init__(f"[listen] {option} = {address}: {problem}; write an address of this host")


class ProtocolError(FoldhoistError):
    """A peer sent bytes that are not a valid message of this schema version."""


class DecodingError(FoldhoistError, ValueError):
    """Bytes or a text from elsewhere are no valid entry of their kind."""
