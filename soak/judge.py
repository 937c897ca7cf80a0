"""Compares notes with what is promised to callers; no I/O.

Not watched yet: configurations in force, deadlines, the sum of retries, leavings, memory.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from soak.notes import Broken

if TYPE_CHECKING:
    from soak.notes import Asked, Notes

REFUSALS = frozenset({408, 421, 429, 503})
"""Statuses by which a request is said not to have run, now or later."""
UNPLANNED = frozenset({"kill", "pause"})
"""Faults that may cut calls under way."""
AFTER_S = 4.0
"""Calls that end so long after an unplanned fault may still be cut by it, seconds.

A host that fell silent is noticed after 1.5 s, and a call may then wait 1 s for its fate.
"""
STOP_S = 9.0
"""Longest planned stop, seconds: the 5 s of the settings, and the last words to peers."""


def broken(notes: Notes, *, timed: bool = True) -> list[Broken]:
    """Return every promise that the notes show broken; without `timed` a stop may be late."""
    ran = Counter(each.attempt for each in notes.ran)
    found: list[Broken] = []
    for asked in notes.asked:
        found += _of_answer(asked, ran[asked.attempt])
        if not asked.repeatable and ran[asked.attempt] > 1:
            shown_by = f"{asked.attempt} ran {ran[asked.attempt]} times"
            found.append(Broken("at-most-once", shown_by))
        if _is_cut(asked) and ran[asked.attempt] and not _is_excused(asked, notes):
            shown_by = f"{asked.attempt} at {asked.daemon} ran and ended as {asked.status}"
            found.append(Broken("planned-stop-cuts-nothing", shown_by))
    for stop in notes.stopped:
        if stop.code != 0 or (timed and stop.took > STOP_S):
            shown_by = f"{stop.daemon}: code {stop.code} after {stop.took:.1f} s"
            found.append(Broken("planned-stop-ends", shown_by))
    found += [Broken("served-again", f"{daemon} did not answer") for daemon in notes.unserved]
    return found


def _of_answer(asked: Asked, ran: int) -> list[Broken]:
    found: list[Broken] = []
    if asked.status in REFUSALS and ran:
        shown_by = f"{asked.attempt} ended as {asked.status} and ran {ran} times"
        found.append(Broken("not-run-is-true", shown_by))
    if asked.status == 200 and not ran:
        found.append(Broken("answers-are-the-upstreams", f"{asked.attempt} never ran"))
    if asked.status == 200 and (not asked.whole or asked.echo != asked.attempt):
        shown_by = f"{asked.attempt} got an answer of {asked.echo or 'nobody'}"
        found.append(Broken("answers-are-whole-and-their-own", shown_by))
    return found


def _is_cut(asked: Asked) -> bool:
    return asked.status in (0, 502)


def _is_excused(asked: Asked, notes: Notes) -> bool:
    return any(
        fault.kind in UNPLANNED
        and fault.began <= asked.ended
        and asked.sent <= fault.ended + AFTER_S
        for fault in notes.faults
    )
