"""The data centres that an operator has evacuated, as known to one daemon; no I/O, no clock.

The operator writes a record to evacuate a data centre and deletes it to end the evacuation. The
records below an offset of the operator's log determine the state, so the state with the greater
offset is newer. A state is only ever replaced by a newer one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from foldhoist.schema.messages import Evacuated


class Evacuation(NamedTuple):
    """An operator's record; while in force, no calls go to the data centre's upstreams."""

    data_centre: str
    in_force: bool


class StoredEvacuations(NamedTuple):
    """Evacuations as read from the store.

    If `complete`, `records` are all evacuations in force below the offset `at`; else they are the
    records since the last read, in order.
    """

    at: int
    complete: bool
    records: tuple[Evacuation, ...]


class Evacuations:
    """The evacuations in force below the offset `at` of the operator's log, 0 before any read."""

    def __init__(self) -> None:
        self.at = 0
        self.data_centres: frozenset[str] = frozenset()

    def apply_stored(self, stored: StoredEvacuations) -> bool:
        """Apply what was read from the store; returns whether the evacuated data centres changed.

        The records may begin below the current offset, which a peer may have advanced. Applying
        them again gives the same state, since the last record of each data centre counts.
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
        """Apply a peer's state if newer; returns whether the evacuated data centres changed."""
        if evacuated["at"] <= self.at:
            return False
        return self._set(evacuated["at"], frozenset(evacuated["data_centres"]))

    def as_message(self) -> Evacuated:
        """Return the state as a message to peers."""
        return {"at": self.at, "data_centres": sorted(self.data_centres)}

    def _set(self, at: int, data_centres: frozenset[str]) -> bool:
        changed = data_centres != self.data_centres
        self.at = at
        self.data_centres = data_centres
        return changed
