"""Keeps a router in sync with the platform's store.

One task each watches the operator entries, polls the list of endpoints and
polls the list of hosts; a fourth keeps this host's own entry registered. The
loss and the recovery of a dependency are logged once each.
"""

import asyncio
import json
import math
from collections.abc import Callable
from contextlib import aclosing, suppress
from dataclasses import dataclass
from typing import Any

import xxhash

from sesamespoke.checked_fields import MALFORMED
from sesamespoke.host_list import HostList, KnownHost
from sesamespoke.serving.catalog import Catalog
from sesamespoke.serving.config_sharing import (
    RESTORE_GRACE_SECONDS,
    ConfigSharing,
)
from sesamespoke.serving.directory import (
    Directory,
    ListedEndpoint,
    count_by_service,
)
from sesamespoke.serving.endpoint_list_sharing import EndpointListSharing
from sesamespoke.serving.host_registration import (
    HOST_PREFIX,
    HostRegistration,
)
from sesamespoke.serving.peer_loads import Broadcaster
from sesamespoke.serving.platform_interface import (
    BadEntry,
    Evacuation,
    Feeds,
    OperatorUpdate,
    RolloutOrder,
    RolloutUpdate,
    RolloutWithdrawn,
)
from sesamespoke.serving.restarting_tasks import (
    RETRY_SECONDS,
    is_cancelled,
    run_with_restarts,
)
from sesamespoke.serving.serving_dependencies import Log
from sesamespoke.serving.settings import ServingSettings
from sesamespoke.settings import Address
from sesamespoke.store import Entry, StoreUnavailable

TIMER_SLACK_SECONDS = 0.05


@dataclass(slots=True)
class OperatorConfig:
    """The operator entries that are in force at this router."""

    catalog: Catalog | None = None
    evacuated: frozenset[str] = frozenset()

    def digest(self) -> int:
        """Return a hash that is equal on routers with the same entries."""
        version = self.catalog.version if self.catalog else 0
        text = ' '.join((str(version), *sorted(self.evacuated)))
        return xxhash.xxh3_64_intdigest(text.encode()) >> 1


class Dependency:
    """Logs when something that the router depends on fails or recovers."""

    def __init__(self, name: str, log: Log) -> None:
        """Assume that the dependency is available."""
        self._name = name
        self._log = log
        self._lost_at: float | None = None

    def record_result(self, failure: StoreUnavailable | None) -> None:
        """Record the failure of a call, or None for a success."""
        now = asyncio.get_running_loop().time()
        if failure is None and self._lost_at is not None:
            seconds = round(now - self._lost_at, 2)
            self._lost_at = None
            self._log('dependency_regained', name=self._name, after=seconds)
        elif failure is not None and self._lost_at is None:
            self._lost_at = now
            self._log('dependency_lost', name=self._name, why=failure.detail)


