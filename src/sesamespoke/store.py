"""The port to the platform's key-value service.

Adapters implement ``Store``; each awaited call is one call in the
service's rate, whatever a transaction carries. No method raises for an
outage: it returns ``StoreUnavailable``.
"""

from collections.abc import AsyncGenerator, Sequence
from dataclasses import dataclass
from typing import Protocol

UNKNOWN_ERA = -1
"""Stands for the era of a store that has told none; eras begin at 0."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A key's value and the store revision that last changed it."""

    key: str
    content: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Absent:
    """No such key; ``revision`` is the store's."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Expect:
    """A condition: the key's last change, or 0 for a key not there."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A write; ``lease`` 0 keeps the key until it is deleted."""

    key: str
    content: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """The removal of a key, or of all keys that begin with it.

    Nothing happens where there is none.
    """

    key: str
    is_prefix: bool = False


@dataclass(frozen=True, slots=True)
class Committed:
    """A transaction that took effect at a store revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A transaction that did not take effect, with what stands there."""

    found: tuple[Entry | Absent, ...]


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """No answer; ``may_have_applied`` if a write may have taken effect."""

    detail: str
    may_have_applied: bool = False


@dataclass(frozen=True, slots=True)
class Lease:
    """A granted lease.

    ``expires_at`` is on this loop's clock, counted from before the grant
    was asked for, so that it is never later than the store's own expiry.
    """

    number: int
    ttl: float
    expires_at: float


class KeyStore(Protocol):
    """Reads, conditional writes and leases of a key-value service."""

    async def get(self, key: str) -> Entry | Absent | StoreUnavailable:
        """Read one key."""

    async def scan(
        self,
        prefix: str,
    ) -> tuple[Entry, ...] | StoreUnavailable:
        """Read every key that begins with a prefix."""

    async def transact(
        self,
        expected: Sequence[Expect],
        puts: Sequence[Put | Delete],
    ) -> Committed | Conflict | StoreUnavailable:
        """Apply all changes if every expectation holds, else none."""

    async def grant_lease(self, ttl: float) -> Lease | StoreUnavailable:
        """Ask for a lease of ``ttl`` seconds."""

    async def renew_lease(
        self,
        lease: Lease,
    ) -> Lease | Absent | StoreUnavailable:
        """Extend a lease; ``Absent`` if it has lapsed."""


class Store(KeyStore, Protocol):
    """What the fleet uses of the platform's key-value service."""

    def watch(
        self,
        prefix: str,
    ) -> AsyncGenerator[Entry | StoreUnavailable]:
        """Yield what stands below a prefix, then each change of it.

        After an interruption it yields ``StoreUnavailable`` and goes on.
        """
