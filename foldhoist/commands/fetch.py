"""Sends requests to the operators address of a daemon."""

from __future__ import annotations

from typing import Any

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from foldhoist.exceptions import UnreachableError

CONNECT_TIMEOUT_S = 5.0
"""Timeout for the connection, seconds: a host that is up accepts within it."""
ANSWER_TIMEOUT_S = 60.0
"""Timeout for the answer, seconds: longer, because the host of the daemon may be busy."""


async def fetch_json(address: str, path: str, method: str = "GET") -> Any:
    """Return a daemon's JSON answer; raises UnreachableError for none or for an error status."""
    body = b"" if method == "POST" else None
    url = f"http://{address}{path}"
    req = HTTPRequest(
        url,
        method=method,
        body=body,
        connect_timeout=CONNECT_TIMEOUT_S,
        request_timeout=ANSWER_TIMEOUT_S,
    )
    try:
        answer = await AsyncHTTPClient().fetch(req)
    except (HTTPClientError, OSError, ValueError) as exc:
        text = f"no answer from a daemon at {address} ({exc}); give the operators address of one"
        raise UnreachableError(text) from exc
    return msgspec.json.decode(answer.body)
