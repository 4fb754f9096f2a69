"""Following the root key in the store, at a cost that the store bears.

Two hosts of each data centre watch the key and read it often; the others
read it once when they start and then seldom, as a net. What they find goes
to peers by heartbeats, and to the watchers of other data centres by queries,
so that a data centre which is cut off from the store follows as well.
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import aclosing, suppress

from sesamespoke.document_store import (
    ROOT_KEY,
    DocumentStore,
    StoredRoot,
    read_entry,
)
from sesamespoke.links import Links, View
from sesamespoke.placement import rank_hosts
from sesamespoke.store import Entry, Store, StoreUnavailable

WATCHERS_PER_DATA_CENTRE = 2
WATCHER_POLL_SECONDS = 2.0
POLL_SECONDS = 30.0
EMPTY_POLL_SECONDS = 1.0

Hear = Callable[[StoredRoot], Awaitable[None]]


class DocumentWatch:
    """Tells of the store's root: at the start, while watching, in polls."""

    def __init__(
        self,
        store: Store,
        documents: DocumentStore,
        links: Links,
        hear: Hear,
        tick: Callable[[], None],
    ) -> None:
        """Create a watch; ``tick`` is called before each poll."""
        self.is_watcher = False
        self.confirmed_at: float | None = None
        self._store = store
        self._documents = documents
        self._links = links
        self._hear = hear
        self._tick = tick
        self._answered = asyncio.Event()
        self._role_changed = asyncio.Event()
        self._polling: asyncio.Task[None] | None = None
        self._watching: asyncio.Task[None] | None = None
        links.on_view(self._place)

    def start(self) -> None:
        """Read the root, and watch it where that is this host's role."""
        self._polling = asyncio.create_task(self._poll())
        self._place(self._links.view)

    async def stop(self) -> None:
        """End all reading."""
        tasks = [task for task in (self._polling, self._watching) if task]
        self._polling = None
        self._watching = None
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def staleness(self) -> float | None:
        """Return the seconds since the store last answered, if ever."""
        if self.confirmed_at is None:
            return None
        return asyncio.get_running_loop().time() - self.confirmed_at

    async def first_look(self, timeout: float) -> None:
        """Wait until the store has answered once, or for so long."""
        await _wait_for(self._answered, timeout)

    def far_watchers(self) -> list[str]:
        """Return the hosts that hold the role in other data centres."""
        view = self._links.view
        sites = {member.data_centre for member in view.members}
        return [
            host
            for site in sorted(sites - {self._links.data_centre})
            for host in _watchers_of(view, site)
        ]

    def _place(self, view: View) -> None:
        """Take up or lay down the role after a change of the view."""
        if self._polling is None:
            return
        watchers = _watchers_of(view, self._links.data_centre)
        holds = self._links.host in watchers
        if holds == self.is_watcher:
            return
        self.is_watcher = holds
        self._role_changed.set()
        if holds:
            self._watching = asyncio.create_task(self._watch())
        elif self._watching is not None:
            self._watching.cancel()
            self._watching = None

    async def _watch(self) -> None:
        async with aclosing(self._store.watch(ROOT_KEY)) as changes:
            async for found in changes:
                if isinstance(found, Entry):
                    await self._take(read_entry(found))

    async def _poll(self) -> None:
        while True:
            self._tick()
            await self._take(await self._documents.read_root())
            self._role_changed.clear()
            await _wait_for(self._role_changed, self._interval())

    def _interval(self) -> float:
        if self.confirmed_at is None:
            return EMPTY_POLL_SECONDS
        return WATCHER_POLL_SECONDS if self.is_watcher else POLL_SECONDS

    async def _take(self, seen: StoredRoot | StoreUnavailable) -> None:
        if isinstance(seen, StoreUnavailable):
            return
        self.confirmed_at = asyncio.get_running_loop().time()
        await self._hear(seen)
        self._answered.set()


def _watchers_of(view: View, data_centre: str) -> list[str]:
    """Return the hosts of a data centre that hold the role."""
    role = f'document-watch|{data_centre}'
    ranked = rank_hosts(role, view.hosts(data_centre))
    return ranked[:WATCHERS_PER_DATA_CENTRE]


async def _wait_for(event: asyncio.Event, seconds: float) -> None:
    """Wait for an event, or for so long.

    Unlike ``asyncio.wait_for`` it never swallows a cancellation.
    """
    with suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()
