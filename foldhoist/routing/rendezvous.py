"""Rendezvous hashing: everyone who knows the same names picks the same ones."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def weight(name: str, key: str) -> bytes:
    """Return the weight of a name for a key; the greatest wins."""
    return blake2b(f"{name}\0{key}".encode(), digest_size=8).digest()


def ranked(names: Iterable[str], key: str) -> list[str]:
    """Return the names from the greatest weight for this key to the least."""
    return sorted(names, key=lambda name: (weight(name, key), name), reverse=True)


def home(names: Iterable[str], key: str) -> str | None:
    """Return the name with the greatest weight for this key, or None without names."""
    return max(names, key=lambda name: (weight(name, key), name), default=None)
