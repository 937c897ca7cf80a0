"""HTTP client of an adapter's store, with a timeout for each call."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from expression import Error, Ok, Result
from tornado.httpclient import HTTPClientError
from tornado.iostream import UnsatisfiableReadError
from tornado.simple_httpclient import SimpleAsyncHTTPClient, _HTTPConnection

from foldhoist.daemon.ports import StoreFault
from foldhoist.daemon.waits import wait_tolerating_stalls

if TYPE_CHECKING:
    from tornado.httpclient import HTTPRequest

TIMEOUT_S = 2.0
"""Default timeout of a call to the store, seconds."""
ABANDONED_CALL_S = 5.0
"""Longest time for which the HTTP client keeps a call after its timeout, seconds."""


class _Connection(_HTTPConnection):
    """Ends a call whose connection is reset within the body; tornado lets it wait for its timeout.

    tornado raises the connection's error where nothing handles it.
    """

    def on_connection_close(self) -> None:
        """End the call with the connection's error."""
        try:
            super().on_connection_close()
        except OSError:
            self._handle_exception(*sys.exc_info())


class _Client(SimpleAsyncHTTPClient):
    """tornado's client with these connections."""

    def _connection_class(self) -> type:
        return _Connection


class StoreClient:
    """Connections to a store."""

    def __init__(self) -> None:
        self._http = _Client(force_instance=True)

    async def fetch(
        self, req: HTTPRequest, timeout_s: float = TIMEOUT_S
    ) -> Result[bytes, StoreFault]:
        """Return the body of the response, or the fault."""
        req.connect_timeout = req.request_timeout = timeout_s + ABANDONED_CALL_S
        try:
            response = await wait_tolerating_stalls(self._http.fetch(req), timeout_s)
        except HTTPClientError as exc:
            return Error(StoreFault(f"answered {exc.code}", exc.code == 599))
        except ConnectionRefusedError:
            return Error(StoreFault("refused the connection", False))
        except (OSError, TimeoutError, UnsatisfiableReadError) as exc:
            return Error(StoreFault(f"did not answer: {exc}", True))
        return Ok(response.body)

    def close(self) -> None:
        """Close all connections."""
        self._http.close()
