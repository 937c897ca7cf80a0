"""Rendezvous hashing: hosts that know the same names pick the same ones for a key."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def weight(name: str, key: str) -> bytes:
    """Return the weight of a name for a key; the highest wins."""
    return blake2b(f"{name}\0{key}".encode(), digest_size=8).digest()


def ranked(names: Iterable[str], key: str) -> list[str]:
    """Return the names by weight for this key, highest first."""
    return sorted(names, key=lambda name: (weight(name, key), name), reverse=True)


def home(names: Iterable[str], key: str) -> str | None:
    """Return the name with the highest weight for this key, or None without names."""
    return max(names, key=lambda name: (weight(name, key), name), default=None)
