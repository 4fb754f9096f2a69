"""The versions of streams, over restarts of all routers and of the store."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest
from support import run
from support_platform import StoreStandIn
from support_routed import wait_until
from support_serving_jobs import ENGINE, endpoints_of, job_of
from support_store import FakeStore

from sesamespoke.platform.kv_store import KvStore
from sesamespoke.serving.directory import Directory, Listing
from sesamespoke.serving.job import Job
from sesamespoke.serving.stream_journal import (
    JOURNAL_PREFIX,
    JournalSettings,
    StreamJournal,
)
from sesamespoke.serving.stream_versions import SharedStreamVersions
from sesamespoke.serving.version_records import (
    ACTIVATION_SECONDS,
    RECORD_PREFIX,
    START_SECONDS,
    ServiceVersions,
    VersionRecords,
)
from sesamespoke.settings import Address
from sesamespoke.verdicts import Refusal

SERVICE = ENGINE.name
VERSION_HISTORY_RETAIN = 'sesamespoke.serving.version_history.RETAIN_SECONDS'
STREAMS = 40
WRITES_PER_SECOND = 5.0
TIMEOUT_SECONDS = 20


class Router:
    """A process that knows versions; ``kill`` ends it without a word."""

    def __init__(self, store: StoreStandIn, host: str) -> None:
        clock = asyncio.get_running_loop().time
        self.client = KvStore(Address('127.0.0.1', store.port))
        self.directory = Directory(clock)
        self.logged: list[str] = []
        self.records = VersionRecords(
            self.client,
            self.directory,
            lambda: (SERVICE,),
            clock,
            lambda event, /, **_: self.logged.append(event),
        )
        self.journal = StreamJournal(
            JournalSettings(host, WRITES_PER_SECOND, lambda: 2),
            self.client,
            clock,
            self.records.need_journal,
        )
        self.versions = SharedStreamVersions(
            self.directory, self.records, self.journal
        )
        self.tasks = self.versions.start_tasks()
        self._revision = 0

    def list(self, *versions: str) -> None:
        """List two endpoints of each version."""
        self._revision += 1
        listed = endpoints_of(ENGINE, 2 * len(versions))
        rows = (
            replace(each, version=versions[number // 2])
            for number, each in enumerate(listed)
        )
        self.directory.replace(Listing(self._revision, tuple(rows)))

    def usable_versions(self) -> set[str]:
        """Return the versions at which a new stream may begin."""
        excluded = self.versions.excluded(job_of('a'), None)
        usable = self.directory.usable(SERVICE)
        return {each.version for each in usable if each.name not in excluded}

    def begin(self, stream_id: str, version: str) -> None:
        assert version in self.usable_versions()
        job = replace(job_of('a'), request_id=stream_id)
        self.journal.note_begun(job.stream_id, job.service, version)

    async def find(self, stream_id: str) -> str | None:
        found = await self.versions.find(taken_up(stream_id))
        return None if isinstance(found, Refusal) else found

    def kill(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.client.close()


def taken_up(stream_id: str) -> Job:
    return replace(job_of('a'), last_event_id='1', resumed_id=stream_id)


def run_with_store(steps: Callable[[StoreStandIn], Awaitable[None]]) -> None:
    async def run() -> None:
        store = StoreStandIn()
        store.start()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await steps(store)
        store.stop()

    asyncio.run(run())


async def start(store: StoreStandIn, *versions: str) -> Router:
    router = Router(store, 'h')
    router.list(*versions)
    await wait_until(lambda: bool(router.usable_versions()))
    return router


def test_no_record_is_read_while_its_service_has_no_endpoints() -> None:
    """Each router of a fleet that started read it twenty times a second."""

    async def steps(store: StoreStandIn) -> None:
        router = Router(store, 'h')
        await asyncio.sleep(START_SECONDS * 5)
        assert not store.calls
        router.list('v1')
        await wait_until(lambda: bool(router.usable_versions()))
        assert store.calls
        router.kill()

    run_with_store(steps)


def test_versions_outlive_all_routers() -> None:
    async def steps(store: StoreStandIn) -> None:
        router = await start(store, 'v1', 'v2')
        begun = {
            f's{number}': f'v{number % 2 + 1}' for number in range(STREAMS)
        }
        for stream_id, version in begun.items():
            router.begin(stream_id, version)
        await wait_until(lambda: not router.journal._unwritten)
        router.kill()
        after = await start(store, 'v2', 'v3')
        for stream_id, version in begun.items():
            assert await after.find(stream_id) == version
        gone = after.versions.refuse_if_gone(taken_up('s0'), 'v1')
        assert gone is not None
        assert after.versions.refuse_if_gone(taken_up('s1'), 'v2') is None
        after.kill()

    run_with_store(steps)


def test_stream_that_was_not_journalled_is_refused_among_versions() -> None:
    async def steps(store: StoreStandIn) -> None:
        router = await start(store, 'v1', 'v2')
        router.begin('s', 'v1')
        router.kill()
        after = await start(store, 'v1', 'v2')
        assert await after.find('s') is None
        after.kill()

    run_with_store(steps)


def test_streams_of_killed_routers_go_on_while_a_new_version_is_pending() -> (
    None
):
    async def steps(store: StoreStandIn) -> None:
        router = await start(store, 'v1')
        router.begin('s', 'v1')
        router.kill()
        after = await start(store, 'v1', 'v2')
        await wait_until(lambda: RECORD_PREFIX + SERVICE in store.items)
        assert after.usable_versions() == {'v1'}
        assert await after.find('s') == 'v1'
        await asyncio.sleep(ACTIVATION_SECONDS)
        await wait_until(lambda: after.usable_versions() == {'v1', 'v2'})
        after.kill()

    run_with_store(steps)


def test_streams_begun_before_a_second_version_are_journalled() -> None:
    async def steps(store: StoreStandIn) -> None:
        router = await start(store, 'v1')
        router.begin('s', 'v1')
        await asyncio.sleep(1)
        assert not any(key.startswith(JOURNAL_PREFIX) for key in store.items)
        router.list('v1', 'v2')
        await wait_until(lambda: router.usable_versions() == {'v1', 'v2'})
        router.kill()
        after = await start(store, 'v1', 'v2')
        assert await after.find('s') == 'v1'
        after.kill()

    run_with_store(steps)


def test_no_stream_begins_at_a_version_before_it_is_recorded() -> None:
    async def steps(store: StoreStandIn) -> None:
        router = await start(store, 'v1')
        store.refuse_with = 503
        router.list('v1', 'v2')
        await asyncio.sleep(2 * ACTIVATION_SECONDS)
        assert router.usable_versions() == {'v1'}
        store.refuse_with = None
        await wait_until(lambda: router.usable_versions() == {'v1', 'v2'})
        router.kill()

    run_with_store(steps)


def test_only_version_left_is_used_while_the_store_is_away() -> None:
    async def steps(store: StoreStandIn) -> None:
        router = await start(store, 'v1')
        store.refuse_with = 503
        router.list('v2')
        assert not router.usable_versions()
        await wait_until(lambda: router.usable_versions() == {'v2'})
        assert await router.find('s') is None
        router.kill()

    run_with_store(steps)


@pytest.mark.parametrize('seconds', [0.0, 0.5])
def test_versions_are_written_again_to_a_store_from_a_copy(
    seconds: float,
) -> None:
    async def steps(store: StoreStandIn) -> None:
        store.era = '1'
        copy = store.copy()
        router = await start(store, 'v1', 'v2')
        router.begin('s', 'v2')
        await wait_until(lambda: not router.journal._unwritten)
        store.restore(copy)
        await asyncio.sleep(seconds)
        router.list('v1')
        await router.records.read(SERVICE)
        await wait_until(lambda: RECORD_PREFIX + SERVICE in store.items)
        await wait_until(lambda: not router.journal._unwritten)
        router.kill()
        after = await start(store, 'v1')
        assert (await recorded(after)).active == {'v1', 'v2'}
        assert await after.find('s') == 'v2'
        after.kill()

    run_with_store(steps)


def test_stream_of_a_version_that_a_copy_lacks_is_not_joined() -> None:
    """A record from a copy named one version; a stream of another went on."""

    async def steps(store: StoreStandIn) -> None:
        store.era = '1'
        router = await start(store, 'v1')
        copy = store.copy()
        router.list('v1', 'v2')
        await wait_until(lambda: router.usable_versions() == {'v1', 'v2'})
        killed = Router(store, 'killed')
        killed.list('v1', 'v2')
        await wait_until(lambda: killed.usable_versions() == {'v1', 'v2'})
        killed.begin('s', 'v2')
        await wait_until(lambda: not killed.journal._unwritten)
        killed.kill()
        store.restore(copy)
        assert await router.find('s') is None
        router.kill()
        started = await start(store, 'v1')
        assert await started.find('s') is None
        started.kill()

    run_with_store(steps)


def test_version_is_still_known_after_two_restores() -> None:
    """The second restore made a router forget what the first one lost."""

    async def steps(store: StoreStandIn) -> None:
        store.era = '1'
        router = await start(store, 'v1')
        copy = store.copy()
        router.list('v1', 'v2')
        await wait_until(lambda: router.usable_versions() == {'v1', 'v2'})
        router.list('v1')
        for _ in range(2):
            store.restore(copy)
            await recorded(router)
        await wait_until(lambda: router.usable_versions() == {'v1'})
        assert await router.find('s') is None
        await wait_until(lambda: 'v2' in known_active(router))
        router.kill()

    run_with_store(steps)


def test_streams_of_one_version_go_on_after_a_restore(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A router that has seen no other version needs no record of this era."""
    monkeypatch.setattr(VERSION_HISTORY_RETAIN, 1.0)

    async def steps(store: StoreStandIn) -> None:
        store.era = '1'
        router = await start(store, 'v1')
        await asyncio.sleep(1)
        store.restore(store.copy())
        assert await router.find('s') == 'v1'
        started = await start(store, 'v1')
        assert await started.find('s') is None
        await asyncio.sleep(1.5)
        assert await started.find('s') == 'v1'
        later = await start(store, 'v1')
        assert await later.find('s') == 'v1'
        for each in (router, started, later):
            each.kill()

    run_with_store(steps)


