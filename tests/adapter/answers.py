"""Answers of an upstream in every framing, with what tells that each is whole."""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple

ATTEMPT = "a1"
"""Attempt id of the call that these answers belong to."""
BODY = b"abcde"
CHUNKS = b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked"
LENGTH = b"Content-Length: 5"


class End(Enum):
    """What ends an answer."""

    FRAMING = auto()
    """The last byte of its length or of its last chunk."""
    CONNECTION = auto()
    """The end of its connection, in order."""
    NEVER = auto()
    """Nothing: it is no valid answer."""


class Framed(NamedTuple):
    """An answer; `before` stands for interim or surplus answers before it on the connection."""

    name: str
    end: End
    head: bytes
    payload: bytes = BODY
    body: bytes = BODY
    before: bytes = b""

    @property
    def data(self) -> bytes:
        """Return all its bytes."""
        return self.before + self.head + self.payload

    @property
    def head_end(self) -> int:
        """Return where its head ends."""
        return len(self.before) + len(self.head)


def head(*lines: bytes, start: bytes = b"HTTP/1.1 200 OK", attempt: bytes = b"a1") -> bytes:
    """Return a signed head."""
    own = (b"X-Attempt-Id: " + attempt, b"X-Response-Signature: s.1")
    return b"\r\n".join([start, *own, *lines, b"", b""])


def _invalid(name: str, *lines: bytes, payload: bytes = BODY) -> Framed:
    return Framed(name, End.NEVER, head(*lines), payload)


def _in_chunks(name: str, payload: bytes) -> Framed:
    return Framed(name, End.FRAMING, head(CHUNKED), payload)


HTTP_10 = b"HTTP/1.0 200 OK"
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
SURPLUS = head(b"Content-Length: 2", attempt=b"b2") + b"zz"

WITH_AN_END = [
    Framed("length", End.FRAMING, head(LENGTH)),
    Framed("length in blanks", End.FRAMING, head(b"Content-Length:  5 ")),
    Framed("length in tabs", End.FRAMING, head(b"Content-Length:\t5\t")),
    Framed("length with zeros", End.FRAMING, head(b"Content-Length: 005")),
    Framed("length in capitals", End.FRAMING, head(b"CONTENT-LENGTH: 5")),
    Framed("length of nothing", End.FRAMING, head(b"Content-Length: 0"), b"", b""),
    Framed("length after an empty header", End.FRAMING, head(b"X-Empty:", LENGTH)),
    Framed("length, no reason", End.FRAMING, head(LENGTH, start=b"HTTP/1.1 200")),
    Framed("length, 1.0", End.FRAMING, head(LENGTH, start=HTTP_10)),
    Framed("length, closing", End.FRAMING, head(LENGTH, b"Connection: close")),
    Framed("length, upgrade offered", End.FRAMING, head(LENGTH, b"Upgrade: x")),
    Framed("length after blank lines", End.FRAMING, head(LENGTH), before=b"\r\n\r\n"),
    _in_chunks("chunks", CHUNKS),
    _in_chunks("chunks of a byte", b"".join(b"1\r\n%c\r\n" % c for c in BODY) + b"0\r\n\r\n"),
    _in_chunks("chunk extensions", b"3;x=1\r\nabc\r\n2;y\r\nde\r\n0;z\r\n\r\n"),
    _in_chunks("trailers", CHUNKS[:-2] + b"X-Sum: 1\r\nX-More: 2\r\n\r\n"),
    Framed("chunks, 1.0", End.FRAMING, head(CHUNKED, start=HTTP_10), CHUNKS),
    Framed("chunks named twice", End.FRAMING, head(CHUNKED, CHUNKED), CHUNKS),
    Framed("interim answer, length", End.FRAMING, head(LENGTH), before=HINTS),
    Framed("interim answers, chunks", End.FRAMING, head(CHUNKED), CHUNKS, before=3 * HINTS),
    Framed(
        "interim answer with a length",
        End.FRAMING,
        head(LENGTH),
        before=b"HTTP/1.1 100 Continue\r\nContent-Length: 7\r\n\r\n",
    ),
    Framed("surplus answer, length", End.FRAMING, head(LENGTH), before=SURPLUS),
    Framed("surplus answer, chunks", End.FRAMING, head(CHUNKED), CHUNKS, before=SURPLUS),
]
"""Answers that are whole once their last byte is there."""

