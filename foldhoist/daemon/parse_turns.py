"""Bounds the time that the event loop spends on what callers send, between two of its turns."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

MAX_TURN_PARTS = 8000
"""Parts (headers, chunks, whole requests) of heavy pieces that are parsed in a turn."""


class Parsing(Protocol):
    """A connection that has more to parse."""

    def parse_on(self) -> None:
        """Parse on, as far as `ParseTurns.may_parse` allows."""


class ParseTurns:
    """Lets connections whose pieces are heavy take turns; others do not ask."""

    def __init__(self) -> None:
        self._spent = 0
        self._waiting: deque[Parsing] = deque()
        self._scheduled = False

    def may_parse(self, conn: Parsing) -> bool:
        """Return whether a heavy piece may be parsed now; if not, it is called back later."""
        if self._spent < MAX_TURN_PARTS:
            return True
        self._waiting.append(conn)
        return False

    def spend(self, parts: int) -> None:
        """Count the parts of a piece in this turn of the event loop; without one they are free."""
        loop = _running_loop()
        if loop is None:
            return
        self._spent += parts
        if not self._scheduled:
            self._scheduled = True
            loop.call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._scheduled = False
        self._spent = 0
        for _ in range(len(self._waiting)):
            if self._spent >= MAX_TURN_PARTS:
                break
            self._waiting.popleft().parse_on()
        if self._waiting and not self._scheduled:
            self.spend(0)


def _running_loop() -> asyncio.AbstractEventLoop | None:
    try:
        return asyncio.get_running_loop()
    except RuntimeError:
        return None
