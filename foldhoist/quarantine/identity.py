"""Identifies repeated calls by a digest; no I/O."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from foldhoist.delivery.verdict import Headers

DIGEST_BYTES = 8
"""Length of an identity, bytes: among a million calls, two are alike with a chance of 3e-8."""


def identity_of(method: str, path: str, headers: Headers, body: bytes, caller: str) -> str:
    """Return a hexadecimal digest of what a call requests and of the service that makes it.

    Calls with the same caller, method, path with query, host and body have the same identity at
    every daemon. Other headers are left out, since they may differ between two attempts.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    digest.update(f"{caller} {method} {path} ".encode())
    digest.update(_host(headers))
    digest.update(b"\0")
    digest.update(body)
    return digest.hexdigest()


def _host(headers: Headers) -> bytes:
    for name, value in headers:
        if name.lower() == b"host":
            return value.lower()
    return b""