def test_streams_after_a_restore_are_journalled() -> None:
    """Routers that start after a restore can't conclude a version."""

    async def steps(store: StoreStandIn) -> None:
        store.era = '1'
        router = await start(store, 'v1')
        store.restore(store.copy())
        await recorded(router)
        router.begin('s', 'v1')
        await wait_until(lambda: not router.journal._unwritten)
        router.kill()
        started = await start(store, 'v1')
        assert await started.find('s') == 'v1'
        assert await started.find('other') is None
        started.kill()

    run_with_store(steps)


def known_active(router: Router) -> frozenset[str]:
    known = router.records.known(SERVICE)
    return known.active if known else frozenset()


def test_journal_keeps_its_rate_while_streams_begin_all_the_time() -> None:
    """A write for each new stream would use up what the store takes."""
    hosts, streams, gap = 10, 1000, 0.01

    async def steps() -> None:
        store = FakeStore()
        loop = asyncio.get_running_loop()
        cfg = JournalSettings('h', 100, lambda: hosts)
        journal = StreamJournal(cfg, store, loop.time, lambda service: True)
        task = asyncio.create_task(journal.run())
        for number in range(streams):
            journal.note_begun(f's{number}', SERVICE, 'v1')
            waits = asyncio.create_task(journal.wait_written(f's{number}'))
            await asyncio.sleep(gap)
        await waits
        assert not journal._unwritten
        writes = streams * gap * cfg.writes_per_second / hosts
        assert store.calls <= writes + 2
        task.cancel()

    run(steps())


