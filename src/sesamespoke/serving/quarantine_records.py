"""Keeps what is quarantined in the platform's store, for routers that start.

Running routers tell each other. Without these records, a fleet whose routers
all restart would learn again, at the cost of more crashes, which requests and
prompt parts crash endpoints.
"""

import asyncio
import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from types import MappingProxyType

import xxhash

from sesamespoke.checked_fields import (
    MALFORMED,
    Fields,
    read_flag,
    read_text,
)
from sesamespoke.links import Links
from sesamespoke.placement import rank_hosts
from sesamespoke.serving.platform_interface import PlatformStore
from sesamespoke.serving.serving_dependencies import Log
from sesamespoke.store import Delete, Entry, Put, StoreUnavailable

RECORD_PREFIX = 'sesamespoke/quarantine/'
PART_PREFIX = f'{RECORD_PREFIX}part/'
REQUEST_PREFIX = f'{RECORD_PREFIX}request/'
RECORD_SECONDS = 600.0
"""Lease of a record, the longest that the store grants."""
RENEWAL_SECONDS = 200.0
"""Interval at which a record that still holds is written again."""
RETRY_SECONDS = 0.3
WRITERS = 2
"""Hosts that write a record; one of them may be cut off from the store."""


@dataclass(frozen=True, slots=True)
class PartRecord:
    """A quarantined part; ``proven`` if it alone explains its crashes."""

    part: str
    proven: bool

    @property
    def key(self) -> str:
        """Return the key of the record in the store."""
        return PART_PREFIX + xxhash.xxh3_64_hexdigest(self.part.encode())

    def encode(self) -> bytes:
        """Return the value of the record in the store."""
        return json.dumps({'part': self.part, 'proven': self.proven}).encode()


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """A quarantined request, by its digest."""

    digest: bytes

    @property
    def key(self) -> str:
        """Return the key of the record in the store."""
        return REQUEST_PREFIX + self.digest.hex()

    def encode(self) -> bytes:
        """Return the value of the record in the store."""
        return json.dumps({'digest': self.digest.hex()}).encode()


Record = PartRecord | RequestRecord


class QuarantineRecords:
    """Reads the records when the process starts, and writes its share."""

    def __init__(
        self,
        store: PlatformStore,
        links: Links,
        current: Callable[[], Iterable[Record]],
        log: Log,
    ) -> None:
        """Prepare to write what ``current`` returns; ``run`` does it."""
        self.on_record: Callable[[Record], None] = _ignore
        self._store = store
        self._links = links
        self._current = current
        self._log = log
        self._written: dict[str, tuple[bytes, float]] = {}
        self._removed: set[str] = set()
        self._found_here: set[str] = set()
        self._changed = asyncio.Event()
        store.era.listeners.append(self._write_again)

    def update(self, found_here: Record | None = None) -> None:
        """Write soon what has changed.

        A record that was ``found_here`` is written by this host in any case.
        """
        if found_here is not None:
            self._found_here.add(found_here.key)
        self._changed.set()

    def _write_again(self) -> None:
        """Write all records again, since the store may have lost them."""
        self._written.clear()
        self._changed.set()

    def remove(self, record: Record) -> None:
        """Remove a record soon, whichever host has written it."""
        self._removed.add(record.key)
        self._changed.set()

    async def run(self) -> None:
        """Read the records, then keep them up to date until cancelled."""
        while not await self._load():
            await asyncio.sleep(RETRY_SECONDS)
        while True:
            self._changed.clear()
            if await self._write():
                await self._wait_for_change()
            else:
                await asyncio.sleep(RETRY_SECONDS)

    async def _load(self) -> bool:
        listed = await self._store.scan(RECORD_PREFIX)
        if isinstance(listed, StoreUnavailable):
            return False
        for entry in listed:
            record = _read_record(entry)
            if record is None:
                self._log('entry_ignored', key=entry.key, why='bad record')
            else:
                self._log('quarantine_restored', key=entry.key)
                self.on_record(record)
        return True

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(RENEWAL_SECONDS):
                await self._changed.wait()
        except TimeoutError:
            return

    async def _write(self) -> bool:
        """Write and remove what is due; return whether all succeeded."""
        now = asyncio.get_running_loop().time()
        current = {record.key: record.encode() for record in self._current()}
        own = {
            key: content
            for key, content in current.items()
            if key in self._found_here or self._is_writer(key)
        }
        self._found_here &= current.keys()
        self._removed |= self._written.keys() - current.keys()
        self._removed -= current.keys()
        for key in tuple(self._removed):
            if not await self._remove(key):
                return False
        for key, content in own.items():
            if self._is_due(key, content, now) and not await self._put(
                key, content
            ):
                return False
        return True

    def _is_writer(self, key: str) -> bool:
        writers = rank_hosts(key, self._links.view.hosts())[:WRITERS]
        return self._links.host in writers

    def _is_due(self, key: str, content: bytes, now: float) -> bool:
        known, written_at = self._written.get(key, (b'', -RENEWAL_SECONDS))
        return known != content or now - written_at >= RENEWAL_SECONDS

    async def _put(self, key: str, content: bytes) -> bool:
        lease = await self._store.grant_lease(RECORD_SECONDS)
        if isinstance(lease, StoreUnavailable):
            return False
        put = Put(key, content, lease.number)
        written = await self._store.transact((), (put,))
        if isinstance(written, StoreUnavailable):
            return False
        now = asyncio.get_running_loop().time()
        self._written[key] = (content, now)
        self._log('quarantine_recorded', key=key)
        return True

    async def _remove(self, key: str) -> bool:
        written = await self._store.transact((), (Delete(key),))
        if isinstance(written, StoreUnavailable):
            return False
        self._removed.discard(key)
        self._written.pop(key, None)
        return True


def _read_record(entry: Entry) -> Record | None:
    """Return the record of an entry, or None if it can't be read."""
    kind = entry.key.removeprefix(RECORD_PREFIX).partition('/')[0]
    try:
        return _READERS[kind](json.loads(entry.content))
    except MALFORMED:
        return None


def _read_part(fields: Fields) -> Record:
    return PartRecord(read_text(fields, 'part'), read_flag(fields, 'proven'))


def _read_request(fields: Fields) -> Record:
    return RequestRecord(bytes.fromhex(read_text(fields, 'digest')))


def _ignore(record: Record) -> None:
    """Do nothing with a record."""


_READERS = MappingProxyType({'part': _read_part, 'request': _read_request})
