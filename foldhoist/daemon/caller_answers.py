"""Encodes the answers to callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from foldhoist.daemon.http import status_line, write_head

if TYPE_CHECKING:
    from foldhoist.daemon.dialect import Dialect
    from foldhoist.delivery.verdict import Verdict


class EncodedAnswer(NamedTuple):
    """The bytes of an answer; a long body is not copied behind its head."""

    head: bytes
    body: bytes = b""


FAULT_ANSWER = EncodedAnswer(
    b"HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)
"""The answer if an answer can't be encoded."""


def encode_answer(
    dialect: Dialect, verdict: Verdict, trace: str, method: str, keep_alive: bool
) -> EncodedAnswer:
    """Return the answer that tells a verdict; `method` is that of the request, empty if unknown."""
    status, headers, body = dialect.answer(verdict, trace)
    if not keep_alive:
        headers = [*headers, [b"Connection", b"close"]]
    bodiless = status == 204 or status == 304 or status < 200
    head = write_head(status_line(status), headers, None if bodiless else len(body))
    return EncodedAnswer(head, b"" if bodiless or method == "HEAD" else body)
