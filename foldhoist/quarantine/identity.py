"""By what a call is known when it comes again; no I/O."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from foldhoist.delivery.verdict import Headers

DIGEST_BYTES = 8
"""Length of an identity: of a million calls that are noted, two are alike with chance 3e-8."""


def identity_of(method: str, path: str, headers: Headers, body: bytes, caller: str) -> str:
    """Return a digest of what a call asks for and of whose call it is.

    Two calls that ask the same host for the same, with the same body, from the same service are
    alike, at whatever daemon and whenever they come. `path` has the query; of the headers only the
    host counts, since others differ from one sending to the next.
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
