"""The hosts that lend their shares of quotas to one quota server, as they say; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from foldhoist.customers.candidates import first_server

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator

    from foldhoist.customers.directory import Directory


class Lending(NamedTuple):
    """The quota servers that a host may ask, and when it said so, seconds."""

    servers: frozenset[str]
    since: float


class Lenders:
    """Hosts that have said on their present connection which quota servers they may ask.

    A host lends its share of a customer's quota to the first of these in the customer's ranking. So
    it lends each share to one server only, whatever the servers themselves know of each other. A
    host that is connected and has said nothing lends nothing.
    """

    def __init__(self, server: str) -> None:
        """`server` is the name of the quota server that is lent to."""
        self._server = server
        self._lendings: dict[str, Lending] = {}
        self._hosts: dict[frozenset[str], set[str]] = {}
        self._customers: dict[frozenset[str], frozenset[str]] = {}
        self._limited: tuple[str, ...] = ()

    def adopt(self, directory: Directory) -> None:
        """Apply the customers of a configuration."""
        self._limited = tuple(each.name for each in directory.customers() if each.limited)
        self._customers.clear()

    def record(self, at: float, host: str, servers: Iterable[str]) -> None:
        """Record which quota servers a host may ask."""
        self._forget(host)
        lending = Lending(frozenset(servers), at)
        self._lendings[host] = lending
        self._hosts.setdefault(lending.servers, set()).add(host)

    def retain(self, connected: Collection[str]) -> None:
        """Forget the hosts whose connection is gone."""
        for host in self._lendings.keys() - connected:
            self._forget(host)

    def since(self, host: str) -> float | None:
        """Return when a host has last said to which servers it lends, seconds, or None."""
        lending = self._lendings.get(host)
        return lending.since if lending is not None else None

    def lends(self, host: str, customer: str) -> bool:
        """Return whether a host lends its share of a customer's quota to this server."""
        lending = self._lendings.get(host)
        return lending is not None and customer in self._customers_of(lending.servers)

    def groups(self, customer: str) -> Iterator[set[str]]:
        """Return the hosts that lend a customer's quota, in groups that named the same servers."""
        for servers, hosts in self._hosts.items():
            if customer in self._customers_of(servers):
                yield hosts

    def customers(self) -> set[str]:
        """Return the customers of whose quota any host lends a share."""
        return set().union(*(self._customers_of(servers) for servers in self._hosts))

    def _forget(self, host: str) -> None:
        lending = self._lendings.pop(host, None)
        if lending is None:
            return
        hosts = self._hosts[lending.servers]
        hosts.discard(host)
        if not hosts:
            del self._hosts[lending.servers]
            self._customers.pop(lending.servers, None)

    def _customers_of(self, servers: frozenset[str]) -> frozenset[str]:
        """Return the customers whose first server, of these, is the one lent to."""
        found = self._customers.get(servers)
        if found is None:
            if self._server in servers:
                names = (name for name in self._limited if self._is_first(name, servers))
                found = frozenset(names)
            else:
                found = frozenset()
            self._customers[servers] = found
        return found

    def _is_first(self, customer: str, servers: frozenset[str]) -> bool:
        return first_server(customer, servers) == self._server
