"""Follows the platform: orders, endpoints, and the hosts of the fleet.

Each kind of belief has one task. A lost and a regained dependency are
logged once each.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import aclosing, suppress
from dataclasses import dataclass

import structlog
import xxhash

from sesamespoke.checked_fields import MALFORMED
from sesamespoke.host_list import HostList, KnownHost
from sesamespoke.serving.catalog import Catalog
from sesamespoke.serving.directory import (
    Directory,
    ListedEndpoint,
    count_by_service,
)
from sesamespoke.serving.news import News
from sesamespoke.serving.ports import BadEntry, Evacuation, Feeds, Order
from sesamespoke.serving.serving_call import Log
from sesamespoke.serving.settings import ServingSettings
from sesamespoke.settings import Address
from sesamespoke.store import Entry, Lease, Put, StoreUnavailable

HOST_PREFIX = 'sesamespoke/hosts/'
RETRY_SECONDS = 0.3
"""The pause before the store is asked again that did not answer."""

log = structlog.get_logger()


@dataclass(slots=True)
class Orders:
    """The operators' orders that are in force at this router."""

    catalog: Catalog | None = None
    evacuated: frozenset[str] = frozenset()

    def digest(self) -> int:
        """Return what is alike where the same orders are in force."""
        version = self.catalog.version if self.catalog else 0
        text = ' '.join((str(version), *sorted(self.evacuated)))
        return xxhash.xxh3_64_intdigest(text.encode()) >> 1


class Dependency:
    """Tells when something that the router needs is lost or regained."""

    def __init__(self, name: str, log: Log) -> None:
        """Assume that it is there."""
        self._name = name
        self._log = log
        self._lost_at: float | None = None

    def note(self, failure: StoreUnavailable | None) -> None:
        """Note a failure, or None for a success."""
        now = asyncio.get_running_loop().time()
        if failure is None and self._lost_at is not None:
            seconds = round(now - self._lost_at, 2)
            self._lost_at = None
            self._log('dependency_regained', name=self._name, after=seconds)
        elif failure is not None and self._lost_at is None:
            self._lost_at = now
            self._log('dependency_lost', name=self._name, why=failure.detail)


