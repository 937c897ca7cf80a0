"""Records of daemons as the platform's store keeps them; no I/O, no clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from foldhoist.membership.incarnations import UpstreamIncarnation  # noqa: TC001 - msgspec reads it

if TYPE_CHECKING:
    from foldhoist.schema.messages import Suspect


class QuarantinedCall(NamedTuple):
    """A quarantined call and its unrefuted crashes, as the store keeps them.

    `at_ms` is the time of the last crash, wall clock in milliseconds.
    """

    call: str
    crashes: tuple[str, ...]
    at_ms: int


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

    @property
    def has_address(self) -> bool:
        """Return whether `frames` is a host and a valid port."""
        host, _, port = self.frames.rpartition(":")
        is_port = port.isascii() and port.isdigit() and 0 < int(port[:6]) < 65536
        return bool(host) and is_port

    def as_bytes(self) -> bytes:
        """Return the record as the store keeps it, JSON."""
        return msgspec.json.encode(self)


def registration_of(name: str, value: bytes) -> Registration | None:
    """Return the record stored under a daemon's name, or None if it is invalid for that name."""
    try:
        found = _REGISTRATIONS.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    return found if found.has_address and found.name == name else None


_REGISTRATIONS = msgspec.json.Decoder(Registration)


def quarantined_call(suspect: Suspect, wall_ms: int) -> QuarantinedCall:
    """Return a quarantined call as the store keeps it."""
    crashes = set(suspect["crashes"]) - set(suspect["refuted"])
    return QuarantinedCall(suspect["call"], tuple(sorted(crashes)), wall_ms - suspect["age_ms"])


def suspect_of(held: QuarantinedCall, wall_ms: int) -> Suspect:
    """Return a stored quarantined call as a message row; its age is at least 0."""
    age_ms = max(0, wall_ms - held.at_ms)
    return {"call": held.call, "crashes": list(held.crashes), "refuted": [], "age_ms": age_ms}
