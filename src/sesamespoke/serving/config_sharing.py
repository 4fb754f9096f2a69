"""Tells other routers of operator entries that the store may have lost.

After the store has come back from a copy, a router that starts reads what the
copy holds: keys that were revoked since, and data centres that are to get no
work. Routers that know better tell it, until the store holds as new a
configuration again.
"""

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
        self._is_doubtful = False
        era.listeners.append(self._begin_doubt)
        links.subscribe(OperatorEntries, self._hear_entries)
        links.subscribe(ConfigRequest, self._hear_request)
        links.subscribe(ConfigCopy, self._hear_copy)
        links.on_reconnected(self._tell)

    def note_stored(self, version: int) -> None:
        """Note the version that the store holds; it may end the doubt."""
        if version >= self._version():
            self._is_doubtful = False

    def _version(self) -> int:
        catalog = self._view.catalog
        return catalog.version if catalog else 0

    def _begin_doubt(self) -> None:
        self._is_doubtful = True
        if self._is_reader():
            self._links.broadcast(self._entries())

    def _tell(self, host: str) -> None:
        if self._is_doubtful:
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

    def _hear_request(self, sender: str, message: ConfigRequest) -> None:
        catalog = self._view.catalog
        if catalog is None or len(catalog.source) > MAX_CONFIG_BYTES:
            return
        copy = ConfigCopy(catalog.version, catalog.source)
        self._links.send(sender, copy)

    def _hear_copy(self, sender: str, message: ConfigCopy) -> None:
        if message.version > self._version():
            self.on_config(message.content)


def _ignore_config(content: bytes) -> None:
    """Do nothing with a configuration."""


def _ignore_names(names: frozenset[str]) -> None:
    """Do nothing with evacuated data centres."""
