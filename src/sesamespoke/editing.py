"""Accepting changes: validate the whole document, then swap the root.

A change replaces the texts of some sections. It is rebased by itself onto
revisions that changed other sections, and refused where one changed the
same section since the revision that its author saw.
"""

import asyncio
import hashlib
import time
from collections.abc import Mapping
from dataclasses import dataclass, replace

from sesamespoke.chunk_cache import ChunkCache
from sesamespoke.document import check_document
from sesamespoke.document_chunks import Chunk, cut_chunks
from sesamespoke.document_root import (
    MAX_RECENT_CHANGES,
    RecentChange,
    Root,
    SectionRef,
)
from sesamespoke.document_store import DocumentStore, StoredRoot
from sesamespoke.problems import Problem
from sesamespoke.store import Committed, Conflict, StoreUnavailable

APPLY_SECONDS = 8.0
RETRY_SECONDS = 0.1

_NO_ROOT = Root(0, 0, '', 0, {})


@dataclass(frozen=True, slots=True)
class Change:
    """New texts of sections.

    ``base`` is the revision that the author saw; ``change_id`` is chosen
    by the author and sent again with every repeat of the change.
    """

    change_id: str
    author: str
    base: int
    sections: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change is accepted as a revision.

    ``root`` is the latest root seen; where the change was accepted by an
    earlier try, it is ``repeated`` and the root may be a later one.
    """

    revision: int
    root: Root
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class Overtaken:
    """A conflict: who changed which section at which revision."""

    section: str
    author: str
    revision: int


@dataclass(frozen=True, slots=True)
class ChangeIdReused:
    """The change id belongs to a change with other texts."""

    revision: int


@dataclass(frozen=True, slots=True)
class NotAccepted:
    """The store did not answer in time.

    If ``may_have_applied``, sending the same change again tells.
    """

    detail: str
    may_have_applied: bool


Result = (
    Accepted | Overtaken | ChangeIdReused | NotAccepted | tuple[Problem, ...]
)


@dataclass(frozen=True, slots=True)
class Draft:
    """A change on top of a root, and the chunks new to the store."""

    root: Root
    chunks: list[Chunk]


class Editor:
    """Accepts changes into the store."""

    def __init__(
        self,
        documents: DocumentStore,
        cache: ChunkCache | None = None,
    ) -> None:
        """Edit the document in this store, with a cache of its chunks."""
        self._documents = documents
        self._cache = cache or ChunkCache()

    async def apply(self, change: Change, own: Root | None = None) -> Result:
        """Accept a change, or tell why not; never raises for an outage.

        ``own`` is the root in force here: a store that holds an older one
        is given it back first.
        """
        clock = asyncio.get_running_loop().time
        deadline = clock() + APPLY_SECONDS
        may_have_applied = False
        while True:
            outcome = await self._try(change, own)
            if not isinstance(outcome, StoreUnavailable):
                return outcome
            may_have_applied |= outcome.may_have_applied
            if clock() + RETRY_SECONDS > deadline:
                return NotAccepted(outcome.detail, may_have_applied)
            await asyncio.sleep(RETRY_SECONDS)

    async def read_texts(
        self,
        root: Root,
    ) -> Mapping[str, str] | StoreUnavailable:
        """Return the texts of a revision's sections."""
        missing = self._cache.missing(root)
        read = await self._documents.read_chunks(missing)
        if isinstance(read, StoreUnavailable):
            return read
        for digest, content in read.items():
            self._cache.add(digest, content)
        if self._cache.missing(root):
            return StoreUnavailable('the store lacks a chunk')
        texts = self._cache.texts(root)
        if texts is None:
            return StoreUnavailable('a chunk in the store is corrupt')
        return texts

    async def restore(
        self,
        seen: StoredRoot,
        root: Root,
    ) -> Committed | Conflict | StoreUnavailable:
        """Write a root in force here to a store that has lost it."""
        chunks = self._cache.chunks(root)
        return await self._documents.commit(seen, root, chunks)

    async def _try(
        self,
        change: Change,
        own: Root | None,
    ) -> Result | StoreUnavailable:
        seen = await self._documents.read_root()
        if isinstance(seen, StoreUnavailable):
            return seen
        root = seen.root or _NO_ROOT
        if own is not None and own.revision > root.revision:
            await self.restore(seen, own)
            return StoreUnavailable('the store had lost a revision')
        settled = _find_settled(root, change)
        if settled is not None:
            return settled
        texts = await self.read_texts(root)
        if isinstance(texts, StoreUnavailable):
            return texts
        merged = {**texts, **change.sections}
        checked = check_document(merged)
        if isinstance(checked, tuple):
            return checked
        return await self._commit(seen, _draft(root, change))

    async def _commit(
        self,
        seen: StoredRoot,
        draft: Draft,
    ) -> Result | StoreUnavailable:
        done = await self._documents.commit(seen, draft.root, draft.chunks)
        if isinstance(done, Committed):
            self._cache.add_all(draft.chunks)
            return Accepted(draft.root.revision, draft.root)
        if isinstance(done, StoreUnavailable):
            return done
        return StoreUnavailable('other changes were accepted meanwhile')


def digest_change(sections: Mapping[str, str]) -> bytes:
    """Return a digest of the texts of a change."""
    digest = hashlib.blake2b(digest_size=16)
    for section in sorted(sections):
        digest.update(f'{section}\0{sections[section]}\0'.encode())
    return digest.digest()


def _find_settled(
    root: Root,
    change: Change,
) -> Accepted | ChangeIdReused | Overtaken | None:
    """Return what is clear without a look at the texts."""
    earlier = root.find_change(change.change_id)
    if earlier is not None:
        if earlier.digest == digest_change(change.sections):
            return Accepted(earlier.revision, root, repeated=True)
        return ChangeIdReused(earlier.revision)
    for section in change.sections:
        ref = root.sections.get(section)
        if ref is not None and ref.revision > change.base:
            return Overtaken(section, ref.author, ref.revision)
    return None


def _draft(root: Root, change: Change) -> Draft:
    revision = root.revision + 1
    refs = dict(root.sections)
    fresh: dict[bytes, Chunk] = {}
    for section, text in change.sections.items():
        chunks = cut_chunks(text)
        digests = tuple(chunk.digest for chunk in chunks)
        refs[section] = SectionRef(digests, revision, change.author)
        fresh.update((chunk.digest, chunk) for chunk in chunks)
    drafted = replace(
        root,
        revision=revision,
        parent=root.revision,
        author=change.author,
        accepted_at=time.time(),
        sections=refs,
        recent=_remember(root, change),
    )
    new_digests = fresh.keys() - root.digests()
    return Draft(drafted, [fresh[digest] for digest in sorted(new_digests)])


def _remember(root: Root, change: Change) -> tuple[RecentChange, ...]:
    digest = digest_change(change.sections)
    mark = RecentChange(change.change_id, digest, root.revision + 1)
    return (mark, *root.recent)[:MAX_RECENT_CHANGES]
