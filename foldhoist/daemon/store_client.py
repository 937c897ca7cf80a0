"""Calls to an adapter's store over HTTP, each with an end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from foldhoist.daemon.ports import StoreFault
from foldhoist.daemon.waits import wait_tolerating_stalls

if TYPE_CHECKING:
    from tornado.httpclient import HTTPRequest

TIMEOUT_S = 2.0
"""Longest wait for an answer of the store, seconds."""
ABANDONED_CALL_S = 5.0
"""The HTTP client closes a connection so long after nobody waits for its answer, seconds."""


class StoreClient:
    """The connections to a store."""

    def __init__(self) -> None:
        self._http = AsyncHTTPClient(force_instance=True)

    async def fetch(
        self, req: HTTPRequest, limit_s: float = TIMEOUT_S
    ) -> Result[bytes, StoreFault]:
        """Return the body of an answer, or why there is none."""
        req.connect_timeout = req.request_timeout = limit_s + ABANDONED_CALL_S
        try:
            response = await wait_tolerating_stalls(self._http.fetch(req), limit_s)
        except HTTPClientError as exc:
            return Error(StoreFault(f"answered {exc.code}", exc.code == 599))
        except ConnectionRefusedError:
            return Error(StoreFault("refused the connection", False))
        except (OSError, TimeoutError) as exc:
            return Error(StoreFault(f"did not answer: {exc}", True))
        return Ok(response.body)

    def close(self) -> None:
        """Close every connection."""
        self._http.close()
