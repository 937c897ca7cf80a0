"""Digests of API keys, so that no secret is stored, compared or logged."""

from __future__ import annotations

from hashlib import sha256

DIGEST_CHARS = 64
"""Length of a digest, hexadecimal digits."""
_DIGITS = frozenset("0123456789abcdef")


def digest_of(secret: str) -> str:
    """Return the SHA-256 digest of an API key, hexadecimal.

    Customers are looked up by digest, so the time of a lookup reveals nothing about the key.
    """
    return sha256(secret.encode("utf-8", "surrogateescape")).hexdigest()


def digest_in(credentials: bytes, scheme: bytes) -> str:
    """Return the digest of the key in a header value `SCHEME KEY`, empty if there is none.

    `scheme` is lower case; the header's may be in any case.
    """
    found, _, key = credentials.strip().partition(b" ")
    if found.lower() != scheme or not key.strip():
        return ""
    return digest_of(key.strip().decode("latin-1"))


def parse_digests(text: str) -> tuple[str, ...]:
    """Return the digests of a `keys` option; raises ValueError if one is malformed."""
    parts = tuple(part.strip() for part in text.split(",") if part.strip())
    for part in parts:
        if len(part) != DIGEST_CHARS or not _DIGITS.issuperset(part):
            raise ValueError(f"{part[:8]}... is no digest of {DIGEST_CHARS} hexadecimal digits")
    return parts
