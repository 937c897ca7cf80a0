"""Standard streams of a process that was started without some of them."""

from __future__ import annotations

import os
import sys

STANDARD_DESCRIPTORS = (0, 1, 2)
"""Descriptors of standard input, output and error."""


def open_missing_streams() -> None:
    """Open the null device in place of closed streams.

    Otherwise the next socket would get the descriptor of a closed one, and the log lines.
    """
    for descriptor in STANDARD_DESCRIPTORS:
        if not _is_open(descriptor):
            _open_null(descriptor)
    sys.stdout = sys.stdout or os.fdopen(1, "w", closefd=False)
    sys.stderr = sys.stderr or os.fdopen(2, "w", closefd=False)


def _is_open(descriptor: int) -> bool:
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True


def _open_null(descriptor: int) -> None:
    null = os.open(os.devnull, os.O_RDWR)
    if null != descriptor:
        os.dup2(null, descriptor)
        os.close(null)
    os.set_inheritable(descriptor, True)
