"""Reads all records that a log retains and folds them into a state."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from expression import Error, Ok, Result

from foldhoist.configlog.fold import LogRecord, State, fold_all
from foldhoist.logservice.client import unpack

if TYPE_CHECKING:
    from foldhoist.logservice.client import PlatformClient, PlatformError


class RetainedRecords(NamedTuple):
    """The valid records that a log retains, its oldest offset and the next to be written."""

    records: list[LogRecord]
    oldest: int
    end: int

    def state(self) -> State:
        """Return the state after folding the records."""
        state = fold_all(self.records, self.oldest)
        return state._replace(folded=max(state.folded, self.end))


async def read_retained(client: PlatformClient) -> Result[RetainedRecords, PlatformError]:
    """Return all valid records that the log retains."""
    records: list[LogRecord] = []
    offset, oldest = 0, -1
    while True:
        answer = await client.read(offset)
        if answer.is_error():
            return Error(answer.error)
        page = answer.ok
        oldest = page["oldest"] if oldest < 0 else oldest
        offset = max(offset, page["oldest"]) + len(page["records"])
        for stored in page["records"]:
            record = unpack(stored)
            if record is not None:
                records.append(record)
        if not page["records"]:
            return Ok(RetainedRecords(records, oldest, offset))


async def read_state(client: PlatformClient) -> Result[State, PlatformError]:
    """Return the state after folding all records that the log retains."""
    answer = await read_retained(client)
    if answer.is_error():
        return Error(answer.error)
    return Ok(answer.ok.state())
