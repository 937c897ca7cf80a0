"""Which connections of callers give way to others, when memory or places run out."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foldhoist.daemon.callers import CallerConnection

GIVE_WAY_AFTER_S = 1.0
"""Time after which an unfinished request, or a wait for one, may give way, seconds."""


def most_held(
    conns: Iterable[CallerConnection], now: float, above: float = 0.0, *, bodies_only: bool = False
) -> list[CallerConnection]:
    """Return the connections that may give way in memory, those that held most for longest first.

    Only those `above` so many byte seconds. With `bodies_only` unread answers do not count.
    """
    held = {conn: _byte_seconds(conn, now, bodies_only=bodies_only) for conn in conns}
    found = [conn for conn, byte_s in held.items() if byte_s > above]
    return sorted(found, key=held.__getitem__, reverse=True)


def longest_waiting(
    conns: Iterable[CallerConnection], count: int, now: float
) -> list[CallerConnection]:
    """Return up to `count` connections that may give their places to others, in order.

    First those that wait for a whole request and were never answered, then others that wait, last
    those with unread answers; each by how long.
    """
    ranks = {conn: rank for conn in conns if (rank := _place_rank(conn, now)) is not None}
    return heapq.nsmallest(count, ranks, key=ranks.__getitem__)


def _byte_seconds(conn: CallerConnection, now: float, *, bodies_only: bool) -> float:
    if conn.is_blocked:
        unread = 0 if bodies_only else conn.answer_bytes
        return unread * max(GIVE_WAY_AFTER_S, now - conn.blocked_since)
    reader = conn.arriving
    if reader is None or now - reader.began_at < GIVE_WAY_AFTER_S:
        return 0.0
    return reader.byte_seconds(now)


def _place_rank(conn: CallerConnection, now: float) -> tuple[int, float] | None:
    since = conn.blocked_since if conn.is_blocked else conn.waits_since
    if now - since < GIVE_WAY_AFTER_S:
        return None
    if conn.is_blocked:
        return 2, since
    return (int(conn.has_been_answered), since) if conn.waits_for_request else None