async def recorded(router: Router) -> ServiceVersions:
    found = await router.records.read(SERVICE)
    assert isinstance(found, ServiceVersions)
    return found


def test_version_that_is_no_longer_listed_is_retired(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        'sesamespoke.serving.version_history.RETIRE_SECONDS', 1.0
    )

    async def steps(store: StoreStandIn) -> None:
        router = await start(store, 'v1', 'v2')
        router.list('v2')
        await asyncio.sleep(0.5)
        assert (await recorded(router)).active == {'v1', 'v2'}
        await asyncio.sleep(1.5)
        assert (await recorded(router)).active == {'v2'}
        router.kill()

    run_with_store(steps)


def test_journal_keeps_few_batches_in_the_store() -> None:
    async def steps(store: StoreStandIn) -> None:
        router = await start(store, 'v1', 'v2')
        for number in range(20):
            router.begin(f's{number}', 'v1')
            await wait_until(lambda: not router.journal._unwritten)
            keys = [
                key for key in store.items if key.startswith(JOURNAL_PREFIX)
            ]
            assert len(keys) <= 8
        router.kill()
        after = await start(store, 'v1', 'v2')
        for number in range(20):
            assert await after.find(f's{number}') == 'v1'
        after.kill()

    run_with_store(steps)


@pytest.mark.parametrize('content', [b'{', b'[]', b'{"active": 3}', b'\xff'])
def test_record_that_cannot_be_read_is_replaced(content: bytes) -> None:
    async def steps(store: StoreStandIn) -> None:
        store.put(RECORD_PREFIX + SERVICE, content)
        store.put(f'{JOURNAL_PREFIX}other/1', content)
        router = await start(store, 'v1')
        assert await router.find('s') == 'v1'
        router.kill()

    run_with_store(steps)


def test_take_up_that_names_no_stream_tells_nothing_of_another() -> None:
    async def steps(store: StoreStandIn) -> None:
        router = await start(store, 'v1', 'v2')
        await router.versions.begin(taken_up(''), 'v2')
        assert await router.find('') is None
        router.kill()

    run_with_store(steps)
