"""The interface to the platform's store, implemented by adapters."""

from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass
from typing import Protocol

from sesamespoke.serving.catalog import Catalog
from sesamespoke.serving.directory import Listing
from sesamespoke.serving.rollout_plan import Stage
from sesamespoke.serving.store_era import StoreEra
from sesamespoke.store import (
    UNKNOWN_ERA,
    Absent,
    Committed,
    Conflict,
    Entry,
    KeyStore,
    Put,
    StoreUnavailable,
)


@dataclass(frozen=True, slots=True)
class Evacuation:
    """An operator entry that takes a data centre in or out of service."""

    data_centre: str
    in_service: bool


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator entry that moves a service to a software version.

    The rollout is due ``duration`` seconds after the order, whose
    ``revision`` is the store's in ``era``.
    """

    service: str
    version: str
    duration: float
    revision: int
    era: int = UNKNOWN_ERA

    def is_same(self, other: 'RolloutOrder') -> bool:
        """Return whether another entry holds this order.

        Operators write their entries again after the store has come back from
        a copy; the revision then differs.
        """
        is_rewritten = self.era != other.era
        return (self.version, self.duration) == (
            other.version,
            other.duration,
        ) and (is_rewritten or self.revision == other.revision)


@dataclass(frozen=True, slots=True)
class RolloutWithdrawn:
    """The operators have removed the order to roll out at a service."""

    service: str


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """What operators read of a rollout; ``revision`` is the store's.

    A rollout whose stage isn't final is running. The status of an earlier
    order has a lower revision than the order.
    """

    version: str = ''
    stage: Stage = Stage.CANARY
    revision: int = 0


@dataclass(frozen=True, slots=True)
class BadEntry:
    """An operator entry that can't be decoded; it is ignored."""

    key: str
    why: str


RolloutUpdate = RolloutOrder | RolloutWithdrawn
OperatorUpdate = (
    Catalog | Evacuation | RolloutUpdate | BadEntry | StoreUnavailable
)


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

    async def read_rollout_status(
        self, service: str
    ) -> RolloutStatus | Absent | StoreUnavailable:
        """Read the status of a service's latest rollout."""

    async def write_rollout_status(
        self, service: str, status: RolloutStatus, *more: Put
    ) -> Committed | Conflict | StoreUnavailable:
        """Replace a status of ``status.revision``, 0 for none.

        ``more`` is written in the same transaction.
        """

    def watch_operator_entries(
        self,
        wait: Callable[[], float],
    ) -> AsyncGenerator[OperatorUpdate]:
        """Yield the operator entries, then each change of them.

        A request to the platform waits up to ``wait()`` seconds for a change
        before the next one is sent.
        """
