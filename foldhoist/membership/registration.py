"""Records of daemons as the platform's store keeps them; no I/O, no clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from foldhoist.addresses import parse_address
from foldhoist.decoding import json_decoder
from foldhoist.exceptions import DecodingError
from foldhoist.membership.incarnations import Millis, UpstreamIncarnation  # noqa: TC001 - msgspec

if TYPE_CHECKING:
    from foldhoist.schema.messages import Suspect


class QuarantinedCall(NamedTuple):
    """A quarantined call and its unrefuted crashes, as the store keeps them.

    `at_ms` is the time of the last crash, wall clock in milliseconds.
    """

    call: str
    crashes: tuple[str, ...]
    at_ms: Millis


class Registration(NamedTuple):
    """Record of a daemon in the platform's store.

    `frames` is the address that it listens on, `ended` the incarnations of its upstream that have
    ended, `service` the service of its upstream, and `held` the calls in quarantine.
    """

    name: str
    incarnation: str
    frames: str
    data_centre: str
    ended: tuple[UpstreamIncarnation, ...] = ()
    service: str = ""
    held: tuple[QuarantinedCall, ...] = ()

    def as_bytes(self) -> bytes:
        """Return the record as the store keeps it, JSON."""
        return msgspec.json.encode(self)


def registration_of(name: str, value: bytes) -> Registration | None:
    """Return the record stored under a daemon's name, or None if it is invalid for that name."""
    try:
        found = _REGISTRATIONS.decode(value)
        parse_address(found.frames)
    except DecodingError:
        return None
    return found if found.name == name else None


_REGISTRATIONS = json_decoder(Registration)


def quarantined_call(suspect: Suspect, wall_ms: int) -> QuarantinedCall:
    """Return a quarantined call as the store keeps it."""
    crashes = set(suspect["crashes"]) - set(suspect["refuted"])
    at_ms = max(0, wall_ms - suspect["age_ms"])
    return QuarantinedCall(suspect["call"], tuple(sorted(crashes)), at_ms)


def suspect_of(held: QuarantinedCall, wall_ms: int) -> Suspect:
    """Return a stored quarantined call as a message row; its age is at least 0."""
    age_ms = max(0, wall_ms - held.at_ms)
    return {"call": held.call, "crashes": list(held.crashes), "refuted": [], "age_ms": age_ms}
