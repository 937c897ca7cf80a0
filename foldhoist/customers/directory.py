"""The customers of one configuration, by name and by API key."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from foldhoist.customers.keys import parse_digests
from foldhoist.routing.routes import NO_RANK

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from foldhoist.schema.fleet import Customer as Section
    from foldhoist.schema.fleet import Fleet

NO_KEY = "no-api-key"
"""Reason of a refusal where a request on a route that is not open names no key."""
UNKNOWN_KEY = "unknown-api-key"
"""Reason of a refusal where no customer holds the key."""


class Customer(NamedTuple):
    """Who pays for calls; a `rate_per_s` of 0 is no limit, `burst` calls may run on top of it."""

    name: str
    rank: int = NO_RANK
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def limited(self) -> bool:
        """Return whether there is a quota."""
        return self.rate_per_s > 0

    @property
    def max_credit(self) -> float:
        """Return the calls that may run at once after a while without any."""
        return max(1.0, self.burst)


class Identified(NamedTuple):
    """Whose call it is; None where the route is open and no customer is known."""

    customer: Customer | None


class Unidentified(NamedTuple):
    """Nobody's call: it is refused, for this reason."""

    reason: str


Identity: TypeAlias = Identified | Unidentified


class SharedKey(NamedTuple):
    """Two customers that hold the same key: nobody can tell whose calls those are."""

    first: str
    second: str
    digest: str


def shared_key(sections: Mapping[str, Section]) -> SharedKey | None:
    """Return two customers with a key in common, or None."""
    holders: dict[str, str] = {}
    for name, section in sections.items():
        for digest in parse_digests(section["keys"]):
            holder = holders.setdefault(digest, name)
            if holder != name:
                return SharedKey(holder, name, digest)
    return None


def check_keys(sections: Mapping[str, Section]) -> None:
    """Raise ValueError if two customers hold the same key."""
    if shared := shared_key(sections):
        raise ValueError(f"customers {shared.first} and {shared.second} hold the same key")


class Directory:
    """Customers by name and by the digests of their keys; empty where there are none."""

    def __init__(self, fleet: Fleet | None = None) -> None:
        self._by_name: dict[str, Customer] = {}
        self._by_digest: dict[str, Customer] = {}
        sections = fleet["customers"] if fleet is not None else {}
        for name, section in sections.items():
            rate, burst = section["rate_per_s"], section["burst"]
            customer = Customer(name, section["rank"], rate, burst)
            self._by_name[name] = customer
            for digest in parse_digests(section["keys"]):
                self._by_digest[digest] = customer

    @property
    def has_customers(self) -> bool:
        """Return whether there are customers: then calls need a key."""
        return bool(self._by_name)

    @property
    def has_limited(self) -> bool:
        """Return whether a customer has a quota."""
        return any(customer.limited for customer in self._by_name.values())

    def named(self, name: str) -> Customer | None:
        """Return a customer, or None if the configuration holds none of this name."""
        return self._by_name.get(name)

    def customers(self) -> Iterable[Customer]:
        """Return every customer."""
        return self._by_name.values()

    def identify(self, digest: str, *, is_open: bool) -> Identity:
        """Return whose call it is by the digest of its key, empty if it has none."""
        if not self._by_name:
            return Identified(None)
        customer = self._by_digest.get(digest)
        if customer is not None or is_open:
            return Identified(customer)
        return Unidentified(UNKNOWN_KEY if digest else NO_KEY)
