"""The store adapter for etcd v3's JSON gateway."""

import asyncio
import math
from collections.abc import AsyncGenerator, Sequence
from contextlib import aclosing
from dataclasses import dataclass

from sesamespoke.etcd_codec import Codec, Reply, revision_of
from sesamespoke.etcd_gateway import Gateway
from sesamespoke.settings import StoreSettings
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

REOPEN_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class _Batch:
    """What a watch found up to a revision; 0 asks to read everything."""

    revision: int
    found: tuple[Entry | StoreUnavailable, ...] = ()


class EtcdStore:
    """The platform's key-value service, reached at one of its URLs."""

    def __init__(self, cfg: StoreSettings) -> None:
        """Create the adapter; no connection is opened yet."""
        self._codec = Codec(cfg.prefix)
        self._gateway = Gateway(cfg)
        self._closed = False

    async def get(self, key: str) -> Entry | Absent | StoreUnavailable:
        """Read one key."""
        message = {'key': self._codec.key(key)}
        reply = await self._gateway.call('kv/range', message)
        if isinstance(reply, StoreUnavailable):
            return reply
        return self._codec.found(key, reply, revision_of(reply))

    async def scan(
        self,
        prefix: str,
    ) -> tuple[Entry, ...] | StoreUnavailable:
        """Read every key that begins with a prefix."""
        message = self._codec.range(prefix)
        reply = await self._gateway.call('kv/range', message)
        if isinstance(reply, StoreUnavailable):
            return reply
        return self._codec.entries(reply)

    async def transact(
        self,
        expected: Sequence[Expect],
        puts: Sequence[Put | Delete],
    ) -> Committed | Conflict | StoreUnavailable:
        """Apply all changes if every expectation holds, else none."""
        message = self._codec.transaction(expected, puts)
        reply = await self._gateway.call('kv/txn', message)
        if isinstance(reply, StoreUnavailable):
            return reply
        if reply.get('succeeded'):
            return Committed(revision_of(reply))
        return Conflict(self._codec.conflict(expected, reply))

    async def grant_lease(self, ttl: float) -> Lease | StoreUnavailable:
        """Ask for a lease of ``ttl`` seconds, in whole seconds upwards."""
        asked_at = asyncio.get_running_loop().time()
        message = {'TTL': str(math.ceil(ttl))}
        reply = await self._gateway.call('lease/grant', message)
        if isinstance(reply, StoreUnavailable):
            return reply
        granted = float(reply['TTL'])
        return Lease(int(reply['ID']), granted, asked_at + granted)

    async def renew_lease(
        self,
        lease: Lease,
    ) -> Lease | Absent | StoreUnavailable:
        """Extend a lease; ``Absent`` if it has lapsed."""
        asked_at = asyncio.get_running_loop().time()
        message = {'ID': str(lease.number)}
        reply = await self._gateway.call('lease/keepalive', message)
        if isinstance(reply, StoreUnavailable):
            return reply
        ttl = float(reply['result'].get('TTL', 0))
        if not ttl:
            revision = revision_of(reply['result'])
            return Absent(f'lease {lease.number}', revision)
        return Lease(lease.number, ttl, asked_at + ttl)

    async def watch(
        self,
        prefix: str,
    ) -> AsyncGenerator[Entry | StoreUnavailable]:
        """Yield the entries that stand, then each change below a prefix.

        After an interruption it goes on from the last revision seen; where
        the store has dropped that revision, it reads everything again.
        Deletions are not reported.
        """
        batches = self._read_batches(prefix)
        async with aclosing(batches):
            async for batch in batches:
                for found in batch.found:
                    yield found

    def close(self) -> None:
        """Drop the client and end the watches."""
        self._closed = True
        self._gateway.close()

    async def _read_batches(self, prefix: str) -> AsyncGenerator[_Batch]:
        revision = 0
        while not self._closed:
            batches = self._open_watch(prefix, revision)
            async with aclosing(batches):
                async for batch in batches:
                    revision = batch.revision
                    yield batch

    def _open_watch(
        self,
        prefix: str,
        revision: int,
    ) -> AsyncGenerator[_Batch]:
        if revision:
            return self._follow(prefix, revision)
        return self._read_all(prefix)

    async def _read_all(self, prefix: str) -> AsyncGenerator[_Batch]:
        message = self._codec.range(prefix)
        reply = await self._gateway.call('kv/range', message)
        if isinstance(reply, StoreUnavailable):
            yield _Batch(0, (reply,))
            await asyncio.sleep(REOPEN_SECONDS)
            return
        yield _Batch(revision_of(reply), self._codec.entries(reply))

    async def _follow(
        self,
        prefix: str,
        revision: int,
    ) -> AsyncGenerator[_Batch]:
        start = str(revision + 1)
        message = {**self._codec.range(prefix), 'start_revision': start}
        replies = self._gateway.stream('watch', {'create_request': message})
        async with aclosing(replies):
            async for reply in replies:
                batch = self._read_changes(revision, reply)
                revision = batch.revision
                yield batch
        await asyncio.sleep(REOPEN_SECONDS)

    def _read_changes(
        self,
        revision: int,
        reply: Reply | StoreUnavailable,
    ) -> _Batch:
        if isinstance(reply, StoreUnavailable):
            return _Batch(revision, (reply,))
        if reply.get('canceled'):
            return _Batch(0)
        events = reply.get('events', ())
        puts = [event['kv'] for event in events if _is_put(event)]
        seen = revision_of(reply) if events else revision
        return _Batch(
            max(revision, seen),
            tuple(self._codec.entry(record) for record in puts),
        )


def _is_put(event: Reply) -> bool:
    return bool(event.get('type', 'PUT') == 'PUT')
