"""Runs the quota server of a daemon, and sets the quota servers that its ingress asks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from loguru import logger

from foldhoist.customers.candidates import quota_server_candidates
from foldhoist.customers.quota_server import Hosts, QuotaServer
from foldhoist.daemon.background import run_task
from foldhoist.delivery.dispatch import LOCAL_LINK

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from foldhoist.daemon.ingress_task import IngressTask
    from foldhoist.daemon.owner_task import OwnerTask
    from foldhoist.schema.messages import CreditAsk

MAX_SHOWN = 20
"""Most quotas in the status, so that it stays readable with many customers."""
CHECK_INTERVAL_S = 0.1
"""Interval at which the hosts are updated, seconds."""


class QuotaTask:
    """Owns the quota server of a daemon; does nothing while no customer has a quota."""

    def __init__(
        self,
        name: str,
        slack: float,
        ingress_task: IngressTask,
        owner_task: OwnerTask,
        known_hosts: Callable[[], Iterable[str] | None],
        on_servers: Callable[[frozenset[str]], None],
    ) -> None:
        """Create the quota server; it works from `adopt` on.

        `known_hosts` returns host names, None while the list of hosts is not known yet;
        `on_servers` gets the quota server candidates.
        """
        self.name = name
        self.server = QuotaServer(name, slack)
        self._ingress_task = ingress_task
        self._owner_task = owner_task
        self._known_hosts = known_hosts
        self._on_servers = on_servers
        self._loop = asyncio.get_running_loop()
        self._hosts: frozenset[str] = frozenset()
        self._lending_links: dict[str, int] = {}
        self._task: asyncio.Task[None] | None = None

    def adopt(self) -> None:
        """Apply the customers of the configuration that the ingress has in force."""
        customers = self._ingress_task.ingress.intake.customers
        self.server.adopt(self._loop.time(), customers)
        if customers.has_limited and self._task is None:
            logger.info("quotas enabled, {} customers", len(list(customers.customers())))
            self._task = run_task("quotas", self._update_loop)
        elif not customers.has_limited and self._task is not None:
            logger.info("quotas disabled")
            self.close()
            self._hosts = frozenset()
            self._on_servers(self._hosts)

    def close(self) -> None:
        """Cancel the task."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def on_ask(self, link: int, ask: CreditAsk) -> None:
        """Answer an ingress's request for credit; to what it only tells there is no answer."""
        host = self._owner_task.owner.peer_name(link)
        servers = ask.get("servers")
        if servers is not None:
            self._lending_links[host] = link
            self.server.on_lending(self._loop.time(), host, servers)
            return
        credit = self.server.on_ask(self._loop.time(), host, ask)
        if ask["elsewhere"]:
            logger.info("host {} asks another quota server: it got no answer in time", host)
            return
        self._owner_task.reply(link, "Credit", credit)

    def status(self) -> list[dict[str, Any]]:
        """Return the credit left of the quotas that are served here, the most used up first."""
        customers = self._ingress_task.ingress.intake.customers
        rows: list[dict[str, Any]] = []
        for name, level in self.server.levels().items():
            customer = customers.named(name)
            if customer is None:
                continue
            row = {"customer": name, "left": level, "burst": customer.max_credit}
            lent = round(self.server.rate_share(name), 3)
            rows.append({**row, "rate_per_s": customer.rate_per_s, "lent": lent})
        return sorted(rows, key=lambda row: float(row["left"] / row["burst"]))[:MAX_SHOWN]

    def counters(self) -> dict[str, int]:
        """Return the counters of the quota server and of the ingress's side of quotas."""
        client = self._ingress_task.ingress.gate.credits
        return {
            "asked": client.asks,
            "denied": self.server.denied,
            "late": client.late,
            "lent": self.server.granted_total,
            "unanswered": client.unanswered,
        }

    async def _update_loop(self) -> None:
        while True:
            self._update_hosts()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _update_hosts(self) -> None:
        """Update the hosts known and connected, and tell quota servers of a changed choice.

        Until the list of hosts is known, a host's share of a quota is not: a daemon that knows only
        itself would take all of it.
        """
        known = self._known_hosts()
        if known is None:
            return
        hosts = frozenset((self.name, *known))
        self.server.update_hosts(self._loop.time(), Hosts(hosts, self._connected_hosts()))
        if hosts != self._hosts:
            self._hosts = hosts
            self._set_hosts(hosts)
        self._ingress_task.tell_lendings()

    def _connected_hosts(self) -> set[str]:
        """Return this host and those that have told on their present connection what they lend."""
        connected = {self.name}
        links = {LOCAL_LINK}
        for link, name in self._owner_task.ingresses():
            links.add(link)
            if self._lending_links.get(name) == link:
                connected.add(name)
        for name, link in list(self._lending_links.items()):
            if link not in links:
                del self._lending_links[name]
        return connected

    def _set_hosts(self, hosts: frozenset[str]) -> None:
        """Set the hosts at this host's ingress, and report the quota server candidates."""
        self._ingress_task.ingress.gate.credits.set_hosts(hosts)
        servers = frozenset(quota_server_candidates(hosts))
        keeps = "keeps" if self.name in servers else "does not keep"
        logger.info("quota servers: {} hosts; this one {} quotas", len(servers), keeps)
        self._on_servers(servers)
