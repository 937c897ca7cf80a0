"""Calls with an idempotency key at their home: the first one runs, others share its result."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.delivery import replies
from foldhoist.delivery.keys import Deny, Join, Replay, fingerprint

if TYPE_CHECKING:
    from foldhoist.delivery.call_finisher import CallFinisher
    from foldhoist.delivery.dispatch import Action, Counters, Peer
    from foldhoist.delivery.keys import KeyTable
    from foldhoist.schema.messages import Dispatch, Load


class Claims:
    """Claims keys for calls; `now` is monotonic seconds, `wall_ms` wall-clock milliseconds."""

    def __init__(self, keys: KeyTable, finisher: CallFinisher, count: Counters) -> None:
        self._keys = keys
        self._finisher = finisher
        self._count = count

    def claim(
        self, now: float, wall_ms: int, peer: Peer, req: Dispatch, load: Load
    ) -> list[Action] | None:
        """Return the actions for a call that must not run, or None if it is to run."""
        request_fingerprint = fingerprint(req["method"], req["path"], req["body"])
        seq = req["seq"]
        claim = self._keys.claim(
            now, wall_ms, req["key"], req["key_issued_ms"], request_fingerprint
        )
        match claim:
            case Deny():
                self._count.key_denied += 1
                return [self._finisher.send(peer, seq, replies.denied_frame(seq, claim, load))]
            case Replay(response):
                self._count.key_replayed += 1
                frame = replies.answer_frame(seq, response, -1, (0, 0), load)
                return [self._finisher.send(peer, seq, frame)]
            case Join():
                self._finisher.joined.add(req["key"], peer.incarnation, seq)
                return []
        return None