UNTIL_CLOSED = [
    Framed("until closed", End.CONNECTION, head()),
    Framed("until closed, 1.0", End.CONNECTION, head(start=HTTP_10)),
    Framed("until closed, closing", End.CONNECTION, head(b"Connection: close")),
    Framed("until closed, kept", End.CONNECTION, head(b"Connection: keep-alive", start=HTTP_10)),
    Framed("until closed, failure", End.CONNECTION, head(start=b"HTTP/1.1 500 Error")),
    Framed("interim answers, until closed", End.CONNECTION, head(), before=3 * HINTS),
    Framed("surplus answer, until closed", End.CONNECTION, head(), before=SURPLUS),
]
"""Answers that last until their connection ends."""

WITHOUT_BODY = [
    Framed("204", End.FRAMING, head(start=b"HTTP/1.1 204 No"), b"", b""),
    Framed("204 with a length", End.FRAMING, head(LENGTH, start=b"HTTP/1.1 204 No"), b"", b""),
    Framed("304", End.FRAMING, head(start=b"HTTP/1.1 304 No"), b"", b""),
    Framed("304 with a length", End.FRAMING, head(LENGTH, start=b"HTTP/1.1 304 No"), b"", b""),
    Framed("304 in chunks", End.FRAMING, head(CHUNKED, start=b"HTTP/1.1 304 No"), b"", b""),
]
"""Answers that end with their head."""

INVALID = [
    _invalid("length and chunks", LENGTH, CHUNKED, payload=CHUNKS),
    _invalid("chunks and length", CHUNKED, LENGTH, payload=CHUNKS),
    _invalid("length twice", LENGTH, LENGTH),
    _invalid("two lengths", LENGTH, b"Content-Length: 3"),
    _invalid("list of lengths", b"Content-Length: 5, 5"),
    _invalid("length, plus", b"Content-Length: +5"),
    _invalid("length, minus", b"Content-Length: -5"),
    _invalid("length, empty", b"Content-Length:"),
    _invalid("length, two numbers", b"Content-Length: 5 5"),
    _invalid("length, hexadecimal", b"Content-Length: 0x5"),
    _invalid("length, fraction", b"Content-Length: 5.0"),
    _invalid("length, too large", b"Content-Length: 99999999999999999999999"),
    _invalid("length, blank before the colon", b"Content-Length : 5"),
    _invalid("length, tab before the colon", b"Content-Length\t: 5"),
    _invalid("length, folded", b"Content-Length:\r\n 5"),
    _invalid("length, as a continuation", b"X-A: b\r\n Content-Length: 5"),
    _invalid("length, no colon", b"Content-Length 5"),
    _invalid("coding, empty", b"Transfer-Encoding:", payload=CHUNKS),
    _invalid("coding, empty and chunks", b"Transfer-Encoding:", CHUNKED, payload=CHUNKS),
    _invalid("coding, blank before the colon", b"Transfer-Encoding : chunked", payload=CHUNKS),
    _invalid("coding, folded", b"Transfer-Encoding:\r\n chunked", payload=CHUNKS),
    _invalid("coding, identity", b"Transfer-Encoding: identity"),
    _invalid("coding, chunks twice", b"Transfer-Encoding: chunked, chunked", payload=CHUNKS),
    _invalid("coding, parameter", b"Transfer-Encoding: chunked;x=1", payload=CHUNKS),
    _invalid("coding, quoted", b'Transfer-Encoding: "chunked"', payload=CHUNKS),
    Framed("bare line feeds", End.NEVER, head(LENGTH).replace(b"\r\n", b"\n")),
    Framed("bare carriage returns", End.NEVER, head(LENGTH).replace(b"\r\n", b"\r")),
    Framed("101", End.NEVER, head(b"Upgrade: x", start=b"HTTP/1.1 101 Switching")),
    Framed("HTTP/2", End.NEVER, head(LENGTH, start=b"HTTP/2 200 OK")),
    Framed("another protocol", End.NEVER, head(start=b"ICY 200 OK")),
    Framed("no head", End.NEVER, b""),
    Framed("unsigned", End.NEVER, head().replace(b"X-Response-Signature: s.1\r\n", b"")),
    Framed("no attempt id", End.NEVER, head().replace(b"X-Attempt-Id: a1\r\n", b"")),
    Framed("another attempt's", End.NEVER, head(attempt=b"b2")),
]
"""Bytes that are no answer to the call, wherever they end."""

ANSWERS = WITH_AN_END + UNTIL_CLOSED + WITHOUT_BODY + INVALID
