"""Which data centres an operator has evacuated, as one daemon knows it; no I/O, no clock.

The operator writes a record for each evacuation and drops it to end it. What stands follows from
the records below an offset of the operator's log, so the offset says which of two states is newer.
A state is taken whole or not at all, and never goes back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from foldhoist.schema.messages import Evacuated


class Evacuation(NamedTuple):
    """An operator's record: nothing goes to the upstreams of a data centre, or that has ended."""

    data_centre: str
    in_force: bool


class StoredEvacuations(NamedTuple):
    """Evacuations as the store tells them.

    `records` are all that stand below the offset `at` if they are `whole`, else what was written
    since the last read, in order.
    """

    at: int
    complete: bool
    records: tuple[Evacuation, ...]


class Evacuations:
    """The evacuations that stand below an offset of the operator's log; 0 if none was read."""

    def __init__(self) -> None:
        self.at = 0
        self.data_centres: frozenset[str] = frozenset()

    def apply_stored(self, stored: StoredEvacuations) -> bool:
        """Take in what the store tells; returns whether other data centres are evacuated now.

        News may begin below the offset that is known, from a peer. Taking them in again ends at the
        same state, since the last record of each data centre counts.
        """
        if stored.at <= self.at:
            return False
        names = set() if stored.complete else set(self.data_centres)
        for record in stored.records:
            if record.in_force:
                names.add(record.data_centre)
            else:
                names.discard(record.data_centre)
        return self._set(stored.at, frozenset(names))

    def apply_peer(self, evacuated: Evacuated) -> bool:
        """Take in what a peer holds; returns whether other data centres are evacuated now."""
        if evacuated["at"] <= self.at:
            return False
        return self._set(evacuated["at"], frozenset(evacuated["data_centres"]))

    def as_message(self) -> Evacuated:
        """Return what peers are told."""
        return {"at": self.at, "data_centres": sorted(self.data_centres)}

    def _set(self, at: int, data_centres: frozenset[str]) -> bool:
        changed = data_centres != self.data_centres
        self.at = at
        self.data_centres = data_centres
        return changed
