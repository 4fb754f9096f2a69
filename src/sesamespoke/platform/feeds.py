"""The entries of operators and engines in the store, decoded."""

import asyncio
import json
from collections.abc import AsyncGenerator
from types import MappingProxyType
from typing import Any

import structlog

from sesamespoke.checked_fields import MALFORMED, is_finite
from sesamespoke.platform.kv_store import KvStore, WatchTimeout
from sesamespoke.platform.operator_config import read_catalog
from sesamespoke.serving.directory import ListedEndpoint, Listing
from sesamespoke.serving.platform_interface import (
    BadEntry,
    Evacuation,
    OperatorUpdate,
)
from sesamespoke.store import Absent, Entry, StoreUnavailable

ORDERS = 'op/'
CONFIG = 'op/config'
EVACUATE = 'op/evacuate/'
SERVERS = 'servers/'
MS_PER_SECOND = 1000

LEAVING = MappingProxyType({'ready': False, 'draining': True})


log = structlog.get_logger()


class PlatformFeeds:
    """Reads what operators and engines write into the store."""

    def __init__(self, store: KvStore) -> None:
        """Use a client of the store."""
        self.store = store
        self._known_orders: set[str] = set()
        self._decoded: dict[str, tuple[int, ListedEndpoint | None]] = {}

    async def list_endpoints(
        self,
    ) -> Listing | StoreUnavailable:
        """Read the engines' entries; one that can't be read is left out."""
        listed = await self.store.scan_with_revision(SERVERS)
        if isinstance(listed, StoreUnavailable):
            return listed
        entries, revision = listed
        now = asyncio.get_running_loop().time()
        before = self._decoded
        self._decoded = {}
        for entry in entries:
            known = before.get(entry.key)
            if known is None or known[0] != entry.revision:
                found = read_endpoint(entry, now)
                if found is None and (known is None or known[1] is not None):
                    log.info('entry_ignored', key=entry.key, why='no endpoint')
                known = (entry.revision, found)
            self._decoded[entry.key] = known
        listed_now = (endpoint for _, endpoint in self._decoded.values())
        return Listing(revision, tuple(filter(None, listed_now)))

    async def list_hosts(
        self,
        prefix: str,
    ) -> tuple[Entry, ...] | StoreUnavailable:
        """Read the hosts' own entries, by a read that may be seconds old."""
        listed = await self.store.scan_with_revision(prefix, stale=True)
        return listed if isinstance(listed, StoreUnavailable) else listed[0]

    async def watch_operator_entries(
        self, wait: WatchTimeout
    ) -> AsyncGenerator[OperatorUpdate]:
        """Yield what operators have ordered, then each change."""
        watch = self.store.watch(ORDERS, wait, self._known_orders)
        async for change in watch:
            if isinstance(change, StoreUnavailable):
                yield change
                continue
            order = _read_order(change)
            if order is not None:
                yield order


def read_endpoint(entry: Entry, now: float) -> ListedEndpoint | None:
    """Return the engine of an entry, or None if it names none to use.

    ``cold_remaining_ms`` counts from when the engine wrote it, so that an
    engine is taken as cold a little longer than it is.
    """
    try:
        fields = json.loads(entry.content)
        return _read_fields(entry.key.removeprefix(SERVERS), fields, now)
    except MALFORMED:
        return None


def _read_fields(name: str, fields: Any, now: float) -> ListedEndpoint | None:
    texts = (fields['service'], fields['address'], fields['zone'])
    cold_ms = fields.get('cold_remaining_ms', 0)
    slots = fields.get('slots', 1)
    born = fields.get('born', 0)
    state = fields['state']
    well_formed = (
        all(isinstance(text, str) and text for text in texts)
        and all(is_finite(number) for number in (cold_ms, slots, born))
        and slots >= 1
        and state in LEAVING
        and _is_address(fields['address'])
    )
    if not well_formed:
        return None
    service, address, data_centre = texts
    return ListedEndpoint(
        name,
        service,
        address,
        data_centre,
        int(slots),
        LEAVING[state],
        now + cold_ms / MS_PER_SECOND if cold_ms > 0 else 0,
        int(born),
    )


def _is_address(text: str) -> bool:
    ip, _, port = text.rpartition(':')
    return ip.count('.') == 3 and port.isdigit() and int(port) < 65_536


def _read_order(change: Entry | Absent) -> OperatorUpdate | None:
    if change.key.startswith(EVACUATE):
        zone = change.key.removeprefix(EVACUATE)
        return Evacuation(zone, in_service=isinstance(change, Absent))
    if change.key != CONFIG or isinstance(change, Absent):
        return None
    catalog = read_catalog(change.content)
    if isinstance(catalog, str):
        return BadEntry(change.key, catalog)
    return catalog
