"""Idempotency keys at their home: a call with a key runs at most once within the key's window.

The home of a key is the target that rendezvous hashing selects for it. A home runs a call only if
it knows every run with that key since the key was issued. Otherwise it refuses the call, and states
whether one with the key may have run before. See docs/design/at-most-once.md.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from foldhoist.delivery.verdict import Response
from foldhoist.routing.rendezvous import home

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foldhoist.schema.messages import Handed, KeyState

KEY_WINDOW_S = 600.0
"""How long a key is remembered unless a configuration sets it, seconds."""
CLOCK_SKEW_MS = 2000
"""Wall clocks of two hosts are assumed to differ by less than this, milliseconds."""
MAX_KEYS = 50_000
"""Keys that one home remembers; further new keys are refused."""
MAX_ANSWER_BYTES = 32 * 1024 * 1024
"""Bytes of answer bodies that one home keeps; from this on new keys are refused."""


class Run(NamedTuple):
    """The key was new and is now claimed: run the call."""


class Join(NamedTuple):
    """A call with this key is running: this call gets the same result."""


class Replay(NamedTuple):
    """A call with this key was answered: send its answer again."""

    response: Response


class Deny(NamedTuple):
    """The call is not run; `ran` is "maybe" if an earlier call with the key may have run."""

    ran: str
    reason: str
    retry_after_s: float


Claim: TypeAlias = Run | Join | Replay | Deny


class _Entry:
    __slots__ = ("claimed_at", "fingerprint", "response", "running")

    def __init__(self, fingerprint: str, claimed_at: float, running: bool) -> None:
        self.fingerprint = fingerprint
        self.claimed_at = claimed_at
        self.running = running
        self.response: Response | None = None


def fingerprint(method: str, path: str, body: bytes) -> str:
    """Return a digest of a request's method, path and body."""
    digest = blake2b(digest_size=12)
    digest.update(f"{method} {path}\0".encode())
    digest.update(body)
    return digest.hexdigest()


def uuid7_issued_ms(key: str) -> int:
    """Return the wall-clock time in a UUIDv7, milliseconds, or 0 if the key is no UUIDv7."""
    digits = key.replace("-", "")
    if len(digits) != 32 or digits[12] != "7":
        return 0
    try:
        return int(digits[:12], 16)
    except ValueError:
        return 0


