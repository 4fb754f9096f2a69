"""Keeps each stream at endpoints of the software version that began it.

What two versions write doesn't fit together, and endpoints don't check it. A
stream whose version is unknown, or has no endpoint left, can't go on.
"""

import asyncio
from collections.abc import Callable, Iterator
from functools import partial
from itertools import chain

from sesamespoke.serving.catalog import Catalog
from sesamespoke.serving.directory import Directory
from sesamespoke.serving.job import Job
from sesamespoke.serving.platform_interface import PlatformStore
from sesamespoke.serving.restarting_tasks import run_with_restarts
from sesamespoke.serving.serving_dependencies import Log
from sesamespoke.serving.settings import ServingSettings
from sesamespoke.serving.stream_journal import (
    PATIENCE_SECONDS,
    JournalSettings,
    StreamJournal,
)
from sesamespoke.serving.version_records import VersionRecords
from sesamespoke.store import StoreUnavailable
from sesamespoke.verdicts import Reason, Refusal, Verdict

LOOKUPS = 2
"""Times that the store is read for a stream: while the store was slow, its
event may have been passed on before the batch that names it was written."""
UNKNOWN_RETRY_SECONDS = 0.5

STORE_UNREADABLE = Reason(
    'stream_version_unknown',
    503,
    'server_error',
    'the software version that began this stream is not known now',
)
VERSION_UNPROVEN = Reason(
    'stream_version_unproven',
    503,
    'server_error',
    'the platform has lost records that may have named this stream',
)
VERSION_UNRECORDED = Reason(
    'stream_version_unrecorded',
    503,
    'server_error',
    'the software version that began this stream was never recorded',
)
VERSION_GONE = Reason(
    'stream_version_gone',
    503,
    'server_error',
    'no endpoint of the software version that began this stream is left',
)
_Key = tuple[str, frozenset[str]]


class SharedStreamVersions:
    """Knows versions from the store, so that they outlive all routers."""

    def __init__(
        self,
        directory: Directory,
        records: VersionRecords,
        journal: StreamJournal,
    ) -> None:
        """Connect the parts; ``start_tasks`` starts them."""
        self._directory = directory
        self._records = records
        self._journal = journal
        self._others: dict[_Key, frozenset[str]] = {}
        directory.listeners.append(self._forget_others)

    def start_tasks(self) -> list[asyncio.Task[None]]:
        """Start the tasks that follow and write versions, and return them."""
        loops = (self._records.run, self._journal.run)
        return [asyncio.create_task(run_with_restarts(loop)) for loop in loops]

    async def begin(self, job: Job, version: str) -> None:
        """Record that a stream's first event has come from a version.

        Return once its caller may get the event. A stream that is taken up
        has been recorded before.
        """
        self._journal.note_begun(job.stream_id, job.service, version)
        if not job.last_event_id:
            await self._journal.wait_written(job.stream_id)

    async def find(self, job: Job) -> str | Refusal:
        """Return the version of a stream that a caller takes up."""
        found = await self._look_up(job)
        for _ in range(1, LOOKUPS):
            if isinstance(found, str) or found is STORE_UNREADABLE:
                break
            await asyncio.sleep(self._journal.batch_seconds + PATIENCE_SECONDS)
            found = await self._look_up(job)
        if isinstance(found, str):
            return found
        # Nobody is left who could still record the version.
        is_final = found is VERSION_UNRECORDED
        retry_after = None if is_final else UNKNOWN_RETRY_SECONDS
        return Refusal(found, Verdict.NOT_RUN, retry_after=retry_after)

    async def _look_up(self, job: Job) -> str | Reason:
        """Read the store once; return a version, or why none is known."""
        version = self._journal.version_of(job.resumed_id)
        if version is not None:
            return version
        record, is_loaded = await asyncio.gather(
            self._records.read(job.service), self._journal.load()
        )
        if isinstance(record, StoreUnavailable) or not is_loaded:
            return STORE_UNREADABLE
        version = self._journal.version_of(job.resumed_id)
        if version is None:
            version = self._records.sole_version(job.service, record)
        if version is not None:
            return version
        is_complete = self._records.is_complete(record)
        return VERSION_UNRECORDED if is_complete else VERSION_UNPROVEN

    def excluded(self, job: Job, version: str | None) -> frozenset[str]:
        """Return the endpoints that must not be used for a stream.

        A version that isn't recorded is used while the store is away, if
        there is no other.
        """
        if version is not None:
            return self._outside(job.service, frozenset((version,)))
        known = self._records.known(job.service)
        active = known.active if known else frozenset()
        excluded = self._outside(job.service, active)
        if self._records.is_store_away and not self._directory.has_usable(
            job.service, excluded
        ):
            return frozenset()
        return excluded

    def refuse_if_gone(self, job: Job, version: str | None) -> Refusal | None:
        """Return a refusal if no endpoint can go on with a stream."""
        if version is None:
            return None
        excluded = self._outside(job.service, frozenset((version,)))
        if self._directory.has_usable(job.service, excluded):
            return None
        return Refusal(VERSION_GONE, Verdict.NOT_RUN)

    def _outside(
        self, service: str, versions: frozenset[str]
    ) -> frozenset[str]:
        """Return the endpoints of a service that run no such version."""
        key = (service, versions)
        others = self._others.get(key)
        if others is None:
            others = frozenset(
                endpoint.name
                for endpoint in self._directory.listed(service)
                if endpoint.version not in versions
            )
            self._others[key] = others
        return others

    def _forget_others(self, directory: Directory) -> None:
        self._others.clear()


def resumable_services(
    catalog: Callable[[], Catalog | None],
) -> Iterator[str]:
    """Return the services of routes whose streams may be resumed."""
    current = catalog()
    routes = chain.from_iterable(current.routes.values() if current else ())
    services = {
        each.service
        for route in routes
        if route.resumable
        for each in route.weighted_services
    }
    return iter(sorted(services))


def open_stream_versions(
    cfg: ServingSettings,
    store: PlatformStore,
    directory: Directory,
    catalog: Callable[[], Catalog | None],
    hosts: Callable[[], int | None],
    log: Log,
) -> SharedStreamVersions:
    """Return the versions of a router's streams, within its event loop."""
    clock = asyncio.get_running_loop().time
    records = VersionRecords(
        store, directory, partial(resumable_services, catalog), clock, log
    )
    pace = JournalSettings(cfg.host, cfg.journal_writes, hosts)
    journal = StreamJournal(pace, store, clock, records.need_journal)
    return SharedStreamVersions(directory, records, journal)
