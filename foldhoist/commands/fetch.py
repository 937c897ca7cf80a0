"""Asks a daemon's operator endpoint."""

from __future__ import annotations

from typing import Any

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from foldhoist.exceptions import UnreachableError

CONNECT_S = 5.0
"""Longest wait for a connection: a host that is away takes none, seconds."""
ANSWER_S = 60.0
"""Longest wait for the answer of a daemon that took one: its host may be busy, seconds."""


async def fetch_json(address: str, path: str, method: str = "GET") -> Any:
    """Return what a daemon answers; raises UnreachableError if it does not."""
    body = b"" if method == "POST" else None
    url = f"http://{address}{path}"
    req = HTTPRequest(
        url, method=method, body=body, connect_timeout=CONNECT_S, request_timeout=ANSWER_S
    )
    try:
        answer = await AsyncHTTPClient().fetch(req)
    except (HTTPClientError, OSError, ValueError) as exc:
        text = f"no answer from a daemon at {address} ({exc}); give the operators address of one"
        raise UnreachableError(text) from exc
    return msgspec.json.decode(answer.body)
