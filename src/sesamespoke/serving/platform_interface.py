"""What the serving side asks of the platform; adapters implement it."""

from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass
from typing import Protocol

from sesamespoke.serving.catalog import Catalog
from sesamespoke.serving.directory import Listing
from sesamespoke.store import Entry, KeyStore, StoreUnavailable


@dataclass(frozen=True, slots=True)
class Evacuation:
    """A data centre that is out of service, or back in it."""

    data_centre: str
    in_service: bool


@dataclass(frozen=True, slots=True)
class BadEntry:
    """An entry of the platform that can't be read; it changes nothing."""

    key: str
    why: str


OperatorUpdate = Catalog | Evacuation | BadEntry | StoreUnavailable


class Feeds(Protocol):
    """The platform's entries, decoded."""

    @property
    def store(self) -> KeyStore:
        """Return the client for the fleet's own keys."""

    async def list_endpoints(
        self,
    ) -> Listing | StoreUnavailable:
        """Read the endpoints that are listed now."""

    async def list_hosts(
        self,
        prefix: str,
    ) -> tuple[Entry, ...] | StoreUnavailable:
        """Read the hosts' own entries, as of some seconds ago."""

    def watch_operator_entries(
        self,
        wait: Callable[[], float],
    ) -> AsyncGenerator[OperatorUpdate]:
        """Yield what operators have ordered, then each change.

        The platform is asked anew every ``wait()`` seconds without a change.
        """
