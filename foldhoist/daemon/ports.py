"""What an adapter to a platform brings: settings, store, endpoints, headers.

An adapter is a package that the settings name. It knows the platform's words and nothing else:
what is decided, remembered and recovered is the product's.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, NamedTuple, Protocol, cast

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from foldhoist.configlog.evacuations import StoredEvacuations
    from foldhoist.configlog.versions import Version
    from foldhoist.daemon.dialect import Dialect
    from foldhoist.membership.registry import Registration
    from foldhoist.schema.fleet import Fleet
    from foldhoist.schema.messages import Announced
    from foldhoist.schema.settings import Settings


class StoreFault(NamedTuple):
    """The store did not do what was asked; `sent` tells whether it may have been done."""

    what: str
    sent: bool


class StoreData(NamedTuple):
    """What the operator has written: a newer configuration, if any, and evacuations."""

    version: Version | None
    evacuations: StoredEvacuations


class Store(Protocol):
    """The platform's store; every call costs, and may fail, hang or be done unanswered."""

    async def newest(self, answer_s: float) -> Result[StoreData, StoreFault]:
        """Return the newest configuration, None if there is none yet, and all evacuations.

        `answer_s` is the longest wait for an answer, seconds.
        """

    async def poll(self, wait_ms: int, answer_s: float) -> Result[StoreData, StoreFault]:
        """Wait for what is newer than what was returned last, if anything comes.

        `answer_s` is the longest wait for an answer beyond `wait_ms`, seconds.
        """

    async def register(self, registration: Registration) -> Result[None, StoreFault]:
        """Write where this daemon listens; the newest record of a name counts."""

    passed_over: int
    """Records that name no daemon, read until now."""

    async def registrations(self) -> Result[list[Registration], StoreFault]:
        """Return where all daemons listen; a record that names no daemon is passed over."""

    def close(self) -> None:
        """Close every connection."""


class AnnouncementHandler(Protocol):
    """What endpoints hand on; an answer may be given when the call returns."""

    async def on_announcement(self, announced: Announced) -> bool:
        """Take in what the upstream says of itself; returns whether that names an upstream."""

    async def on_departure(self, instance: str, born_ms: int) -> bool:
        """Take in that a life of the upstream is over; returns whether that is acknowledged.

        `born_ms` is its start, milliseconds of wall clock, 0 if it names its id alone.
        """

    def on_invalid(self, fault: str) -> None:
        """Count a word that names no upstream, and log it if there are not too many."""


class Endpoints(Protocol):
    """The servers that the platform calls; `addresses` has where they listen, by name."""

    addresses: dict[str, str]

    def close(self) -> None:
        """Stop listening."""


class Adapter(Protocol):
    """One platform; made by the adapter package's `make_adapter(cfg)`."""

    dialect: Dialect

    def reload(self, cfg: Settings) -> None:
        """Take over settings that have changed."""

    def store(self) -> Store:
        """Return the client of the platform's store."""

    def listen(
        self,
        announcements: AnnouncementHandler,
        is_ready: Callable[[], bool],
        metrics: Callable[[], bytes],
    ) -> Endpoints:
        """Serve what the platform calls."""

    def translate(self, version: Version) -> Result[Fleet, str]:
        """Return the configuration in the product's terms, or why it cannot be used."""


def load_adapter(cfg: Settings) -> Adapter:
    """Return the adapter that the settings name."""
    package = import_module(cfg["platform"]["adapter"])
    make = cast("Callable[[Settings], Adapter]", package.make_adapter)
    return make(cfg)
