"""The interface to the platform's store, implemented by adapters."""

from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass
from typing import Protocol

from sesamespoke.serving.catalog import Catalog
from sesamespoke.serving.directory import Listing
from sesamespoke.serving.store_era import StoreEra
from sesamespoke.store import Entry, KeyStore, StoreUnavailable


@dataclass(frozen=True, slots=True)
class Evacuation:
    """An operator entry that takes a data centre in or out of service."""

    data_centre: str
    in_service: bool


@dataclass(frozen=True, slots=True)
class BadEntry:
    """An operator entry that can't be decoded; it is ignored."""

    key: str
    why: str


OperatorUpdate = Catalog | Evacuation | BadEntry | StoreUnavailable


class PlatformStore(KeyStore, Protocol):
    """A store that tells when it has come back from a copy."""

    @property
    def era(self) -> StoreEra:
        """Return the era of the store, as far as it is known."""


class Feeds(Protocol):
    """Reads the platform's entries and decodes them."""

    @property
    def store(self) -> PlatformStore:
        """Return the client for the keys that the fleet itself writes."""

    async def list_endpoints(
        self,
    ) -> Listing | StoreUnavailable:
        """Read the endpoints that are listed now."""

    async def list_hosts(
        self,
        prefix: str,
    ) -> tuple[Entry, ...] | StoreUnavailable:
        """Read the entries that hosts write; they may be seconds old."""

    def read_config(self, content: bytes) -> Catalog | BadEntry:
        """Decode a configuration that another router has passed on."""

    def watch_operator_entries(
        self,
        wait: Callable[[], float],
    ) -> AsyncGenerator[OperatorUpdate]:
        """Yield the operator entries, then each change of them.

        A request to the platform waits up to ``wait()`` seconds for a change
        before the next one is sent.
        """
