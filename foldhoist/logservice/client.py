"""HTTP client of the platform's append-only log and of its host list."""

from __future__ import annotations

from typing import Annotated, NamedTuple, TypedDict

import msgspec
from expression import Error, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.iostream import UnsatisfiableReadError

from foldhoist.configlog.fold import LogRecord, PublishRecord, SnapshotRecord
from foldhoist.decoding import json_decoder
from foldhoist.exceptions import DecodingError
from foldhoist.schema.messages import Publish, Snapshot

REQUEST_TIMEOUT_S = 5.0
"""Timeout of a request, and of its connection, seconds."""
PAGE_SIZE = 200
"""Most records in one read."""


MAX_OFFSET = 2**53
"""Largest offset and generation accepted; every message can carry them."""
Offset = Annotated[int, msgspec.Meta(ge=0, le=MAX_OFFSET)]


class PlatformError(NamedTuple):
    """A request to the platform failed; `sent` says whether it may have taken effect."""

    what: str
    sent: bool


class StoredRecord(TypedDict):
    """A record of the log; `data` is base64 in JSON."""

    offset: Offset
    data: bytes


class Appended(TypedDict):
    """The answer to an append: the offset of the record."""

    offset: Offset


class Page(TypedDict):
    """Records from an offset on, with the oldest offset retained and the next to be written."""

    oldest: Offset
    next: Offset
    records: list[StoredRecord]


class Host(TypedDict):
    """An entry of the host list."""

    name: str
    state: str


_APPENDED = json_decoder(Appended)
_PAGES = json_decoder(Page)
_HOSTS = json_decoder(Host)
_PUBLISHES = json_decoder(Publish)
_SNAPSHOTS = json_decoder(Snapshot)


def pack_publish(body: Publish) -> bytes:
    """Encode a proposal as a record."""
    return b"publish " + msgspec.json.encode(body)


def pack_snapshot(body: Snapshot) -> bytes:
    """Encode a snapshot as a record."""
    return b"keep " + msgspec.json.encode(body)


def unpack(stored: StoredRecord) -> LogRecord | None:
    """Decode a record; returns None if its kind is unknown or its content invalid."""
    kind, _, fields = stored["data"].partition(b" ")
    try:
        match kind:
            case b"publish":
                return PublishRecord(stored["offset"], _PUBLISHES.decode(fields))
            case b"keep":
                snapshot = _SNAPSHOTS.decode(fields)
                return SnapshotRecord(stored["offset"], snapshot) if _fits(snapshot) else None
    except DecodingError:
        return None
    return None


def _fits(snapshot: Snapshot) -> bool:
    """Return whether every message can carry the numbers of a snapshot."""
    numbers = [snapshot["generation"], snapshot["folded"]]
    numbers += [outcome["generation"] for outcome in snapshot["outcomes"]]
    return min(numbers) >= 0 and max(numbers) <= MAX_OFFSET


class PlatformClient:
    """Reads and appends records of one stream, and reads the host list."""

    def __init__(self, log: str, stream: str, hosts: str = "") -> None:
        self.url = f"http://{log}/streams/{stream}"
        self.hosts_url = f"http://{hosts}/hosts" if hosts else ""
        self._http = AsyncHTTPClient(force_instance=True)

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    async def append(self, data: bytes) -> Result[int, PlatformError]:
        """Append a record; returns its offset."""
        answer = await self._fetch(HTTPRequest(self.url, method="POST", body=data))
        match answer:
            case Result(tag="ok", ok=body):
                try:
                    return Ok(_APPENDED.decode(body)["offset"])
                except DecodingError as exc:
                    return Error(PlatformError(f"the log named no offset: {exc}", True))
        return Error(answer.error)

    async def read(self, offset: int) -> Result[Page, PlatformError]:
        """Read up to `PAGE_SIZE` records from an offset on."""
        answer = await self._fetch(HTTPRequest(f"{self.url}?from={offset}&limit={PAGE_SIZE}"))
        match answer:
            case Result(tag="ok", ok=body):
                return _decode_page(body)
        return Error(answer.error)

    async def host_state(self, name: str) -> Result[str, PlatformError]:
        """Return the state of one host: live, leaving or absent."""
        answer = await self._fetch(HTTPRequest(f"{self.hosts_url}/{name}"))
        match answer:
            case Result(tag="ok", ok=body):
                try:
                    return Ok(_HOSTS.decode(body)["state"])
                except DecodingError as exc:
                    return Error(
                        PlatformError(f"the host list returned an invalid host: {exc}", False)
                    )
        return Error(answer.error)

    async def _fetch(self, req: HTTPRequest) -> Result[bytes, PlatformError]:
        req.connect_timeout = REQUEST_TIMEOUT_S
        req.request_timeout = REQUEST_TIMEOUT_S
        try:
            response = await self._http.fetch(req)
        except HTTPClientError as exc:
            return Error(PlatformError(f"the platform answered {exc.code}", exc.code >= 500))
        except ConnectionRefusedError:
            return Error(PlatformError("the platform refused the connection", False))
        except (OSError, TimeoutError, UnsatisfiableReadError, ValueError) as exc:
            return Error(PlatformError(f"the platform did not answer: {exc}", True))
        return Ok(response.body)


def _decode_page(body: bytes) -> Result[Page, PlatformError]:
    try:
        return Ok(_PAGES.decode(body))
    except DecodingError as exc:
        return Error(PlatformError(f"the log returned an invalid page: {exc}", False))
