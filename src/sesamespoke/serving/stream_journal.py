"""Which software version began each stream, for routers that didn't begin it.

While a service runs several versions, each router writes the ids of its new
streams to the store, in batches, and a caller gets the first event of a stream
once its batch is written. A caller whose router has gone takes its stream up
at another one, which reads the batches there.
"""

import asyncio
import contextlib
import json
import secrets
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from sesamespoke.checked_fields import MALFORMED
from sesamespoke.serving.platform_interface import PlatformStore
from sesamespoke.serving.shared_read import SharedRead
from sesamespoke.store import (
    Absent,
    Delete,
    Entry,
    Lease,
    Put,
    StoreUnavailable,
)

JOURNAL_PREFIX = 'sesamespoke/streams/'
RETAIN_SECONDS = 30.0
"""Time after its first event for which a stream is kept; its caller stops
trying before."""
LEASE_SECONDS = 2 * RETAIN_SECONDS
CHECK_SECONDS = 0.4
"""Interval at which streams are looked for that must be written by now, since
their service has got a second version."""
PATIENCE_SECONDS = 0.2
"""Time that a write may take while first events wait for it. A store that is
slower is not waited for: a late stream serves its caller, an unwritten one
only after a crash."""
MAX_BATCHES = 8
"""Batches of a process in the store, from which they are written as one."""
TOKEN_BYTES = 4


@dataclass(frozen=True, slots=True)
class JournalSettings:
    """How often the routers write to the journal.

    All of them together make at most ``writes_per_second`` writes; ``hosts``
    tells how many they are.
    """

    host: str
    writes_per_second: float
    hosts: Callable[[], int | None]

    @property
    def interval(self) -> float:
        """Return the seconds from one write of a router to its next one."""
        return (self.hosts() or 1) / self.writes_per_second


@dataclass(frozen=True, slots=True)
class _Stream:
    service: str
    version: str
    begun_at: float


