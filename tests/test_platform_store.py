"""Tests of the store client against a stand-in of the platform's service."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, Awaitable, Callable
from typing import Any

import pytest
from support_platform import CONFIG, StoreStandIn

from sesamespoke.platform.feeds import PlatformFeeds
from sesamespoke.platform.kv_store import KvStore
from sesamespoke.serving.catalog import Catalog
from sesamespoke.serving.platform_interface import (
    BadEntry,
    Evacuation,
    OperatorUpdate,
)
from sesamespoke.store import (
    Absent,
    Committed,
    Conflict,
    Delete,
    Entry,
    Expect,
    Lease,
    Put,
    StoreUnavailable,
)

Steps = Callable[[StoreStandIn, KvStore], Awaitable[None]]


def run_steps(steps: Steps) -> None:
    async def run() -> None:
        stand_in = StoreStandIn()
        store = KvStore(stand_in.start())
        await steps(stand_in, store)
        store.close()
        stand_in.stop()

    asyncio.run(run())


def test_keys_are_written_under_conditions_and_read_back() -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        written = await store.transact((Expect('k', 0),), (Put('k', b'\0v'),))
        assert isinstance(written, Committed)
        found = await store.get('k')
        assert found == Entry('k', b'\0v', written.revision)
        again = await store.transact((Expect('k', 0),), (Put('k', b'w'),))
        assert again == Conflict((Entry('k', b'\0v', written.revision),))
        await store.transact((), (Delete('k'),))
        assert isinstance(await store.get('k'), Absent)

    run_steps(steps)


def test_a_scan_reads_every_page() -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        stand_in.page_size = 3
        for number in range(8):
            stand_in.put(f'p/{number}', b'x')
        found = await store.scan('p/')
        assert not isinstance(found, StoreUnavailable)
        assert [entry.key for entry in found] == [
            f'p/{number}' for number in range(8)
        ]

    run_steps(steps)


@pytest.mark.parametrize('status', [400, 404, 500, 503])
def test_a_failed_scan_is_not_an_empty_result(status: int) -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        stand_in.put('p/1', b'x')
        stand_in.refuse_with = status
        assert isinstance(await store.scan('p/'), StoreUnavailable)

    run_steps(steps)


def test_hosts_are_read_by_stale_reads_and_engines_are_not() -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        feeds = PlatformFeeds(store)
        stand_in.put('hosts/1', b'x')
        hosts = await feeds.list_hosts('hosts/')
        assert not isinstance(hosts, StoreUnavailable)
        assert [entry.key for entry in hosts] == ['hosts/1']
        assert stand_in.queries[-1]['serializable'] == '1'
        await feeds.list_endpoints()
        assert 'serializable' not in stand_in.queries[-1]

    run_steps(steps)


def test_a_watch_uses_the_current_wait_for_each_call() -> None:
    """The wait was read once, when the watch began.

    Routers start as readers of the entries; those that later followed
    another reader kept the short wait and called as often as a reader.
    """

    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        waits = iter((0.05, 0.1, 0.15))
        task = asyncio.create_task(
            _consume(store.watch('p/', waits.__next__, set()))
        )
        await asyncio.wait((task,), timeout=10)
        waited_ms = [
            query['wait_ms'] for query in stand_in.queries if 'wait_ms' in query
        ]
        assert waited_ms == ['50', '100', '150']

    run_steps(steps)


async def _consume(changes: AsyncGenerator[object]) -> None:
    with contextlib.suppress(RuntimeError):
        async for _ in changes:
            pass


def test_an_expired_lease_is_reported_and_its_keys_are_gone() -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        lease = await store.grant_lease(5)
        assert isinstance(lease, Lease)
        assert lease.ttl == 5
        await store.transact((), (Put('k', b'v', lease.number),))
        assert isinstance(await store.renew_lease(lease), Lease)
        stand_in.expire_lease(lease.number)
        assert isinstance(await store.renew_lease(lease), Absent)
        assert isinstance(await store.get('k'), Absent)

    run_steps(steps)


@pytest.mark.parametrize('status', [429, 503])
def test_a_rejected_write_was_not_applied(status: int) -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        stand_in.refuse_with = status
        result = await store.transact((), (Put('k', b'v'),))
        assert isinstance(result, StoreUnavailable)
        assert not result.may_have_applied

    run_steps(steps)


def test_a_write_without_a_response_may_have_been_applied() -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        stand_in.silent = True
        result = await store.transact((), (Put('k', b'v'),))
        assert isinstance(result, StoreUnavailable)
        assert result.may_have_applied

    run_steps(steps)


async def next_update(updates: asyncio.Queue[OperatorUpdate]) -> OperatorUpdate:
    async with asyncio.timeout(10):
        return await updates.get()


async def collect_updates(
    store: KvStore, updates: asyncio.Queue[OperatorUpdate]
) -> None:
    async for update in PlatformFeeds(store).watch_operator_entries(lambda: 2):
        updates.put_nowait(update)


def test_operator_entries_survive_an_outage_and_a_lost_history() -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        updates: asyncio.Queue[OperatorUpdate] = asyncio.Queue()
        stand_in.put('op/config', CONFIG)
        task = asyncio.create_task(collect_updates(store, updates))
        initial = await next_update(updates)
        assert isinstance(initial, Catalog)
        assert initial.version == 7
        stand_in.put('op/evacuate/north', b'{}')
        assert await next_update(updates) == Evacuation(
            'north', in_service=False
        )
        stand_in.refuse_with = 503
        stand_in.drop_history = True
        while not isinstance(await next_update(updates), StoreUnavailable):
            pass
        stand_in.remove('op/evacuate/north')
        stand_in.refuse_with = None
        result = await next_update(updates)
        while result != Evacuation('north', in_service=True):
            result = await next_update(updates)
        task.cancel()

    run_steps(steps)


def test_a_malformed_configuration_is_reported_as_a_bad_entry() -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        updates: asyncio.Queue[OperatorUpdate] = asyncio.Queue()
        stand_in.put('op/config', {'version': 8})
        task = asyncio.create_task(collect_updates(store, updates))
        assert isinstance(await next_update(updates), BadEntry)
        task.cancel()

    run_steps(steps)


@pytest.mark.parametrize(
    'garbled',
    [
        {},
        {'items': []},
        {'items': None, 'as_of': 4},
        {'items': [{'key': 'k', 'revision': 3}, 5], 'as_of': 4},
        {'error': 'try again'},
    ],
)
def test_a_malformed_response_is_not_an_empty_list(
    garbled: dict[str, Any],
) -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        stand_in.garbled = garbled
        listed = await PlatformFeeds(store).list_endpoints()
        assert isinstance(listed, StoreUnavailable)

    run_steps(steps)


@pytest.mark.parametrize(
    'garbled', [{}, {'lease': 0, 'ttl_ms': 5000}, {'lease': 7, 'ttl_ms': None}]
)
def test_a_response_without_a_valid_lease_is_rejected(
    garbled: dict[str, Any],
) -> None:
    """A key written under lease 0 would remain after its host is gone."""

    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        lease = await store.grant_lease(5)
        assert isinstance(lease, Lease)
        stand_in.garbled = garbled
        assert isinstance(await store.grant_lease(5), StoreUnavailable)
        if not garbled.get('ttl_ms'):
            renewed = await store.renew_lease(lease)
            assert isinstance(renewed, StoreUnavailable)

    run_steps(steps)


def test_an_operator_entry_deleted_between_watches_is_reported_as_deleted() -> (
    None
):
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        stand_in.put('op/evacuate/north', b'{}')
        feeds = PlatformFeeds(store)
        async for update in feeds.watch_operator_entries(lambda: 2):
            assert update == Evacuation('north', in_service=False)
            break
        stand_in.remove('op/evacuate/north')
        async with asyncio.timeout(5):
            async for update in feeds.watch_operator_entries(lambda: 2):
                assert update == Evacuation('north', in_service=True)
                break

    run_steps(steps)
