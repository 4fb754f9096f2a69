"""The document in the platform's store: one root key, chunks and history.

Values stay well below the store's limit of a megabyte, and transactions
below its usual bounds of bytes and operations.
"""

import asyncio
import hashlib
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from sesamespoke.document_chunks import DIGEST_BYTES, Chunk
from sesamespoke.document_root import Root, decode_root, encode_root
from sesamespoke.store import (
    Absent,
    Committed,
    Conflict,
    Delete,
    Entry,
    Expect,
    Put,
    Store,
    StoreUnavailable,
)

ROOT_KEY = 'document/root'
CHUNK_PREFIX = 'document/chunks/'
HISTORY_PREFIX = 'document/history/'
UPLOAD_PREFIX = 'document/uploads/'

MAX_BATCH_BYTES = 524_288
MAX_BATCH_OPERATIONS = 64
PARALLEL_READS = 16

# The history keeps this many revisions; a sweep follows each so many.
KEPT_REVISIONS = 128
SWEEP_INTERVAL = 64

# Keys of the history sort like their revisions.
REVISION_DIGITS = 12


@dataclass(frozen=True, slots=True)
class StoredRoot:
    """The root as read, and the store revision that last changed it.

    ``root`` is None and the revision 0 where no document was accepted yet.
    """

    root: Root | None
    store_revision: int


class DocumentStore:
    """Reads and writes revisions of the document."""

    def __init__(self, store: Store) -> None:
        """Use the keys below ``document/``."""
        self._store = store

    async def read_root(self) -> StoredRoot | StoreUnavailable:
        """Read the root of the latest accepted revision."""
        found = await self._store.get(ROOT_KEY)
        if isinstance(found, StoreUnavailable):
            return found
        return read_entry(found)

    async def read_revision(
        self,
        revision: int,
    ) -> Root | Absent | StoreUnavailable:
        """Read the root of a revision that the history still holds."""
        found = await self._store.get(history_key(revision))
        if not isinstance(found, Entry):
            return found
        root = decode_root(found.content)
        return root or StoreUnavailable('the history cannot be read')

    async def read_history(self) -> tuple[Root, ...] | StoreUnavailable:
        """Read the roots of the latest revisions, oldest first."""
        found = await self._store.scan(HISTORY_PREFIX)
        if isinstance(found, StoreUnavailable):
            return found
        roots = [decode_root(entry.content) for entry in found]
        return tuple(root for root in roots if root is not None)

    async def read_chunks(
        self,
        digests: Iterable[bytes],
    ) -> dict[bytes, bytes] | StoreUnavailable:
        """Read chunks; those that the store does not have are left out."""
        wanted = sorted(digests)
        chunks: dict[bytes, bytes] = {}
        for start in range(0, len(wanted), PARALLEL_READS):
            batch = wanted[start : start + PARALLEL_READS]
            reads = (self._store.get(chunk_key(digest)) for digest in batch)
            for digest, found in zip(
                batch, await asyncio.gather(*reads), strict=True
            ):
                if isinstance(found, StoreUnavailable):
                    return found
                if isinstance(found, Entry):
                    chunks[digest] = found.content
        return chunks

    async def commit(
        self,
        seen: StoredRoot,
        root: Root,
        chunks: Sequence[Chunk],
    ) -> Committed | Conflict | StoreUnavailable:
        """Accept a revision unless the root has changed since ``seen``.

        Chunks that don't fit the last transaction are written ahead, with
        a note by which a sweep finds them should the writer fail.
        """
        content = encode_root(root)
        note = upload_key(root)
        expected = [Expect(ROOT_KEY, seen.store_revision)]
        *early, last = _batch_chunks(chunks)
        for batch in early:
            puts = [Put(note, content), *map(_put_chunk, batch)]
            written = await self._store.transact(expected, puts)
            if not isinstance(written, Committed):
                return written
            expected.extend(
                Expect(put.key, written.revision) for put in puts[1:]
            )
        changes: list[Put | Delete] = list(map(_put_chunk, last))
        if early:
            changes.append(Delete(note))
        changes.append(Put(history_key(root.revision), content))
        changes.append(Put(ROOT_KEY, content))
        return await self._store.transact(expected, changes)

    async def sweep(self, seen: StoredRoot) -> int | StoreUnavailable:
        """Drop old history and what only it refers to; return how much.

        Each transaction expects the root as seen: a change that is accepted
        meanwhile ends the sweep, and a later one goes on.
        """
        history = await self.read_history()
        uploads = await self._store.scan(UPLOAD_PREFIX)
        if isinstance(history, StoreUnavailable):
            return history
        if isinstance(uploads, StoreUnavailable):
            return uploads
        doomed = _find_doomed(seen.root, history, uploads)
        expected = [Expect(ROOT_KEY, seen.store_revision)]
        for start in range(0, len(doomed), MAX_BATCH_OPERATIONS):
            batch = doomed[start : start + MAX_BATCH_OPERATIONS]
            done = await self._store.transact(expected, batch)
            if not isinstance(done, Committed):
                return start
        return len(doomed)


def read_entry(found: Entry | Absent) -> StoredRoot | StoreUnavailable:
    """Return the root in an entry of the root key."""
    if isinstance(found, Absent):
        return StoredRoot(None, 0)
    root = decode_root(found.content)
    if root is None:
        return StoreUnavailable('the root in the store cannot be read')
    return StoredRoot(root, found.revision)


def _put_chunk(chunk: Chunk) -> Put:
    return Put(chunk_key(chunk.digest), chunk.content)


def chunk_key(digest: bytes) -> str:
    """Return the key of a chunk."""
    return f'{CHUNK_PREFIX}{digest.hex()}'


def upload_key(root: Root) -> str:
    """Return the key of a note on chunks that are written ahead."""
    digest = hashlib.blake2b(encode_root(root), digest_size=DIGEST_BYTES)
    return f'{UPLOAD_PREFIX}{digest.hexdigest()}'


def history_key(revision: int) -> str:
    """Return the key of a revision's root; keys sort like revisions."""
    return HISTORY_PREFIX + str(revision).zfill(REVISION_DIGITS)


def _batch_chunks(chunks: Sequence[Chunk]) -> Iterator[list[Chunk]]:
    batch: list[Chunk] = []
    size = 0
    for chunk in chunks:
        size += len(chunk.content)
        if size > MAX_BATCH_BYTES or len(batch) == MAX_BATCH_OPERATIONS:
            yield batch
            batch = []
            size = len(chunk.content)
        batch.append(chunk)
    yield batch


def _find_doomed(
    root: Root | None,
    history: Sequence[Root],
    uploads: Sequence[Entry],
) -> list[Delete]:
    """Return the deletions, chunks before what refers to them."""
    dropped = history[:-KEPT_REVISIONS]
    notes = [decode_root(entry.content) for entry in uploads]
    live: set[bytes] = set()
    for kept in (root, *history[-KEPT_REVISIONS:]):
        live |= kept.digests() if kept else frozenset()
    dead: set[bytes] = set()
    for old in (*dropped, *notes):
        dead |= old.digests() if old else frozenset()
    keys = [chunk_key(digest) for digest in sorted(dead - live)]
    keys.extend(history_key(past.revision) for past in dropped)
    keys.extend(entry.key for entry in uploads)
    return [Delete(key) for key in keys]
