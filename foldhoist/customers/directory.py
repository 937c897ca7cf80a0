"""Customers of one configuration, found by name or by API key."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from foldhoist.customers.keys import parse_digests
from foldhoist.routing.routes import NO_RANK

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from foldhoist.schema.fleet import Customer as Section
    from foldhoist.schema.fleet import Fleet

NO_KEY = "no-api-key"
"""Reason of a refusal: the request has no key, and its route is not open."""
UNKNOWN_KEY = "unknown-api-key"
"""Reason of a refusal: the key belongs to no customer."""


class Customer(NamedTuple):
    """A customer and its quota.

    A `rate_per_s` of 0 means no limit; `burst` calls may run beyond the rate.
    """

    name: str
    rank: int = NO_RANK
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def limited(self) -> bool:
        """Return whether the customer has a quota."""
        return self.rate_per_s > 0

    @property
    def max_credit(self) -> float:
        """Return the most credit that may accumulate, in calls; at least 1."""
        return max(1.0, self.burst)


class Identified(NamedTuple):
    """The customer of a call; None if the call needs no customer."""

    customer: Customer | None


class Unidentified(NamedTuple):
    """A call that is refused since no customer was identified, with the reason."""

    reason: str


Identity: TypeAlias = Identified | Unidentified


class SharedKey(NamedTuple):
    """Two customers configured with the same key, so that their calls are ambiguous."""

    first: str
    second: str
    digest: str


def shared_key(sections: Mapping[str, Section]) -> SharedKey | None:
    """Return the first pair of customers that share a key, or None.

    Raises ValueError if a key is not a digest.
    """
    holders: dict[str, str] = {}
    for name, section in sections.items():
        for digest in parse_digests(section["keys"]):
            holder = holders.setdefault(digest, name)
            if holder != name:
                return SharedKey(holder, name, digest)
    return None


def check_keys(sections: Mapping[str, Section]) -> None:
    """Raise ValueError if two customers share a key, or if a key is not a digest."""
    if shared := shared_key(sections):
        raise ValueError(f"customers {shared.first} and {shared.second} hold the same key")


class Directory:
    """Finds customers by name or by the digest of a key."""

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
        """Return whether any customer is configured; if so, routes that are not open need a key."""
        return bool(self._by_name)

    @property
    def has_limited(self) -> bool:
        """Return whether any customer has a quota."""
        return any(customer.limited for customer in self._by_name.values())

    def named(self, name: str) -> Customer | None:
        """Return the customer with this name, or None."""
        return self._by_name.get(name)

    def customers(self) -> Iterable[Customer]:
        """Return all customers."""
        return self._by_name.values()

    def identify(self, digest: str, *, is_open: bool) -> Identity:
        """Identify the customer of a call by the digest of its key, empty without a key.

        An open route also accepts calls without a known key.
        """
        if not self._by_name:
            return Identified(None)
        customer = self._by_digest.get(digest)
        if customer is not None or is_open:
            return Identified(customer)
        return Unidentified(UNKNOWN_KEY if digest else NO_KEY)
