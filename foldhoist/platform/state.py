"""Reads the whole log of a stream and folds it, for commands."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from foldhoist.configlog.fold import State, fold_all
from foldhoist.platform.client import PlatformClient, PlatformError, unpack

if TYPE_CHECKING:
    from foldhoist.configlog.fold import LogRecord


async def read_state(client: PlatformClient) -> Result[State, PlatformError]:
    """Return what the records that the log keeps add up to."""
    records: list[LogRecord] = []
    offset, oldest = 0, -1
    while True:
        answer = await client.read(offset)
        if answer.is_error():
            return Error(answer.error)
        page = answer.ok
        oldest = page["oldest"] if oldest < 0 else oldest
        for stored in page["records"]:
            record = unpack(stored)
            if record is not None:
                records.append(record)
        offset = max(offset, page["oldest"]) + len(page["records"])
        if not page["records"]:
            break
    state = fold_all(records, oldest)
    return Ok(state._replace(folded=max(state.folded, offset)))
