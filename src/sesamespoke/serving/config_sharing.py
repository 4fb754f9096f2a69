"""Tells other routers of operator entries that the store may have lost.

After the store has come back from a copy, a router that starts reads what the
copy holds: keys that were revoked since, and data centres that are to get no
work. Every router that knows better tells it, until the store holds as new a
configuration again and operators have had time to write the rest. What is told
first is a version and a few names; a configuration is sent to those who ask.
Routers tell those of their data centre, and its reader tells all.
"""

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

from sesamespoke.routing_messages import (
    ConfigCopy,
    ConfigRequest,
    OperatorEntries,
)
from sesamespoke.serving.catalog import Catalog
from sesamespoke.serving.peer_loads import Broadcaster
from sesamespoke.serving.store_era import StoreEra

MAX_CONFIG_BYTES = 1_900_000
"""A message between routers holds 2 MiB."""
RESTORE_GRACE_SECONDS = 5.0
"""Time in which operators and hosts write their entries again after the store
has come back from a copy; what the copy lacks stands until then."""


class OperatorView(Protocol):
    """The operator entries in force at this router."""

    @property
    def catalog(self) -> Catalog | None:
        """Return the configuration in force."""

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the data centres that are to get no work."""


class ConfigSharing:
    """Sends and receives operator entries that the store may lack."""

    def __init__(
        self,
        links: Broadcaster,
        era: StoreEra,
        view: OperatorView,
        is_reader: Callable[[], bool],
    ) -> None:
        """Subscribe to what other routers know."""
        self.on_config: Callable[[bytes], None] = _ignore_config
        self.on_evacuated: Callable[[frozenset[str]], None] = _ignore_names
        self._links = links
        self._view = view
        self._is_reader = is_reader
        self._lacks_version = False
        self._restored_at: float = -math.inf
        era.listeners.append(self._begin_doubt)
        links.subscribe(OperatorEntries, self._hear_entries)
        links.subscribe(ConfigRequest, self._hear_request)
        links.subscribe(ConfigCopy, self._hear_copy)
        links.on_reconnected(self._tell)

    def note_stored(self, version: int) -> None:
        """Note the version that the store holds; it may end the doubt."""
        if version >= self._version():
            self._lacks_version = False

    def _is_doubtful(self) -> bool:
        """Return whether the store may lack what this router knows."""
        now = asyncio.get_running_loop().time()
        return (
            self._lacks_version
            or now - self._restored_at < RESTORE_GRACE_SECONDS
        )

    def _version(self) -> int:
        catalog = self._view.catalog
        return catalog.version if catalog else 0

    def _begin_doubt(self) -> None:
        self._lacks_version = True
        self._restored_at = asyncio.get_running_loop().time()
        self._tell_all()

    def _tell_all(self) -> None:
        if self._is_reader():
            self._links.broadcast(self._entries())
        else:
            self._links.broadcast_local(self._entries())

    def _tell(self, host: str) -> None:
        if self._is_doubtful():
            self._links.send(host, self._entries())

    def _entries(self) -> OperatorEntries:
        evacuated = tuple(sorted(self._view.evacuated))
        return OperatorEntries(self._version(), evacuated)

    def _hear_entries(self, sender: str, message: OperatorEntries) -> None:
        if message.version > self._version():
            self._links.send(sender, ConfigRequest(message.version))
        missing = frozenset(message.evacuated) - self._view.evacuated
        if missing:
            self.on_evacuated(missing)
            self._pass_on()

    def _hear_request(self, sender: str, message: ConfigRequest) -> None:
        catalog = self._view.catalog
        if catalog is None or len(catalog.source) > MAX_CONFIG_BYTES:
            return
        copy = ConfigCopy(catalog.version, catalog.source)
        self._links.send(sender, copy)

    def _hear_copy(self, sender: str, message: ConfigCopy) -> None:
        if message.version > self._version():
            self.on_config(message.content)
            self._pass_on()

    def _pass_on(self) -> None:
        """Tell all of what a reader has heard from its data centre."""
        if self._is_reader():
            self._links.broadcast(self._entries())


def _ignore_config(content: bytes) -> None:
    """Do nothing with a configuration."""


def _ignore_names(names: frozenset[str]) -> None:
    """Do nothing with evacuated data centres."""
