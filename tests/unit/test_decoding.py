"""Every invalid document raises DecodingError, which those who read entries of others catch."""

from __future__ import annotations

from typing import Any

import pytest

from foldhoist.decoding import json_decoder, msgpack_decoder
from foldhoist.exceptions import DecodingError

DEEP = 100_000
ODD_JSON = {
    "nested arrays": b"[" * DEEP,
    "closed arrays": b"[" * DEEP + b"]" * DEEP,
    "nested objects": b'{"a":' * DEEP,
    "long number": b"9" * 5000,
    "long negative number": b"-" + b"9" * 5000,
    "beyond doubles": b"1e400",
    "NaN": b"NaN",
    "infinity": b"-Infinity",
    "no UTF-8": b'"\xff"',
    "lone surrogate": b'"\\ud800"',
    "half": b"[1,",
    "a comma": b",",
}
ODD_MSGPACK = {
    "nested arrays": b"\x91" * DEEP,
    "nested maps": b"\x81\xa1a" * DEEP,
    "long array without elements": b"\xdd\xff\xff\xff\xff",
    "long text without bytes": b"\xdb\xff\xff\xff\xff",
    "no UTF-8": b"\xa1\xff",
    "unknown type": b"\xc1",
    "empty": b"",
}


@pytest.mark.parametrize("odd", ODD_JSON.values(), ids=ODD_JSON)
@pytest.mark.parametrize("form", [b"%b", b'{"a":%b}', b"[%b]"])
def test_odd_json_raises_one_error(odd: bytes, form: bytes) -> None:
    with pytest.raises(DecodingError):
        json_decoder(Any).decode(form % odd)


@pytest.mark.parametrize("odd", ODD_MSGPACK.values(), ids=ODD_MSGPACK)
def test_odd_msgpack_raises_one_error(odd: bytes) -> None:
    with pytest.raises(DecodingError):
        msgpack_decoder(Any).decode(odd)


def test_a_valid_document_is_decoded_after_an_odd_one() -> None:
    decoder = json_decoder(dict[str, int])
    with pytest.raises(DecodingError, match="nested too deeply"):
        json_decoder(Any).decode(b"[" * DEEP)
    assert decoder.decode(b'{"a":1}') == {"a": 1}
