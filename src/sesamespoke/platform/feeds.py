"""Reads and decodes the store entries of operators and engines."""

import asyncio
import json
from collections.abc import AsyncGenerator
from ipaddress import AddressValueError, IPv4Address
from types import MappingProxyType
from typing import Any

import structlog

from sesamespoke.checked_fields import (
    MALFORMED,
    is_count,
    is_finite,
    read_number,
    read_text,
)
from sesamespoke.platform.kv_store import KvStore, WatchTimeout
from sesamespoke.platform.operator_config import read_catalog
from sesamespoke.platform.settings import MAX_PORT
from sesamespoke.serving.catalog import Catalog
from sesamespoke.serving.directory import ListedEndpoint, Listing
from sesamespoke.serving.platform_interface import (
    BadEntry,
    Evacuation,
    OperatorUpdate,
    RolloutOrder,
    RolloutStatus,
    RolloutWithdrawn,
)
from sesamespoke.serving.rollout_plan import Stage
from sesamespoke.store import (
    Absent,
    Committed,
    Conflict,
    Entry,
    Expect,
    Put,
    StoreUnavailable,
)

OPERATOR_PREFIX = 'op/'
CONFIG_KEY = 'op/config'
EVACUATION_PREFIX = 'op/evacuate/'
ROLLOUT_PREFIX = 'op/rollout/'
ROLLOUT_STATUS_PREFIX = 'status/rollout/'
SERVER_PREFIX = 'servers/'
MS_PER_SECOND = 1000

RUNNING = 'running'
VERDICTS = MappingProxyType(
    {'completed': Stage.COMPLETED, 'rolled_back': Stage.ROLLED_BACK}
)
"""Maps the state in a status to the final stage of its rollout."""
VERDICT_NAMES = MappingProxyType(
    {stage: name for name, stage in VERDICTS.items()}
)
LEAVING = MappingProxyType({'ready': False, 'draining': True})
"""Maps the state in an engine's entry to whether the engine is leaving."""

log = structlog.get_logger()


class PlatformFeeds:
    """Implements ``Feeds`` with a client of the store."""

    def __init__(self, store: KvStore) -> None:
        """Read through the given client of the store."""
        self.store = store
        self._known_operator_keys: set[str] = set()
        self._decoded: dict[str, tuple[int, ListedEndpoint | None]] = {}
        store.era.listeners.append(self._forget_decoded)

    def _forget_decoded(self) -> None:
        """Decode all entries anew: their revisions are given out again."""
        self._decoded = {}

    async def list_endpoints(
        self,
    ) -> Listing | StoreUnavailable:
        """Read the engines' entries; skip those that can't be decoded."""
        listed = await self.store.scan_with_revision(SERVER_PREFIX)
        if isinstance(listed, StoreUnavailable):
            return listed
        entries, revision = listed
        now = asyncio.get_running_loop().time()
        previous = self._decoded
        self._decoded = {}
        for entry in entries:
            cached = previous.get(entry.key)
            if cached is None or cached[0] != entry.revision:
                found = read_endpoint(entry, now)
                if found is None and (cached is None or cached[1] is not None):
                    log.info(
                        'entry_ignored', key=entry.key, why='malformed endpoint'
                    )
                cached = (entry.revision, found)
            self._decoded[entry.key] = cached
        listed_now = (endpoint for _, endpoint in self._decoded.values())
        return Listing(
            revision, tuple(filter(None, listed_now)), self.store.era.number
        )

    async def list_hosts(
        self,
        prefix: str,
    ) -> tuple[Entry, ...] | StoreUnavailable:
        """Read the entries that hosts write; they may be seconds old."""
        listed = await self.store.scan_with_revision(prefix, stale=True)
        return listed if isinstance(listed, StoreUnavailable) else listed[0]

    def read_config(self, content: bytes) -> Catalog | BadEntry:
        """Decode a configuration that another router has passed on."""
        return _read_config(content)

    async def read_rollout_status(
        self, service: str
    ) -> RolloutStatus | Absent | StoreUnavailable:
        """Read the status of a service's latest rollout.

        One that can't be decoded is taken as that of a running rollout.
        """
        found = await self.store.get(ROLLOUT_STATUS_PREFIX + service)
        return _read_status(found) if isinstance(found, Entry) else found

    async def write_rollout_status(
        self, service: str, status: RolloutStatus, *more: Put
    ) -> Committed | Conflict | StoreUnavailable:
        """Replace a status of ``status.revision``, 0 for none."""
        key = ROLLOUT_STATUS_PREFIX + service
        content = json.dumps(
            {
                'service': service,
                'to': status.version,
                'state': VERDICT_NAMES.get(status.stage, RUNNING),
            }
        )
        return await self.store.transact(
            (Expect(key, status.revision),),
            (Put(key, content.encode()), *more),
        )

    async def watch_operator_entries(
        self, wait: WatchTimeout
    ) -> AsyncGenerator[OperatorUpdate]:
        """Yield the operator entries, then each change of them."""
        watch = self.store.watch(
            OPERATOR_PREFIX, wait, self._known_operator_keys
        )
        async for change in watch:
            if isinstance(change, StoreUnavailable):
                yield change
                continue
            update = _read_operator_entry(change, self.store.era.number)
            if update is not None:
                yield update


