"""Decodes JSON and MessagePack that others wrote; whatever is invalid raises one typed error."""

from __future__ import annotations

from typing import Generic, TypeVar

import msgspec

from foldhoist.exceptions import DecodingError

T = TypeVar("T")


class Decoder(Generic[T]):
    """Decodes and validates documents of one type."""

    def __init__(self, decoder: msgspec.json.Decoder[T] | msgspec.msgpack.Decoder[T]) -> None:
        self._decoder = decoder

    def decode(self, data: bytes | memoryview | msgspec.Raw) -> T:
        """Return the document; raises DecodingError if it is invalid or nested too deeply."""
        try:
            return self._decoder.decode(data)
        except RecursionError as exc:
            raise DecodingError("is nested too deeply") from exc
        except (msgspec.MsgspecError, ValueError, OverflowError) as exc:
            raise DecodingError(str(exc)) from exc


def json_decoder(kind: type[T]) -> Decoder[T]:
    """Return a decoder of JSON documents of this type."""
    return Decoder(msgspec.json.Decoder(kind))


def msgpack_decoder(kind: type[T]) -> Decoder[T]:
    """Return a decoder of MessagePack documents of this type."""
    return Decoder(msgspec.msgpack.Decoder(kind))