class KeyTable:
    """The keys of one home; `now` is monotonic seconds, `wall_ms` wall-clock milliseconds."""

    def __init__(self, name: str, window_s: float) -> None:
        self.name = name
        self.window_s = window_s
        self.generation = 0
        self._names: frozenset[str] | None = None
        self._former_names: frozenset[str] | None = None
        self._pending: set[str] = set()
        self._own_since_ms = 0
        self._moved_since_ms = 0
        self._entries: dict[str, _Entry] = {}
        self._bytes = 0

    @property
    def pending(self) -> frozenset[str]:
        """Return the targets that have not handed over their keys yet."""
        return frozenset(self._pending)

    @property
    def since_ms(self) -> int:
        """Return the wall-clock milliseconds since which every run of this home's keys is known."""
        return max(self._own_since_ms, self._moved_since_ms)

    def adopt(
        self, wall_ms: int, generation: int, serving: Iterable[str], targets: Iterable[str]
    ) -> frozenset[str]:
        """Apply a generation; returns the targets that must hand over their keys first.

        A generation that is not newer is ignored and returns none. `serving` are the targets that
        may be homes, `targets` all that are not retired; this home may be among them.
        """
        names = frozenset(serving)
        followed = generation == self.generation + 1 and self._names is not None
        if generation <= self.generation:
            return frozenset()
        self.generation = generation
        if followed and names == self._names:
            self._pending &= set(targets)
            return frozenset(self._pending)
        self._own_since_ms = self.since_ms
        self._former_names = self._names if followed else None
        if not followed:
            self._own_since_ms = wall_ms
        self._moved_since_ms = self._own_since_ms
        gone = (self._names or frozenset()) - set(targets)
        if gone:
            self._moved_since_ms = wall_ms
        self._names = names
        self._pending = set(targets) - {self.name}
        return frozenset(self._pending)

    def handed(self, now: float, message: Handed) -> None:
        """Import the keys of a former home, which no longer runs them."""
        if message["generation"] < self.generation:
            return
        if message["former"] not in self._pending:
            return
        self._pending.discard(message["former"])
        if self._former_names is not None and message["former"] in self._former_names:
            self._moved_since_ms = max(self._moved_since_ms, message["since_ms"])
        for state in message["keys"]:
            self._import(now, state)

    def export(self, now: float, target: str) -> list[KeyState]:
        """Return the state of the keys whose home is now `target`."""
        states: list[KeyState] = []
        for key, entry in self._entries.items():
            if self._home(key) != target:
                continue
            states.append(_key_state(key, entry, now))
        return states

    def claim(
        self, now: float, wall_ms: int, key: str, issued_ms: int, request_fingerprint: str
    ) -> Claim:
        """Decide whether a call with this key runs; `issued_ms` is 0 if not known."""
        if self._home(key) != self.name:
            return Deny("no", "key-has-another-home", 0.5)
        entry = self._entries.get(key)
        if entry is not None:
            return _claim_known_key(entry, request_fingerprint)
        was_home = self._former_names is not None and home(self._former_names, key) == self.name
        if self._pending and not was_home:
            return Deny("no", "key-handover-pending", 0.5)
        since = self._own_since_ms if was_home else self._moved_since_ms
        earliest_ms = issued_ms or wall_ms - int(self.window_s * 1000)
        if earliest_ms < since + CLOCK_SKEW_MS:
            return Deny("maybe", "key-older-than-its-home", self.window_s)
        if earliest_ms < wall_ms - self.window_s * 1000 and issued_ms:
            return Deny("maybe", "key-past-its-window", self.window_s)
        if len(self._entries) >= MAX_KEYS or self._bytes >= MAX_ANSWER_BYTES:
            return Deny("no", "key-table-full", 1.0)
        self._entries[key] = _Entry(request_fingerprint, now, running=True)
        return Run()

    def ended(self, key: str, response: Response | None, ran: bool) -> None:
        """Record the end of a claimed run: answered, may have run (no response), or not run."""
        entry = self._entries.get(key)
        if entry is None:
            return
        entry.running = False
        if not ran:
            del self._entries[key]
            return
        if response is not None:
            entry.response = response
            self._bytes += len(response.body)

    def expire(self, now: float) -> None:
        """Forget the keys whose window has passed, except those that still run."""
        limit = now - self.window_s
        old = [key for key, entry in self._entries.items() if entry.claimed_at < limit]
        for key in old:
            entry = self._entries[key]
            if entry.running:
                continue
            if entry.response is not None:
                self._bytes -= len(entry.response.body)
            del self._entries[key]

    def _home(self, key: str) -> str | None:
        return home(self._names or (), key)

    def _import(self, now: float, state: KeyState) -> None:
        known = self._entries.get(state["key"])
        if known is not None and (known.response is not None or state["ran"] != "answered"):
            return
        entry = _Entry(state["fingerprint"], now - state["age_ms"] / 1000, running=False)
        if state["ran"] == "answered":
            entry.response = Response(state["status"], state["headers"], state["body"])
            self._bytes += len(state["body"])
        self._entries[state["key"]] = entry


def _claim_known_key(entry: _Entry, request_fingerprint: str) -> Claim:
    if entry.fingerprint != request_fingerprint:
        return Deny("no", "key-reused-for-another-request", 0.0)
    if entry.running:
        return Join()
    if entry.response is not None:
        return Replay(entry.response)
    return Deny("maybe", "key-may-have-run", 0.0)


def _key_state(key: str, entry: _Entry, now: float) -> KeyState:
    response = entry.response
    return {
        "key": key,
        "fingerprint": entry.fingerprint,
        "ran": "answered" if response is not None else "maybe",
        "status": response.status if response is not None else 0,
        "headers": response.headers if response is not None else [],
        "body": response.body if response is not None else b"",
        "age_ms": int((now - entry.claimed_at) * 1000),
    }