def read_endpoint(entry: Entry, now: float) -> ListedEndpoint | None:
    """Return the engine that an entry describes, or None if it is malformed.

    The engine counts ``cold_remaining_ms`` from the time of its write and
    the router from its own read, so an engine is treated as cold slightly
    longer than it is.
    """
    try:
        fields = json.loads(entry.content)
        name = entry.key.removeprefix(SERVER_PREFIX)
        return _read_fields(name, fields, now, entry.revision)
    except MALFORMED:
        return None


def _read_fields(
    name: str, fields: Any, now: float, revision: int
) -> ListedEndpoint | None:
    texts = (fields['service'], fields['address'], fields['zone'])
    version = fields.get('version', '')
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
    if not (well_formed and isinstance(version, str)):
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
        revision,
        version,
    )


def _is_address(text: str) -> bool:
    ip, _, port = text.rpartition(':')
    try:
        IPv4Address(ip)
    except AddressValueError:
        return False
    return is_count(port) and 0 < int(port) <= MAX_PORT


def _read_status(entry: Entry) -> RolloutStatus:
    try:
        fields = json.loads(entry.content)
        stage = VERDICTS.get(fields['state'], Stage.CANARY)
        return RolloutStatus(read_text(fields, 'to'), stage, entry.revision)
    except MALFORMED:
        return RolloutStatus(revision=entry.revision)


def _read_rollout(change: Entry | Absent, era: int) -> OperatorUpdate:
    """Return an order; its service is the one that its key names."""
    service = change.key.removeprefix(ROLLOUT_PREFIX)
    if isinstance(change, Absent):
        return RolloutWithdrawn(service)
    try:
        fields = json.loads(change.content)
        version = read_text(fields, 'to')
        duration = read_number(fields, 'rollout_duration_s')
    except MALFORMED as exc:
        return BadEntry(change.key, f'{type(exc).__name__}: {exc}')
    if not (version and duration > 0):
        return BadEntry(change.key, 'no version or no duration')
    return RolloutOrder(service, version, duration, change.revision, era)


def _read_operator_entry(
    change: Entry | Absent, era: int
) -> OperatorUpdate | None:
    if change.key.startswith(ROLLOUT_PREFIX):
        return _read_rollout(change, era)
    if change.key.startswith(EVACUATION_PREFIX):
        data_centre = change.key.removeprefix(EVACUATION_PREFIX)
        return Evacuation(data_centre, in_service=isinstance(change, Absent))
    if change.key != CONFIG_KEY or isinstance(change, Absent):
        return None
    return _read_config(change.content)


def _read_config(content: bytes) -> Catalog | BadEntry:
    catalog = read_catalog(content)
    return (
        BadEntry(CONFIG_KEY, catalog) if isinstance(catalog, str) else catalog
    )
