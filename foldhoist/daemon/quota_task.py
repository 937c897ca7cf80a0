"""Quotas at one daemon: keeps those that fall to it, and tells its ingress who keeps the others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from loguru import logger

from foldhoist.customers.candidates import quota_server_candidates
from foldhoist.customers.quota_server import Hosts, QuotaServer

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from foldhoist.daemon.ingress_task import IngressTask
    from foldhoist.daemon.links import Links
    from foldhoist.daemon.owner_task import OwnerTask
    from foldhoist.schema.messages import CreditAsk

MOST_SHOWN = 20
"""Quotas that the status shows: however many customers there are, it stays readable."""
CHECK_INTERVAL_S = 0.1
"""Time between two looks at which hosts there are, seconds."""


class QuotaTask:
    """Owns the keeper of a daemon; does nothing while no customer has a quota."""

    def __init__(
        self,
        name: str,
        slack: float,
        links: Links,
        ingress_task: IngressTask,
        owner_task: OwnerTask,
        known: Callable[[], Iterable[str]],
        on_servers: Callable[[frozenset[str]], None],
    ) -> None:
        """`known` returns the other hosts; `on_servers` is told which hosts keep quotas, if any."""
        self.name = name
        self.server = QuotaServer(name, slack)
        self._links = links
        self._ingress_task = ingress_task
        self._owner_task = owner_task
        self._known = known
        self._on_servers = on_servers
        self._loop = asyncio.get_running_loop()
        self._hosts: frozenset[str] = frozenset()
        self._task: asyncio.Task[None] | None = None

    def adopt(self) -> None:
        """Take over the customers of the configuration that the ingress has in force."""
        customers = self._ingress_task.ingress.intake.customers
        self.server.adopt(self._loop.time(), customers)
        if customers.has_limited and self._task is None:
            logger.info("quotas are kept: {} customers", len(list(customers.customers())))
            self._task = self._loop.create_task(self._look())
        elif not customers.has_limited and self._task is not None:
            logger.info("quotas are not kept any more")
            self.close()
            self._hosts = frozenset()
            self._on_servers(self._hosts)

    def close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def on_ask(self, link: int, ask: CreditAsk) -> None:
        """Answer an ingress that asks for credit."""
        host = self._owner_task.owner.peer_name(link)
        credit = self.server.on_ask(self._loop.time(), host, ask)
        if ask["elsewhere"]:
            logger.info("host {} asks another keeper of quotas: no answer came in time", host)
            return
        self._owner_task.reply(link, "Credit", credit)

    def status(self) -> list[dict[str, Any]]:
        """Return how much is left of the quotas that are kept here, the most used up first."""
        customers = self._ingress_task.ingress.intake.customers
        rows: list[dict[str, Any]] = []
        for name, left in self.server.levels().items():
            customer = customers.named(name)
            if customer is None:
                continue
            row = {"customer": name, "left": left, "burst": customer.max_credit}
            rows.append({**row, "rate_per_s": customer.rate_per_s})
        return sorted(rows, key=lambda row: float(row["left"] / row["burst"]))[:MOST_SHOWN]

    def counters(self) -> dict[str, int]:
        """Return what was counted of quotas, as keeper and as ingress."""
        book = self._ingress_task.ingress.gate.credits
        return {
            "asked": book.asks,
            "denied": self.server.denied,
            "late": book.late,
            "lent": self.server.granted_total,
            "unanswered": book.unanswered,
        }

    # Steps

    async def _look(self) -> None:
        while True:
            self._see()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _see(self) -> None:
        """Take over which hosts there are now."""
        hosts = frozenset((self.name, *self._known()))
        connected = {name for _, name in self._owner_task.ingresses()}
        self.server.update_hosts(
            self._loop.time(), Hosts(hosts, connected, self._links.connected())
        )
        if hosts != self._hosts:
            self._hosts = hosts
            self._place(hosts)

    def _place(self, hosts: frozenset[str]) -> None:
        """Tell this host's ingress, and whoever connects with them, who keeps quotas."""
        self._ingress_task.ingress.gate.credits.set_hosts(hosts)
        placed = frozenset(quota_server_candidates(hosts))
        keeps = "keeps" if self.name in placed else "does not keep"
        logger.info("quotas are kept by {} hosts; this one {} some", len(placed), keeps)
        self._on_servers(placed)