class PlatformSync:
    """Applies the platform's entries to a router and registers its host."""

    def __init__(
        self,
        cfg: ServingSettings,
        feeds: Feeds,
        directory: Directory,
        links: Broadcaster,
        hosts: HostList,
        log: Log,
    ) -> None:
        """Connect the parts; nothing is read before ``start_tasks``."""
        self.operator_config = OperatorConfig()
        self.on_catalog: Callable[[Catalog], None] = _ignore_catalog
        self.on_rollout: Callable[[RolloutUpdate], None] = _ignore_rollout
        self._cfg = cfg
        self._feeds = feeds
        self._directory = directory
        self._hosts = hosts
        list_sharing = EndpointListSharing(links, directory, feeds.store.era)
        list_sharing.operator_config_digest = self.operator_config.digest
        list_sharing.on_operator_config_mismatch = self._restart_watch
        self._list_sharing = list_sharing
        self._watch_task: asyncio.Task[None] | None = None
        self._watch_restarted_at: float = 0
        self._watch_relies_on_reader = False
        self._log = log
        self._registration = HostRegistration(cfg, feeds.store, log)
        self._restored_at: float = -math.inf
        self._doubtful: set[str] = set()
        feeds.store.era.listeners.append(self._recover)
        self._config_sharing = ConfigSharing(
            links,
            feeds.store.era,
            self.operator_config,
            list_sharing.is_reader,
        )
        self._config_sharing.on_config = self._adopt_config
        self._config_sharing.on_evacuated = self._adopt_evacuations
        self._known_endpoints: dict[str, ListedEndpoint] = {}
        directory.listeners.append(self._log_endpoint_changes)
        self._appliers: dict[type, Callable[[Any], None]] = {
            BadEntry: self._log_bad_entry,
            Catalog: self._apply_catalog,
            Evacuation: self._apply_evacuation,
            RolloutOrder: lambda update: self.on_rollout(update),
            RolloutWithdrawn: self._withdraw_rollout,
        }

    def start_tasks(self) -> list[asyncio.Task[None]]:
        """Start the background tasks and return them."""
        loops = (
            self._follow_orders,
            self._follow_endpoints,
            self._follow_hosts,
            self._registration.run,
        )
        return [asyncio.create_task(run_with_restarts(loop)) for loop in loops]

    async def _follow_orders(self) -> None:
        """Watch the operator entries; restart when a peer has others."""
        store = Dependency('orders', self._log)
        while True:
            self._watch_task = asyncio.create_task(
                self._watch_operator_entries(store)
            )
            with suppress(asyncio.CancelledError):
                await self._watch_task
            if is_cancelled():
                self._watch_task.cancel()
                return

    async def _watch_operator_entries(self, store: Dependency) -> None:
        changes = self._feeds.watch_operator_entries(self._watch_seconds)
        async with aclosing(changes) as updates:
            async for update in updates:
                if isinstance(update, StoreUnavailable):
                    store.record_result(update)
                    continue
                store.record_result(None)
                self._apply_update(update)

    def _watch_seconds(self) -> float:
        """Return how long a watch call waits; called as one begins.

        A router that hears from a reader learns of changes from its lists
        even if the connection of the call has died.
        """
        feeds = self._cfg.feeds
        self._watch_relies_on_reader = not self._list_sharing.must_read(
            feeds.endpoints
        )
        if self._watch_relies_on_reader:
            return feeds.non_reader_watch
        return feeds.watch

    def _end_long_watch(self) -> None:
        """End a watch call that relied on a reader which has gone silent."""
        if self._watch_relies_on_reader:
            self._restart_watch()

    def _restart_watch(self) -> None:
        """Read the operator entries again, at most every RETRY_SECONDS.

        Called when a peer has other entries in force.
        """
        now = asyncio.get_running_loop().time()
        if (
            self._watch_task is None
            or now - self._watch_restarted_at < RETRY_SECONDS
        ):
            return
        self._watch_restarted_at = now
        self._watch_relies_on_reader = False
        self._watch_task.cancel()

    def _recover(self) -> None:
        """Read anew what a store from a copy may lack."""
        self._begin_grace()
        if self._watch_task is not None:
            self._watch_task.cancel()

    def _is_restoring(self) -> bool:
        """Return whether operators may still be writing their entries anew."""
        now = asyncio.get_running_loop().time()
        return now - self._restored_at < RESTORE_GRACE_SECONDS

    def _end_grace(self) -> None:
        """Believe that evacuations which are still missing have ended."""
        if self._is_restoring():
            return
        for name in sorted(self._doubtful):
            self._set_evacuation(Evacuation(name, in_service=True))
        self._doubtful.clear()

    def _apply_update(self, update: OperatorUpdate) -> None:
        if isinstance(update, StoreUnavailable):
            return
        self._appliers[type(update)](update)

    def _log_bad_entry(self, update: BadEntry) -> None:
        self._log('entry_ignored', key=update.key, why=update.why)

    def _apply_catalog(self, update: Catalog) -> None:
        self._config_sharing.note_stored(update.version)
        self._activate_catalog(update)

    def _apply_evacuation(self, update: Evacuation) -> None:
        self._doubtful.discard(update.data_centre)
        if update.in_service and self._is_restoring():
            self._doubtful.add(update.data_centre)
        else:
            self._set_evacuation(update)

    def _withdraw_rollout(self, update: RolloutWithdrawn) -> None:
        # A copy of the store may lack an order that still stands.
        if not self._is_restoring():
            self.on_rollout(update)

    def _adopt_config(self, content: bytes) -> None:
        """Put a configuration in force that the store may have lost."""
        catalog = self._feeds.read_config(content)
        if isinstance(catalog, BadEntry):
            self._log('entry_ignored', key=catalog.key, why=catalog.why)
        else:
            self._activate_catalog(catalog)

    def _adopt_evacuations(self, names: frozenset[str]) -> None:
        """Send nothing to data centres that the store may have forgotten."""
        self._begin_grace()
        for name in sorted(names):
            self._set_evacuation(Evacuation(name, in_service=False))
            self._doubtful.add(name)

    def _begin_grace(self) -> None:
        loop = asyncio.get_running_loop()
        self._restored_at = loop.time()
        loop.call_later(
            RESTORE_GRACE_SECONDS + TIMER_SLACK_SECONDS, self._end_grace
        )

    def _set_evacuation(self, update: Evacuation) -> None:
        names = {update.data_centre}
        others = self.operator_config.evacuated - names
        self.operator_config.evacuated = (
            others if update.in_service else others | names
        )
        self._directory.set_evacuated(self.operator_config.evacuated)
        self._log(
            'data_centre_in_service',
            name=update.data_centre,
            in_service=update.in_service,
        )

    def _activate_catalog(self, catalog: Catalog) -> None:
        """Put a catalog in force unless it is no newer than the current."""
        before = self.operator_config.catalog
        if before is not None and catalog.version <= before.version:
            return
        self.operator_config.catalog = catalog
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
            if not self._list_sharing.must_read(interval):
                await asyncio.sleep(interval / 2)
                continue
            self._end_long_watch()
            requested_at = asyncio.get_running_loop().time()
            listed = await self._feeds.list_endpoints()
            if isinstance(listed, StoreUnavailable):
                store.record_result(listed)
                self._directory.note_outage()
                await asyncio.sleep(RETRY_SECONDS)
                continue
            store.record_result(None)
            self._directory.replace(listed, requested_at)
            self._list_sharing.publish()
            await asyncio.sleep(interval)

    def _log_endpoint_changes(self, directory: Directory) -> None:
        before, after = self._known_endpoints, dict(directory.endpoints)
        self._known_endpoints = after
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
                hosts = {each.host: each for each in known}
                if self._is_restoring():
                    hosts = {**self._hosts.hosts, **hosts}
                self._hosts.put_hosts(hosts)
            await asyncio.sleep(self._host_poll_interval())

    def _read_host(self, entry: Entry) -> KnownHost | None:
        """Decode a host entry; log and return None if it is invalid."""
        known = _read_host(entry.content)
        if known is None:
            self._log('entry_ignored', key=entry.key, why='invalid host entry')
        return known

    def _host_poll_interval(self) -> float:
        """Return the seconds to the next poll; short until we are listed."""
        feeds = self._cfg.feeds
        if self._cfg.host not in self._hosts.hosts:
            return min(RETRY_SECONDS, feeds.hosts)
        return (
            feeds.hosts
            if self._list_sharing.is_reader()
            else feeds.non_reader_hosts
        )


def _read_host(content: bytes) -> KnownHost | None:
    """Decode a host entry; return None if it is malformed."""
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


def _ignore_rollout(update: RolloutUpdate) -> None:
    """Do nothing: the default for ``PlatformSync.on_rollout``."""


def _ignore_catalog(catalog: Catalog) -> None:
    """Do nothing: the default for ``PlatformSync.on_catalog``."""
