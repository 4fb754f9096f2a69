"""Putting accepted revisions in force on this host.

The highest revision heard of, from the store or from a peer, is fetched
whole, checked and put in force at once; the number never goes down.
"""

import asyncio
from collections.abc import Callable

from sesamespoke.chunk_cache import ChunkCache
from sesamespoke.document import check_document
from sesamespoke.document_peers import DocumentPeers
from sesamespoke.document_root import Root
from sesamespoke.document_store import (
    SWEEP_INTERVAL,
    DocumentStore,
    StoredRoot,
)
from sesamespoke.document_watch import DocumentWatch
from sesamespoke.editing import Accepted, Change, Editor, Result
from sesamespoke.links import Links
from sesamespoke.metrics import Metrics
from sesamespoke.settings import Settings
from sesamespoke.store import Committed, Store, StoreUnavailable
from sesamespoke.timeline import Timeline
from sesamespoke.world import Revision

# How long a host that starts waits for the store before it believes peers.
START_SECONDS = 2.0
FETCH_RETRY_SECONDS = 0.2


class Rollout:
    """Keeps the highest revision in force and tells of each new one."""

    def __init__(
        self,
        cfg: Settings,
        store: Store,
        links: Links,
        metrics: Metrics,
        timeline: Timeline,
    ) -> None:
        """Begin without a revision."""
        self.current: Revision | None = None
        self.root: Root | None = None
        self.cache = ChunkCache()
        self.documents = DocumentStore(store)
        self.editor = Editor(self.documents, self.cache)
        self.peers = DocumentPeers(links, self.cache, metrics, self.learn)
        self.watch = DocumentWatch(
            store,
            self.documents,
            links,
            self.hear,
            self._tell_far,
        )
        self._metrics = metrics
        self._timeline = timeline
        self._handlers: list[Callable[[Revision], None]] = []
        self._wanted: Root | None = None
        self._is_wanted = asyncio.Event()
        self._refused = 0
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def number(self) -> int:
        """Return the revision in force, or 0."""
        return _number(self.root)

    def on_change(self, handler: Callable[[Revision], None]) -> None:
        """Call ``handler`` after each new revision, the latest at once."""
        self._handlers.append(handler)
        if self.current is not None:
            handler(self.current)

    async def start(self) -> None:
        """Begin to follow the store and the peers."""
        self._tasks = [asyncio.create_task(self._follow())]
        self.watch.start()

    async def stop(self) -> None:
        """Stop following."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.watch.stop()

    async def apply(self, change: Change) -> Result:
        """Accept a change into the store and put it in force here."""
        outcome = await self.editor.apply(change, self.root)
        if isinstance(outcome, Accepted):
            self._metrics.count('document_changes_accepted')
            self.learn(outcome.root)
            if outcome.revision % SWEEP_INTERVAL == 0:
                self._tasks.append(asyncio.create_task(self._sweep()))
        return outcome

    def learn(self, root: Root) -> None:
        """Put a root in force soon, unless it is no news."""
        known = max(_number(self.root), _number(self._wanted))
        if root.revision > max(known, self._refused):
            self._wanted = root
            self.peers.know(root)
            self._is_wanted.set()

    async def hear(self, seen: StoredRoot) -> None:
        """Take what the store holds; give it back what it has lost."""
        if _number(seen.root) >= _number(self.root):
            if seen.root is not None:
                self.learn(seen.root)
            return
        if self.root is None:
            return
        restored = await self.editor.restore(seen, self.root)
        if isinstance(restored, Committed):
            self._metrics.count('document_restored')
            self._timeline.record(
                'document.restored',
                revision=self.root.revision,
            )

    async def _follow(self) -> None:
        await self.watch.first_look(START_SECONDS)
        while True:
            await self._is_wanted.wait()
            self._is_wanted.clear()
            root = self._wanted
            if root is None:
                continue
            if await self._gather(root):
                self._put_in_force(root)
            else:
                self._metrics.count('document_fetches_failed')
                await asyncio.sleep(FETCH_RETRY_SECONDS)
                self._is_wanted.set()

    async def _sweep(self) -> None:
        seen = await self.documents.read_root()
        if isinstance(seen, StoredRoot):
            swept = await self.documents.sweep(seen)
            if isinstance(swept, int):
                self._metrics.count('document_keys_swept', swept)

    async def _gather(self, root: Root) -> bool:
        if await self.peers.fetch(root):
            return True
        read = await self.editor.read_texts(root)
        return not isinstance(read, StoreUnavailable)

    def _put_in_force(self, root: Root) -> None:
        self._wanted = None if self._wanted is root else self._wanted
        if root.revision <= _number(self.root):
            return
        if self.cache.missing(root):
            self.learn(root)
            return
        document = check_document(self.cache.texts(root) or {})
        if isinstance(document, tuple):
            self._refused = root.revision
            self._metrics.count('document_refused')
            self._timeline.record('document.refused', revision=root.revision)
            return
        kept = [root] if self.root is None else [root, self.root]
        self.cache.keep(kept)
        self.root = root
        self.current = Revision(root.revision, document)
        self.peers.serve(root)
        self._timeline.record('document.in_force', revision=root.revision)
        for handler in self._handlers:
            handler(self.current)
        self._tell_far()

    def _tell_far(self) -> None:
        """Compare revisions with the watchers of other data centres."""
        if self.watch.is_watcher:
            self.peers.ask_revisions(self.watch.far_watchers())


def _number(root: Root | None) -> int:
    return root.revision if root else 0