class Follower:
    """Keeps a router's beliefs in step with the platform's entries."""

    def __init__(
        self,
        cfg: ServingSettings,
        feeds: Feeds,
        directory: Directory,
        hosts: HostList,
        news: News,
        log: Log,
    ) -> None:
        """Prepare; nothing is read yet."""
        self.orders = Orders()
        self.on_catalog: Callable[[Catalog], None] = _ignore
        self._cfg = cfg
        self._feeds = feeds
        self._directory = directory
        self._hosts = hosts
        self._news = news
        news.orders_digest = self.orders.digest
        news.on_other_orders = self._ask_anew
        self._watching: asyncio.Task[None] | None = None
        self._asked_at: float = 0
        self._log = log
        self._lease: Lease | None = None
        self._known: dict[str, ListedEndpoint] = {}
        directory.listeners.append(self._tell_changes)

    def tasks(self) -> list[asyncio.Task[None]]:
        """Start to follow; return the tasks."""
        loops = (
            self._follow_orders,
            self._follow_endpoints,
            self._follow_hosts,
            self._announce,
        )
        return [asyncio.create_task(self._keep(loop)) for loop in loops]

    async def _keep(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a loop; begin it anew if it fails.

        A router whose beliefs no longer follow the platform would go on
        with stale ones.
        """
        while not _is_cancelled():
            try:
                await loop()
            except Exception:
                log.exception('follower_failed', loop=loop.__name__)
                await asyncio.sleep(RETRY_SECONDS)

    async def _follow_orders(self) -> None:
        """Watch the orders; begin anew when peers know of others."""
        store = Dependency('orders', self._log)
        while True:
            self._watching = asyncio.create_task(self._watch_orders(store))
            with suppress(asyncio.CancelledError):
                await self._watching
            if _is_cancelled():
                self._watching.cancel()
                return

    async def _watch_orders(self, store: Dependency) -> None:
        changes = self._feeds.watch_orders(self._watch_seconds)
        async with aclosing(changes) as orders:
            async for order in orders:
                if isinstance(order, StoreUnavailable):
                    store.note(order)
                    continue
                store.note(None)
                self._obey(order)

    def _watch_seconds(self) -> float:
        feeds = self._cfg.feeds
        return feeds.watch if self._news.is_reader() else feeds.non_reader_watch

    def _ask_anew(self) -> None:
        """Read the orders again: a peer has others in force."""
        now = asyncio.get_running_loop().time()
        if self._watching is None or now - self._asked_at < RETRY_SECONDS:
            return
        self._asked_at = now
        self._watching.cancel()

    def _obey(self, order: Order) -> None:
        if isinstance(order, BadEntry):
            self._log('entry_ignored', key=order.key, why=order.why)
        elif isinstance(order, Catalog):
            self._put_in_force(order)
        elif isinstance(order, Evacuation):
            names = {order.data_centre}
            kept = self.orders.evacuated - names
            self.orders.evacuated = kept if order.in_service else kept | names
            self._directory.set_evacuated(self.orders.evacuated)
            self._log(
                'data_centre_in_service',
                name=order.data_centre,
                in_service=order.in_service,
            )

    def _put_in_force(self, catalog: Catalog) -> None:
        """Put a catalog in force unless a later one already is."""
        before = self.orders.catalog
        if before is not None and catalog.version <= before.version:
            return
        self.orders.catalog = catalog
        self.on_catalog(catalog)
        self._log(
            'catalog_in_force',
            version=catalog.version,
            before=before.version if before else None,
            routes=sum(map(len, catalog.routes.values())),
            keys=len(catalog.keys),
        )

    async def _follow_endpoints(self) -> None:
        store = Dependency('endpoints', self._log)
        interval = self._cfg.feeds.endpoints
        while True:
            if not self._news.must_read(interval):
                await asyncio.sleep(interval / 2)
                continue
            asked_at = asyncio.get_running_loop().time()
            listed = await self._feeds.list_endpoints()
            if isinstance(listed, StoreUnavailable):
                store.note(listed)
                self._directory.note_outage()
                await asyncio.sleep(RETRY_SECONDS)
                continue
            store.note(None)
            self._directory.replace(listed, asked_at)
            self._news.tell(listed)
            await asyncio.sleep(interval)

    def _tell_changes(self, directory: Directory) -> None:
        before, after = self._known, dict(directory.endpoints)
        self._known = after
        for name in before.keys() - after.keys():
            self._log('endpoint_gone', endpoint=name)
        for name, endpoint in after.items():
            old = before.get(name)
            if old is None or old.born != endpoint.born:
                self._log(
                    'endpoint_listed',
                    endpoint=name,
                    service=endpoint.service,
                    data_centre=endpoint.data_centre,
                    revision=directory.revision,
                )
            elif old.leaving != endpoint.leaving:
                self._log(
                    'endpoint_leaving',
                    endpoint=name,
                    leaving=endpoint.leaving,
                    revision=directory.revision,
                )
        if before.keys() != after.keys():
            self._log('endpoints', **count_by_service(after))

    async def _follow_hosts(self) -> None:
        while True:
            listed = await self._feeds.list_hosts(HOST_PREFIX)
            if not isinstance(listed, StoreUnavailable):
                known = filter(None, map(self._read_host, listed))
                self._hosts.put_hosts({each.host: each for each in known})
            await asyncio.sleep(self._hosts_pause())

    def _read_host(self, entry: Entry) -> KnownHost | None:
        """Return the host of an entry; None if it names none to meet."""
        known = _read_host(entry.content)
        if known is None:
            self._log('entry_ignored', key=entry.key, why='no host')
        return known

    def _hosts_pause(self) -> float:
        """Return the seconds to the next reading; few until it lists us."""
        feeds = self._cfg.feeds
        if self._cfg.host not in self._hosts.hosts:
            return min(RETRY_SECONDS, feeds.hosts)
        return feeds.hosts if self._news.is_reader() else feeds.non_reader_hosts

    async def _announce(self) -> None:
        """Keep this host's entry in the store under a lease."""
        while True:
            if await self._renew():
                await asyncio.sleep(self._cfg.feeds.lease / 3)
            else:
                await asyncio.sleep(RETRY_SECONDS)

    async def _renew(self) -> bool:
        store = self._feeds.store
        if self._lease is not None:
            renewed = await store.renew_lease(self._lease)
            if isinstance(renewed, Lease):
                self._lease = renewed
                return True
            if isinstance(renewed, StoreUnavailable):
                return False
        lease = await store.grant_lease(self._cfg.feeds.lease)
        if isinstance(lease, StoreUnavailable):
            return False
        put = Put(self._own_key(), self._own_entry(), lease.number)
        written = await store.transact((), (put,))
        if isinstance(written, StoreUnavailable):
            return False
        self._lease = lease
        return True

    def _own_key(self) -> str:
        return HOST_PREFIX + self._cfg.host

    def _own_entry(self) -> bytes:
        row = {
            'host': self._cfg.host,
            'data_centre': self._cfg.data_centre,
            'peers': str(self._cfg.peers),
        }
        return json.dumps(row).encode()


def _read_host(content: bytes) -> KnownHost | None:
    """Return the host that an entry names; None if it can't be read."""
    try:
        row = json.loads(content)
        ip, _, port = row['peers'].rpartition(':')
        return KnownHost(
            str(row['host']),
            str(row['data_centre']),
            Address(ip, int(port)),
        )
    except MALFORMED:
        return None


def _is_cancelled() -> bool:
    """Return whether the running task itself is to end."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _ignore(catalog: Catalog) -> None:
    """Take no notice of a catalog."""
