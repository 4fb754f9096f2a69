"""Which software versions a service's streams may have begun at.

A stream can only go on at the version that began it, also after all routers
have restarted. The store therefore holds, for each service with resumable
streams, every version at which a stream that can still go on may have begun.
A version is recorded as pending first, while no stream begins there, and soon
afterwards as active. Meanwhile all routers learn that there are several, and
journal their streams (see ``stream_journal``).

A store that has come back from a copy lacks changes. Its record proves nothing
until no stream from before can be taken up any more; one of the routers then
marks it as complete in the new era.
"""

import asyncio
import json
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from functools import partial

from sesamespoke.checked_fields import MALFORMED
from sesamespoke.serving.directory import Directory
from sesamespoke.serving.platform_interface import PlatformStore
from sesamespoke.serving.serving_dependencies import Log
from sesamespoke.serving.shared_read import SharedRead
from sesamespoke.serving.version_history import VersionHistory
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
PATIENCE_SECONDS = 3.0
"""Time without an answer of the store after which versions are used that aren't
recorded, if no endpoint of another version can be used."""


NO_ERA = -2
"""Stands for the era of a record that doesn't tell in which it is complete."""


@dataclass(frozen=True, slots=True)
class ServiceVersions:
    """A record; streams begin at ``active`` versions, but not at ``pending``.

    ``revision`` is the store's revision of the record; 0 if there is none. In
    the store's era ``era`` the record names every version at which a stream
    that can still go on may have begun.
    """

    active: frozenset[str] = frozenset()
    pending: frozenset[str] = frozenset()
    revision: int = 0
    era: int = NO_ERA

    @property
    def is_empty(self) -> bool:
        """Return whether there is no record that can be read."""
        return not (self.active or self.pending)

    @property
    def are_mixed(self) -> bool:
        """Return whether there are several versions."""
        return len(self.active | self.pending) > 1


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
        self._history = VersionHistory(clock)
        self._unconfirmed: set[str] = set()
        self._reads: dict[str, SharedRead[Read]] = {}
        self._failing_since = math.inf
        store.era.listeners.append(self._forget)

    def known(self, service: str) -> ServiceVersions | None:
        """Return the record as it was last read; None if it never was."""
        return self._known.get(service)

    def need_journal(self, service: str) -> bool:
        """Return whether the streams of a service must be journalled.

        They must while its record alone doesn't tell at which version a
        stream began.
        """
        known = self._known.get(service)
        if known is None:
            return False
        return known.are_mixed or not self.is_complete(known)

    def is_complete(self, record: ServiceVersions) -> bool:
        """Return whether a record lacks no version that was recorded."""
        return record.era == self._store.era.number

    def sole_version(self, service: str, record: ServiceVersions) -> str | None:
        """Return the only version at which a stream can have begun.

        ``record`` has just been read. The stream isn't in the journal; None
        if it may have begun at one of several versions.
        """
        history = self._history
        possible = record.active
        is_proof = self.is_complete(record)
        if not is_proof:
            possible |= record.pending | history.seen(service)
            is_proof = history.covers_streams(service)
        elif history.had_outage:
            possible |= history.seen(service)
        if is_proof and len(possible) == 1:
            return next(iter(possible))
        self._log(
            'stream_version_open',
            service=service,
            possible=sorted(possible),
            is_proof=is_proof,
            record_era=record.era,
            era=self._store.era.number,
            era_followed_s=round(history.followed_era),
        )
        return None

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
        for service, known in self._known.items():
            self._history.note_lost(service, known.active)
        self._unconfirmed.update(self._known)
        self._history.note_era(self._store.era.number)

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
            self._history.note_restored(service)
        elif updated.active:
            await self._write(service, updated)

    def _listed(self, service: str) -> frozenset[str]:
        """Return the listed versions, and note when they were."""
        listed = frozenset(
            endpoint.version for endpoint in self._directory.listed(service)
        )
        self._history.note_listed(service, listed)
        return listed

    def _update(
        self, service: str, known: ServiceVersions, listed: frozenset[str]
    ) -> ServiceVersions:
        """Return what the record should hold by now."""
        history = self._history
        active = known.active | history.lost(service)
        pending = known.pending | (listed - active)
        history.note_pending(service, pending)
        wait = ACTIVATION_SECONDS if self._is_usable(service, active) else 0
        due = {
            each
            for each in pending
            if history.pending_for(service, each) >= wait
        }
        retired = {
            each
            for each in active - listed
            if history.is_retired(service, each)
        }
        if not listed:
            retired.clear()
        return replace(
            known,
            active=(active - retired) | due,
            pending=pending - due,
            era=self._complete_era(service, known),
        )

    def _complete_era(self, service: str, known: ServiceVersions) -> int:
        """Return the era in which the updated record is complete.

        It is complete in the present one if there was no record before, or
        once no stream from before this era can be taken up any more.
        """
        is_first = known.is_empty and not self._history.lost(service)
        if is_first or self._history.outlasts_restore:
            return self._store.era.number
        return known.era

    def _is_usable(self, service: str, versions: frozenset[str]) -> bool:
        """Return whether an endpoint of one of the versions can be used."""
        usable = self._directory.usable(service)
        return any(endpoint.version in versions for endpoint in usable)

    async def _read(self, service: str) -> Read:
        found = await self._store.get(RECORD_PREFIX + service)
        if isinstance(found, StoreUnavailable):
            self._failing_since = min(self._failing_since, self._clock())
            return found
        if self.is_store_away:
            self._history.note_outage_end()
        self._failing_since = math.inf
        self._history.note_era(self._store.era.number)
        return self._adopt(service, found)

    async def _write(self, service: str, updated: ServiceVersions) -> None:
        key = RECORD_PREFIX + service
        era = self._store.era.number
        content = json.dumps(
            {
                'active': sorted(updated.active),
                'pending': sorted(updated.pending),
                'era': updated.era,
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
            self._history.note_restored(service)
            self._put(service, replace(updated, revision=written.revision))

    def _adopt(self, service: str, found: Entry | Absent) -> ServiceVersions:
        versions = _decode(found)
        if versions.revision:
            self._put(service, versions)
        return versions

    def _put(self, service: str, versions: ServiceVersions) -> None:
        before = self._known.get(service)
        self._known[service] = versions
        self._history.note_pending(service, versions.pending)
        if before != versions:
            self._log(
                'stream_versions',
                service=service,
                active=sorted(versions.active),
                pending=sorted(versions.pending),
                complete_in=versions.era,
            )


def _decode(found: Entry | Absent) -> ServiceVersions:
    """Return a record; one that can't be read counts as empty."""
    if isinstance(found, Absent):
        return ServiceVersions()
    try:
        fields = json.loads(found.content)
        rows = (_texts(fields['active']), _texts(fields['pending']))
        era = int(fields.get('era', NO_ERA))
    except MALFORMED:
        return ServiceVersions(revision=found.revision)
    return ServiceVersions(*rows, found.revision, era)


def _texts(rows: Iterable[object]) -> frozenset[str]:
    return frozenset(str(row) for row in rows)
