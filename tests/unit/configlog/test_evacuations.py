"""Tests of evacuations read from the store and received from peers."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from foldhoist.configlog.evacuations import Evacuation, Evacuations, StoredEvacuations

RECORDS = st.lists(st.builds(Evacuation, st.sampled_from("abc"), st.booleans()), max_size=12)


def evacuated_by(records: list[Evacuation]) -> frozenset[str]:
    """Return the data centres evacuated after these records."""
    last = {record.data_centre: record.in_force for record in records}
    return frozenset(name for name, in_force in last.items() if in_force)


def complete(records: list[Evacuation]) -> StoredEvacuations:
    left = tuple(Evacuation(name, in_force=True) for name in sorted(evacuated_by(records)))
    return StoredEvacuations(len(records), True, left)


@given(RECORDS, st.data())
def test_the_state_follows_from_the_records_below_the_offset(
    records: list[Evacuation], data: st.DataObject
) -> None:
    """A read continues where the last one ended, which may be below a peer's offset."""
    held = Evacuations()
    position = data.draw(st.integers(0, len(records)))
    held.apply_stored(complete(records[:position]))
    while position < len(records):
        until = data.draw(st.integers(position + 1, len(records)))
        peer_offset = data.draw(st.integers(0, len(records)))
        names = sorted(evacuated_by(records[:peer_offset]))
        held.apply_peer({"at": peer_offset, "data_centres": names})
        before = held.at
        held.apply_stored(StoredEvacuations(until, False, tuple(records[position:until])))
        position = until
        assert held.at >= before
        assert held.data_centres == evacuated_by(records[: held.at])


def test_only_a_change_of_data_centres_is_reported() -> None:
    held = Evacuations()
    assert held.apply_stored(StoredEvacuations(3, True, (Evacuation("a", True),)))
    assert not held.apply_stored(StoredEvacuations(4, False, (Evacuation("a", True),)))
    assert not held.apply_peer({"at": 9, "data_centres": ["a"]})
    assert held.at == 9
    assert not held.apply_peer({"at": 8, "data_centres": []})
    assert held.data_centres == {"a"}
    assert held.apply_peer({"at": 10, "data_centres": []})
