"""Large answers in pieces: delivered complete or not at all, and interleaved with others."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foldhoist.delivery.pieces import PIECE_BYTES, Fragmenter, Reassembler
from foldhoist.exceptions import ProtocolError

LIMIT = 10_000_000


def answer(seq: int, body: bytes, *, bulk: bool = True) -> dict[str, Any]:
    plain: dict[str, Any] = {"seq": seq, "status": 200, "body": body}
    return {**plain, "bulk": True} if bulk else plain


def sent(fragmenter: Fragmenter, *answers: dict[str, Any]) -> list[Any]:
    """Return the messages sent over the connection, in order."""
    first = [("Answer", dict(fragmenter.first(each))) for each in answers]
    rest: list[Any] = []
    while (piece := fragmenter.next_piece()) is not None:
        rest.append(("Piece", piece))
    return [*first, *rest]


def received(messages: list[Any], reassembler: Reassembler) -> list[dict[str, Any]]:
    found = [
        reassembler.on_answer(body) if kind == "Answer" else reassembler.on_piece(body)
        for kind, body in messages
    ]
    return [each for each in found if each is not None]


@given(st.lists(st.integers(0, 4 * PIECE_BYTES + 3), min_size=1, max_size=5))
def test_every_answer_is_reassembled_unchanged(sizes: list[int]) -> None:
    rng = random.Random(1)
    answers = [answer(seq, rng.randbytes(size)) for seq, size in enumerate(sizes)]
    fragmenter = Fragmenter(LIMIT)
    found = received(sent(fragmenter, *answers), Reassembler(LIMIT))
    assert sorted(found, key=lambda each: each["seq"]) == answers
    assert fragmenter.pending_bytes == 0


@given(st.integers(0, 30))
def test_answer_cut_off_by_a_lost_connection_is_not_delivered(kept: int) -> None:
    messages = sent(
        Fragmenter(LIMIT), answer(1, bytes(5 * PIECE_BYTES)), answer(2, bytes(3 * PIECE_BYTES))
    )
    for found in received(messages[:kept], Reassembler(LIMIT)):
        assert len(found["body"]) == {1: 5, 2: 3}[found["seq"]] * PIECE_BYTES


def test_pieces_of_several_answers_alternate() -> None:
    messages = sent(
        Fragmenter(LIMIT), answer(1, bytes(20 * PIECE_BYTES)), answer(2, bytes(3 * PIECE_BYTES))
    )
    at = next(at for at, (kind, body) in enumerate(messages) if kind == "Piece" and body["last"])
    assert at <= 2 + 2 * 2 + 1
    assert messages[at][1]["number"] == 2


def test_only_large_answers_of_bulk_routes_are_split() -> None:
    fragmenter = Fragmenter(LIMIT)
    for body in (answer(1, bytes(PIECE_BYTES)), answer(2, bytes(9 * PIECE_BYTES), bulk=False)):
        assert fragmenter.first(body) is body
    assert fragmenter.next_piece() is None


def test_unknown_duplicate_and_oversized_pieces_are_protocol_errors() -> None:
    piece: Any = {"number": 1, "last": False, "body": b"x"}
    with pytest.raises(ProtocolError):
        Reassembler(LIMIT).on_piece(piece)
    reassembler = Reassembler(PIECE_BYTES + 1)
    first, *rest = sent(Fragmenter(LIMIT), answer(1, bytes(4 * PIECE_BYTES)))
    assert reassembler.on_answer(first[1]) is None
    with pytest.raises(ProtocolError):
        received(rest, reassembler)
    twice = Reassembler(LIMIT)
    for each in (0, 1):
        body = {**answer(each, b"x"), "rest": 7}
        if each:
            with pytest.raises(ProtocolError):
                twice.on_answer(body)
        else:
            assert twice.on_answer(body) is None
