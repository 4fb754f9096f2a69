"""A store in memory, with outages, delays and lost replies on request."""

import asyncio
from collections.abc import AsyncGenerator, Callable, Sequence

from sesamespoke.serving.store_era import StoreEra
from sesamespoke.store import (
    Absent,
    Committed,
    Conflict,
    Delete,
    Entry,
    Expect,
    Lease,
    Put,
    StoreUnavailable,
)

OUT = StoreUnavailable('the store is out')
REOPEN_SECONDS = 0.5
TIMEOUT_SECONDS = 2.0


class FakeStore:
    """Keeps keys with their revisions and tells watchers of changes.

    While ``is_out``, no call answers. ``delay`` holds each answer back for
    some seconds, beyond ``TIMEOUT_SECONDS`` for ever. The next
    ``lost_replies`` transactions take effect, yet report that they may have
    done so.
    """

    def __init__(self) -> None:
        self.era = StoreEra()
        self.revision = 1
        self.entries: dict[str, Entry] = {}
        self.is_out = False
        self.delay = 0.0
        self.lost_replies = 0
        self.calls = 0
        self._leases: dict[int, float] = {}
        self._watches: set[Callable[[Entry], None]] = set()

    @property
    def watches(self) -> int:
        return len(self._watches)

    async def get(self, key: str) -> Entry | Absent | StoreUnavailable:
        if not await self._answers():
            return OUT
        return self._find(key)

    async def scan(self, prefix: str) -> tuple[Entry, ...] | StoreUnavailable:
        if not await self._answers():
            return OUT
        return self._list(prefix)

    async def transact(
        self,
        expected: Sequence[Expect],
        puts: Sequence[Put | Delete],
    ) -> Committed | Conflict | StoreUnavailable:
        await self._answers()
        if self.is_out:
            return OUT
        found = tuple(self._find(expect.key) for expect in expected)
        pairs = zip(expected, found, strict=True)
        if any(
            expect.revision != _changed_at(entry) for expect, entry in pairs
        ):
            return Conflict(found)
        self.revision += 1
        for change in puts:
            self._apply(change)
        if self.lost_replies or self.delay > TIMEOUT_SECONDS:
            self.lost_replies = max(self.lost_replies - 1, 0)
            return StoreUnavailable('the reply was lost', True)
        return Committed(self.revision)

    async def grant_lease(self, ttl: float) -> Lease | StoreUnavailable:
        now = asyncio.get_running_loop().time()
        if not await self._answers():
            return OUT
        number = len(self._leases) + 1
        self._leases[number] = now + ttl
        return Lease(number, ttl, now + ttl)

    async def renew_lease(
        self, lease: Lease
    ) -> Lease | Absent | StoreUnavailable:
        now = asyncio.get_running_loop().time()
        if not await self._answers():
            return OUT
        if self._leases[lease.number] < now:
            return Absent(f'lease {lease.number}', self.revision)
        self._leases[lease.number] = now + lease.ttl
        return Lease(lease.number, lease.ttl, now + lease.ttl)

    async def watch(
        self, prefix: str
    ) -> AsyncGenerator[Entry | StoreUnavailable]:
        queue: asyncio.Queue[Entry] = asyncio.Queue()
        seen = 0
        self._watches.add(queue.put_nowait)
        try:
            while True:
                if not await self._answers():
                    yield OUT
                    await asyncio.sleep(REOPEN_SECONDS)
                    continue
                for entry in self._list(prefix):
                    if entry.revision > seen:
                        seen = entry.revision
                        yield entry
                await queue.get()
        finally:
            self._watches.discard(queue.put_nowait)

    async def _answers(self) -> bool:
        self.calls += 1
        await asyncio.sleep(min(self.delay, TIMEOUT_SECONDS))
        return not self.is_out and self.delay <= TIMEOUT_SECONDS

    def _find(self, key: str) -> Entry | Absent:
        return self.entries.get(key) or Absent(key, self.revision)

    def _list(self, prefix: str) -> tuple[Entry, ...]:
        keys = sorted(key for key in self.entries if key.startswith(prefix))
        return tuple(self.entries[key] for key in keys)

    def _apply(self, change: Put | Delete) -> None:
        if isinstance(change, Delete):
            gone = [change.key]
            if change.is_prefix:
                gone = [key for key in self.entries if key.startswith(gone[0])]
            for key in gone:
                self.entries.pop(key, None)
            return
        assert len(change.content) <= 1_048_576
        entry = Entry(change.key, change.content, self.revision)
        self.entries[change.key] = entry
        for tell in tuple(self._watches):
            tell(entry)


class CutStore:
    """A store as reached from one place, which can be cut off from it."""

    def __init__(self, store: FakeStore) -> None:
        self.store = store
        self.is_cut = False

    async def get(self, key: str) -> Entry | Absent | StoreUnavailable:
        return OUT if self.is_cut else await self.store.get(key)

    async def scan(self, prefix: str) -> tuple[Entry, ...] | StoreUnavailable:
        return OUT if self.is_cut else await self.store.scan(prefix)

    async def transact(
        self,
        expected: Sequence[Expect],
        puts: Sequence[Put | Delete],
    ) -> Committed | Conflict | StoreUnavailable:
        if self.is_cut:
            return OUT
        return await self.store.transact(expected, puts)

    async def grant_lease(self, ttl: float) -> Lease | StoreUnavailable:
        return OUT if self.is_cut else await self.store.grant_lease(ttl)

    async def renew_lease(
        self, lease: Lease
    ) -> Lease | Absent | StoreUnavailable:
        return OUT if self.is_cut else await self.store.renew_lease(lease)

    async def watch(
        self, prefix: str
    ) -> AsyncGenerator[Entry | StoreUnavailable]:
        async for found in self.store.watch(prefix):
            while self.is_cut:
                yield OUT
                await asyncio.sleep(REOPEN_SECONDS)
            yield found


def _changed_at(entry: Entry | Absent) -> int:
    return entry.revision if isinstance(entry, Entry) else 0
