"""The store's client against a stand-in of the platform's service."""

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


def play(steps: Steps) -> None:
    async def whole() -> None:
        stand_in = StoreStandIn()
        store = KvStore(stand_in.start())
        await steps(stand_in, store)
        store.close()
        stand_in.stop()

    asyncio.run(whole())


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

    play(steps)


def test_a_scan_reads_every_page() -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        stand_in.page = 3
        for number in range(8):
            stand_in.put(f'p/{number}', b'x')
        found = await store.scan('p/')
        assert not isinstance(found, StoreUnavailable)
        assert [entry.key for entry in found] == [
            f'p/{number}' for number in range(8)
        ]

    play(steps)


@pytest.mark.parametrize('status', [400, 404, 500, 503])
def test_a_scan_that_fails_is_not_an_empty_one(status: int) -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        stand_in.put('p/1', b'x')
        stand_in.refuse_with = status
        assert isinstance(await store.scan('p/'), StoreUnavailable)

    play(steps)


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

    play(steps)


def test_a_watch_waits_as_long_as_it_is_told_each_time() -> None:
    """Routers began as readers and went on asking as often as these."""

    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        waits = iter((0.05, 0.1, 0.15))
        task = asyncio.create_task(
            _exhaust(store.watch('p/', waits.__next__, set()))
        )
        await asyncio.wait((task,), timeout=10)
        asked = [
            query['wait_ms'] for query in stand_in.queries if 'wait_ms' in query
        ]
        assert asked == ['50', '100', '150']

    play(steps)


async def _exhaust(changes: AsyncGenerator[object]) -> None:
    with contextlib.suppress(RuntimeError):
        async for _ in changes:
            pass


def test_a_lease_holds_keys_and_tells_when_it_has_ended() -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        lease = await store.grant_lease(5)
        assert isinstance(lease, Lease)
        assert lease.ttl == 5
        await store.transact((), (Put('k', b'v', lease.number),))
        assert isinstance(await store.renew_lease(lease), Lease)
        stand_in.end_lease(lease.number)
        assert isinstance(await store.renew_lease(lease), Absent)
        assert isinstance(await store.get('k'), Absent)

    play(steps)


@pytest.mark.parametrize('status', [429, 503])
def test_a_refused_write_was_not_done(status: int) -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        stand_in.refuse_with = status
        told = await store.transact((), (Put('k', b'v'),))
        assert isinstance(told, StoreUnavailable)
        assert not told.may_have_applied

    play(steps)


def test_a_write_without_an_answer_may_have_been_done() -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        stand_in.silent = True
        told = await store.transact((), (Put('k', b'v'),))
        assert isinstance(told, StoreUnavailable)
        assert told.may_have_applied

    play(steps)


async def take(orders: asyncio.Queue[OperatorUpdate]) -> OperatorUpdate:
    async with asyncio.timeout(10):
        return await orders.get()


async def follow(store: KvStore, orders: asyncio.Queue[OperatorUpdate]) -> None:
    async for order in PlatformFeeds(store).watch_operator_entries(lambda: 2):
        orders.put_nowait(order)


def test_orders_are_followed_through_an_outage_and_a_lost_history() -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        orders: asyncio.Queue[OperatorUpdate] = asyncio.Queue()
        stand_in.put('op/config', CONFIG)
        task = asyncio.create_task(follow(store, orders))
        first = await take(orders)
        assert isinstance(first, Catalog)
        assert first.version == 7
        stand_in.put('op/evacuate/north', b'{}')
        assert await take(orders) == Evacuation('north', in_service=False)
        stand_in.refuse_with = 503
        stand_in.drop_history = True
        while not isinstance(await take(orders), StoreUnavailable):
            pass
        stand_in.remove('op/evacuate/north')
        stand_in.refuse_with = None
        told = await take(orders)
        while told != Evacuation('north', in_service=True):
            told = await take(orders)
        task.cancel()

    play(steps)


def test_a_configuration_that_can_not_be_read_changes_nothing() -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        orders: asyncio.Queue[OperatorUpdate] = asyncio.Queue()
        stand_in.put('op/config', {'version': 8})
        task = asyncio.create_task(follow(store, orders))
        assert isinstance(await take(orders), BadEntry)
        task.cancel()

    play(steps)


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
def test_an_answer_that_can_not_be_read_is_no_empty_list(
    garbled: dict[str, Any],
) -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        stand_in.garbled = garbled
        listed = await PlatformFeeds(store).list_endpoints()
        assert isinstance(listed, StoreUnavailable)

    play(steps)


@pytest.mark.parametrize(
    'garbled', [{}, {'lease': 0, 'ttl_ms': 5000}, {'lease': 7, 'ttl_ms': None}]
)
def test_what_is_no_lease_is_not_put_under(garbled: dict[str, Any]) -> None:
    """A key under lease 0 would outlive its host."""

    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        lease = await store.grant_lease(5)
        assert isinstance(lease, Lease)
        stand_in.garbled = garbled
        assert isinstance(await store.grant_lease(5), StoreUnavailable)
        if not garbled.get('ttl_ms'):
            renewed = await store.renew_lease(lease)
            assert isinstance(renewed, StoreUnavailable)

    play(steps)


def test_an_order_that_went_while_nobody_watched_is_told_as_gone() -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        stand_in.put('op/evacuate/north', b'{}')
        feeds = PlatformFeeds(store)
        async for order in feeds.watch_operator_entries(lambda: 2):
            assert order == Evacuation('north', in_service=False)
            break
        stand_in.remove('op/evacuate/north')
        async with asyncio.timeout(5):
            async for order in feeds.watch_operator_entries(lambda: 2):
                assert order == Evacuation('north', in_service=True)
                break

    play(steps)