class StreamJournal:
    """The streams begun here, and those of other routers in the store.

    ``is_needed`` tells whether streams of a service are written to the store.
    """

    def __init__(
        self,
        cfg: JournalSettings,
        store: PlatformStore,
        clock: Callable[[], float],
        is_needed: Callable[[str], bool],
    ) -> None:
        """Start without streams; ``run`` writes them."""
        self._cfg = cfg
        self._store = store
        self._clock = clock
        self._is_needed = is_needed
        # A process must not replace the batches of the one before it.
        self._prefix = (
            f'{JOURNAL_PREFIX}{cfg.host}/{secrets.token_hex(TOKEN_BYTES)}'
        )
        self._streams: dict[str, _Stream] = {}
        self._unwritten: set[str] = set()
        self._batches: list[str] = []
        self._batch_number = 0
        self._lease: Lease | None = None
        self._found: Mapping[str, str] = {}
        self._load = SharedRead(self._read)
        self._is_wanted = asyncio.Event()
        self._next_batch = asyncio.Event()
        self._answers = True
        self._writing_since: float | None = None
        store.era.listeners.append(self._on_new_era)

    def note_begun(self, stream_id: str, service: str, version: str) -> None:
        """Record the version of a stream whose first event has come."""
        self._streams.pop(stream_id, None)
        self._streams[stream_id] = _Stream(service, version, self._clock())
        self._unwritten.add(stream_id)

    async def wait_written(self, stream_id: str) -> None:
        """Return once a stream is in the store, if that may be waited for.

        A store that is slow or away is not waited for.
        """
        stream = self._streams[stream_id]
        if self._is_slow or not self._is_needed(stream.service):
            return
        self._is_wanted.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.batch_seconds + PATIENCE_SECONDS):
                await self._next_batch.wait()

    def version_of(self, stream_id: str) -> str | None:
        """Return the version that began a stream, as far as it is known."""
        stream = self._streams.get(stream_id)
        return stream.version if stream else self._found.get(stream_id)

    async def load(self) -> bool:
        """Read what the routers have written; return whether that worked."""
        return await self._load.get()

    @property
    def batch_seconds(self) -> float:
        """Return the interval at which new streams are written."""
        return self._cfg.interval

    async def run(self) -> None:
        """Write new streams until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_SECONDS):
                    await self._is_wanted.wait()
            self._is_wanted.clear()
            self._drop_old()
            began_at = self._clock()
            await self._write_next_batch()
            took = self._clock() - began_at
            await asyncio.sleep(self.batch_seconds - took)

    @property
    def _is_slow(self) -> bool:
        """Return whether a write failed or takes longer than it may."""
        if self._writing_since is None:
            return not self._answers
        return self._clock() - self._writing_since > PATIENCE_SECONDS

    async def _write_next_batch(self) -> None:
        """Write what is due, and let go what waits for it.

        Streams that begin meanwhile wait for the batch after this one.
        """
        batch = self._next_batch
        self._next_batch = asyncio.Event()
        self._writing_since = self._clock()
        with contextlib.ExitStack() as stack:
            stack.callback(batch.set)
            is_written = await self._write()
        self._answers = is_written and not self._is_slow
        self._writing_since = None

    def _on_new_era(self) -> None:
        self._write_again()
        self._is_wanted.set()

    def _write_again(self) -> None:
        """Write all streams again: a store from a copy may lack them."""
        self._lease = None
        self._batches.clear()
        self._unwritten.update(self._streams)

    def _drop_old(self) -> None:
        oldest = self._clock() - RETAIN_SECONDS
        for stream_id, stream in tuple(self._streams.items()):
            if stream.begun_at >= oldest:
                return
            del self._streams[stream_id]
            self._unwritten.discard(stream_id)

    def _due(self, ids: set[str]) -> set[str]:
        return {
            each for each in ids if self._is_needed(self._streams[each].service)
        }

    async def _write(self) -> bool:
        """Write what is due; return whether the store has it now."""
        due = self._due(self._unwritten)
        if not due:
            return self._answers
        old: list[str] = []
        if len(self._batches) >= MAX_BATCHES:
            old = self._batches
            due = self._due(set(self._streams))
        lease = await self._renew_lease()
        if lease is None:
            return False
        self._batch_number += 1
        key = f'{self._prefix}/{self._batch_number}'
        put = Put(key, self._encode(due), lease.number)
        era = self._store.era.number
        written = await self._store.transact((), (put, *map(Delete, old)))
        if era != self._store.era.number:
            return await self._write()
        if isinstance(written, StoreUnavailable):
            # The lease may have ended, and with it all that was written.
            self._write_again()
            return False
        self._batches = [each for each in self._batches if each not in old]
        self._batches.append(key)
        self._unwritten -= due
        return True

    async def _renew_lease(self) -> Lease | None:
        lease = self._lease
        if lease and lease.expires_at - self._clock() > RETAIN_SECONDS:
            return lease
        renewed = (
            await self._store.renew_lease(lease) if lease else Absent('', 0)
        )
        if isinstance(renewed, Absent):
            self._write_again()
            renewed = await self._store.grant_lease(LEASE_SECONDS)
        if isinstance(renewed, StoreUnavailable):
            return None
        self._lease = renewed
        return renewed

    def _encode(self, ids: set[str]) -> bytes:
        by_version: dict[str, list[str]] = {}
        for stream_id in ids:
            version = self._streams[stream_id].version
            by_version.setdefault(version, []).append(stream_id)
        return json.dumps(by_version).encode()

    async def _read(self) -> bool:
        listed = await self._store.scan(JOURNAL_PREFIX)
        if isinstance(listed, StoreUnavailable):
            return False
        found: dict[str, str] = {}
        for entry in sorted(listed, key=lambda each: each.revision):
            found.update(_decode(entry))
        self._found = found
        return True


def _decode(entry: Entry) -> dict[str, str]:
    """Return the versions of the streams of a batch; none if malformed."""
    try:
        return {
            str(stream_id): str(version)
            for version, ids in json.loads(entry.content).items()
            for stream_id in ids
        }
    except MALFORMED:
        return {}
