"""The interface of platform adapters: settings, store, endpoints and headers.

An adapter is a package named in the settings. It only translates to and from the platform's
protocols; decisions, state and recovery are left to the daemon.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, NamedTuple, Protocol, cast

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from socket import socket

    from expression import Result

    from foldhoist.configlog.evacuations import StoredEvacuations
    from foldhoist.configlog.versions import Version
    from foldhoist.daemon.dialect import Dialect
    from foldhoist.membership.registration import Registration
    from foldhoist.schema.fleet import Fleet
    from foldhoist.schema.messages import Announced
    from foldhoist.schema.settings import Settings


class StoreFault(NamedTuple):
    """A failed call to the store; `sent` says whether it may have taken effect."""

    what: str
    sent: bool


class StoreData(NamedTuple):
    """A newer configuration, None if there is none, and the stored evacuations."""

    version: Version | None
    evacuations: StoredEvacuations


class Store(Protocol):
    """The platform's store; a call may fail, hang, or take effect without an answer."""

    async def newest(self, answer_s: float) -> Result[StoreData, StoreFault]:
        """Return the newest configuration, None if there is none yet, and all evacuations.

        `answer_s` is the maximum wait for an answer, seconds.
        """

    async def poll(self, wait_ms: int, answer_s: float) -> Result[StoreData, StoreFault]:
        """Wait up to `wait_ms` for changes since the last result.

        `answer_s` is the maximum wait for an answer beyond `wait_ms`, seconds.
        """

    async def register(self, registration: Registration) -> Result[None, StoreFault]:
        """Write this daemon's record; the newest record of a name counts."""

    @property
    def passed_over(self) -> int:
        """Return the number of invalid records ignored so far."""

    async def registrations(self) -> Result[list[Registration], StoreFault]:
        """Return the records of all daemons; invalid records are skipped and counted."""

    def close(self) -> None:
        """Close every connection."""


class AnnouncementHandler(Protocol):
    """Receives announcements; an endpoint answers the upstream after the method returns."""

    async def on_announcement(self, announced: Announced) -> bool:
        """Handle an announcement; return whether it is acknowledged.

        It is not if its upstream is ready for an unknown service, or leaves and may be a previous
        incarnation of the current one.
        """

    async def on_departure(self, instance: str, born_ms: int) -> bool:
        """Handle the departure of an incarnation; return whether it is acknowledged.

        `born_ms` is its start, Unix milliseconds, 0 if only its id is given.
        """

    def on_invalid(self, fault: str) -> None:
        """Count a rejected announcement or departure, and log it within a rate limit."""


class Endpoints(Protocol):
    """The servers for the platform and the upstream."""

    def close(self) -> None:
        """Stop listening."""


class Adapter(Protocol):
    """The adapter of a platform, created by its package's `make_adapter(cfg)`."""

    dialect: Dialect

    def reload(self, cfg: Settings) -> None:
        """Apply changed settings."""

    def store(self) -> Store:
        """Return a client of the platform's store."""

    def listen(
        self,
        sockets: Mapping[str, socket],
        announcements: AnnouncementHandler,
        is_ready: Callable[[], bool],
        metrics: Callable[[], bytes],
    ) -> Endpoints:
        """Start the servers for the platform and the upstream.

        `sockets` are listening, by the options `control` and `operators` of the settings.
        """

    def translate(self, version: Version) -> Result[Fleet, str]:
        """Return the configuration as a fleet, or the reason why it cannot be used."""


def load_adapter(cfg: Settings) -> Adapter:
    """Return the adapter that the settings name."""
    package = import_module(cfg["platform"]["adapter"])
    make = cast("Callable[[Settings], Adapter]", package.make_adapter)
    return make(cfg)
