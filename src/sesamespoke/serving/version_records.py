"""Which software versions a service's streams may have begun at.

A stream can only go on at the version that began it, also after all routers
have restarted. The store therefore holds, for each service with resumable
streams, every version at which a stream that can still go on may have begun.
A version is recorded as pending first, while no stream begins there, and soon
afterwards as active. Meanwhile all routers learn that there are several, and
journal their streams (see ``stream_journal``).
"""

import asyncio
import json
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from functools import partial

from sesamespoke.checked_fields import MALFORMED
from sesamespoke.serving.directory import Directory
from sesamespoke.serving.platform_interface import PlatformStore
from sesamespoke.serving.serving_dependencies import Log
from sesamespoke.serving.shared_read import SharedRead
from sesamespoke.store import (
    Absent,
    Conflict,
    Entry,
    Expect,
    Put,
    StoreUnavailable,
)

RECORD_PREFIX = 'sesamespoke/versions/'
CHECK_SECONDS = 0.3
"""Interval at which the listed versions are compared with the records."""
START_SECONDS = 0.05
"""The same while a record has not been read: no stream of its service can
begin."""
MAX_JITTER_SECONDS = 0.2
"""Routers see a new version at the same time, and one of them records it."""
ACTIVATION_SECONDS = 1.5
"""Time for which a version is pending: longer than the interval at which the
list of endpoints reaches all routers, and than a batch of the journal."""
RETIRE_SECONDS = 60.0
"""Time after which a version that is no longer listed is removed; streams last
for some seconds."""
PATIENCE_SECONDS = 3.0
"""Time without an answer of the store after which versions are used that aren't
recorded, if no endpoint of another version can be used."""


@dataclass(frozen=True, slots=True)
class ServiceVersions:
    """A record; streams begin at ``active`` versions, but not at ``pending``.

    ``revision`` is the store's revision of the record; 0 if there is none.
    """

    active: frozenset[str] = frozenset()
    pending: frozenset[str] = frozenset()
    revision: int = 0

    @property
    def are_mixed(self) -> bool:
        """Return whether streams of the service must be journalled."""
        return len(self.active | self.pending) > 1


@dataclass(slots=True)
class _Sightings:
    """When versions of a service became pending here, and were listed last."""

    pending_since: dict[str, float] = field(default_factory=dict)
    listed_at: dict[str, float] = field(default_factory=dict)


Read = ServiceVersions | StoreUnavailable


