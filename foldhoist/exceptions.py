"""Exceptions that end a command, each with the text an operator reads."""

from __future__ import annotations


class FoldhoistError(Exception):
    """Base of all errors that a command reports without a traceback."""


class UsageError(FoldhoistError):
    """The command line, a settings file or a configuration file must be changed."""


class UnreachableError(FoldhoistError):
    """A daemon or the platform did not answer."""


class ProtocolError(FoldhoistError):
    """A peer sent bytes that are no message of this schema version."""