class VersionRecords:
    """Keeps the records of the services that ``services`` returns."""

    def __init__(
        self,
        store: PlatformStore,
        directory: Directory,
        services: Callable[[], Iterable[str]],
        clock: Callable[[], float],
        log: Log,
    ) -> None:
        """Start without records; ``run`` reads and updates them."""
        self._store = store
        self._directory = directory
        self._services = services
        self._clock = clock
        self._log = log
        self._known: dict[str, ServiceVersions] = {}
        self._before_restore: dict[str, ServiceVersions] = {}
        self._unconfirmed: set[str] = set()
        self._sightings: dict[str, _Sightings] = {}
        self._reads: dict[str, SharedRead[Read]] = {}
        self._failing_since = math.inf
        store.era.listeners.append(self._forget)

    def known(self, service: str) -> ServiceVersions | None:
        """Return the record as it was last read; None if it never was."""
        return self._known.get(service)

    @property
    def is_store_away(self) -> bool:
        """Return whether the store has not answered for some time."""
        return self._clock() - self._failing_since > PATIENCE_SECONDS

    async def read(self, service: str) -> Read:
        """Return the record as it stands in the store now."""
        shared = self._reads.get(service)
        if shared is None:
            shared = SharedRead(partial(self._read, service))
            self._reads[service] = shared
        return await shared.get()

    async def run(self) -> None:
        """Keep the records up to date until cancelled."""
        while True:
            services = tuple(self._services())
            for service in services:
                await self._check(service)
            are_known = services and self._known.keys() >= set(services)
            await asyncio.sleep(CHECK_SECONDS if are_known else START_SECONDS)

    def _forget(self) -> None:
        """Read the records again: a store from a copy may lack changes."""
        self._before_restore |= self._known
        self._unconfirmed.update(self._known)

    async def _check(self, service: str) -> None:
        """Record the versions that are listed, if the record lacks them.

        A service without endpoints can begin no stream, so that its record
        isn't needed yet.
        """
        listed = self._listed(service)
        known = self._known.get(service)
        if known is None and not listed:
            return
        if known is not None and service not in self._unconfirmed:
            if self._update(service, known, listed) == known:
                return
            await asyncio.sleep(random.uniform(0, MAX_JITTER_SECONDS))
        era = self._store.era.number
        read = await self.read(service)
        if isinstance(read, StoreUnavailable) or era != self._store.era.number:
            return
        self._unconfirmed.discard(service)
        updated = self._update(service, read, listed)
        if updated == read:
            self._before_restore.pop(service, None)
        elif updated.active:
            await self._write(service, updated)

    def _listed(self, service: str) -> frozenset[str]:
        """Return the listed versions, and note when they were."""
        listed = frozenset(
            endpoint.version for endpoint in self._directory.listed(service)
        )
        seen = self._sightings.setdefault(service, _Sightings())
        seen.listed_at.update(dict.fromkeys(listed, self._clock()))
        return listed

    def _update(
        self, service: str, known: ServiceVersions, listed: frozenset[str]
    ) -> ServiceVersions:
        """Return what the record should hold by now."""
        now, seen = self._clock(), self._sightings[service]
        lost = self._before_restore.get(service, ServiceVersions())
        active = known.active | lost.active
        pending = known.pending | (listed - active)
        seen.pending_since = {
            **dict.fromkeys(pending, now),
            **seen.pending_since,
        }
        due_since = now - ACTIVATION_SECONDS
        if not self._is_usable(service, active):
            due_since = now
        due = {
            each for each in pending if seen.pending_since[each] <= due_since
        }
        retired = {
            version
            for version in active - listed
            if now - seen.listed_at.setdefault(version, now) > RETIRE_SECONDS
        }
        if not listed:
            retired.clear()
        return replace(
            known, active=(active - retired) | due, pending=pending - due
        )

    def _is_usable(self, service: str, versions: frozenset[str]) -> bool:
        """Return whether an endpoint of one of the versions can be used."""
        usable = self._directory.usable(service)
        return any(endpoint.version in versions for endpoint in usable)

    async def _read(self, service: str) -> Read:
        found = await self._store.get(RECORD_PREFIX + service)
        if isinstance(found, StoreUnavailable):
            self._failing_since = min(self._failing_since, self._clock())
            return found
        self._failing_since = math.inf
        return self._adopt(service, found)

    async def _write(self, service: str, updated: ServiceVersions) -> None:
        key = RECORD_PREFIX + service
        era = self._store.era.number
        content = json.dumps(
            {
                'active': sorted(updated.active),
                'pending': sorted(updated.pending),
            }
        )
        written = await self._store.transact(
            (Expect(key, updated.revision),), (Put(key, content.encode()),)
        )
        if era != self._store.era.number:
            return
        if isinstance(written, Conflict):
            for found in written.found:
                self._adopt(service, found)
        elif not isinstance(written, StoreUnavailable):
            self._before_restore.pop(service, None)
            self._put(service, replace(updated, revision=written.revision))

    def _adopt(self, service: str, found: Entry | Absent) -> ServiceVersions:
        versions = _decode(found)
        if versions.revision:
            self._put(service, versions)
        return versions

    def _put(self, service: str, versions: ServiceVersions) -> None:
        before = self._known.get(service)
        self._known[service] = versions
        seen = self._sightings.setdefault(service, _Sightings())
        seen.pending_since = {
            version: at
            for version, at in seen.pending_since.items()
            if version in versions.pending
        }
        if before != versions:
            self._log(
                'stream_versions',
                service=service,
                active=sorted(versions.active),
                pending=sorted(versions.pending),
            )


def _decode(found: Entry | Absent) -> ServiceVersions:
    """Return a record; one that can't be read counts as empty."""
    if isinstance(found, Absent):
        return ServiceVersions()
    try:
        fields = json.loads(found.content)
        rows = (_texts(fields['active']), _texts(fields['pending']))
    except MALFORMED:
        return ServiceVersions(revision=found.revision)
    return ServiceVersions(*rows, found.revision)


def _texts(rows: Iterable[object]) -> frozenset[str]:
    return frozenset(str(row) for row in rows)
