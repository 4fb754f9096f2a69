"""A store that comes back from a copy, some seconds older than it was."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import replace
from typing import Any

import pytest
from support_platform import CONFIG, StoreStandIn, respond_ok, server_entry
from support_routed import CFG, Fleet, run_with_fleet, wait_until
from support_serving_jobs import ENGINE, Clock, endpoints_of
from tornado.testing import bind_unused_port

from sesamespoke.platform.feeds import PlatformFeeds
from sesamespoke.platform.headers import HEADER_NAMES, read_head
from sesamespoke.platform.kv_store import KvStore
from sesamespoke.serving.config_sharing import RESTORE_GRACE_SECONDS
from sesamespoke.serving.directory import Directory, Listing
from sesamespoke.serving.endpoint_list_sharing import _hash_of
from sesamespoke.serving.host_registration import HOST_PREFIX
from sesamespoke.serving.router import RoutedRouter
from sesamespoke.settings import Address
from sesamespoke.store import Committed, Entry, StoreUnavailable

EVACUATION = 'op/evacuate/north'
OWN_KEY = f'{HOST_PREFIX}{CFG.host}'
FIRST, SECOND = endpoints_of(ENGINE, 2)


def config(version: int, **changes: Any) -> dict[str, Any]:
    return {**CONFIG, 'version': version, **changes}


def version_of(fleet: Fleet) -> int:
    catalog = fleet.router.platform_sync.operator_config.catalog
    return catalog.version if catalog else 0


async def begin_era(fleet: Fleet, era: int = 1) -> None:
    """Let the router learn that the store tells its era."""
    fleet.store.era = str(era)
    await wait_until(lambda: fleet.client.era.number == era)


def test_change_at_a_revision_given_out_again_is_not_missed() -> None:
    async def steps(fleet: Fleet) -> None:
        await begin_era(fleet)
        copy = fleet.store.copy()
        for number in range(20):
            fleet.store.put(f'op/other/{number}', b'{}')
        await asyncio.sleep(0.2)
        fleet.store.restore(copy)
        fleet.store.put('op/config', config(9))
        assert fleet.store.revision < 20
        await wait_until(lambda: version_of(fleet) == 9)

    run_with_fleet(steps)


def test_entry_of_an_engine_at_a_revision_given_out_again_is_read_anew() -> (
    None
):
    async def steps(fleet: Fleet) -> None:
        await begin_era(fleet)
        copy = fleet.store.copy()
        await fleet.add_engine('i-1', 'desk', respond_ok)
        address = fleet.router.directory.endpoints['i-1'].address
        fleet.store.restore(copy)
        entry = server_entry('desk', address, slots=3, born=18)
        fleet.store.put('servers/i-1', entry)
        endpoints = fleet.router.directory.endpoints
        await wait_until(
            lambda: fleet.router.directory.endpoints['i-1'].slots == 3
        )
        assert endpoints['i-1'].born == 17

    run_with_fleet(steps)


def test_host_is_registered_again_at_once() -> None:
    async def steps(fleet: Fleet) -> None:
        copy = fleet.store.copy()
        copy.items.pop(OWN_KEY, None)
        copy.leases.clear()
        await wait_until(lambda: OWN_KEY in fleet.store.items)
        await begin_era(fleet)
        fleet.store.restore(copy)
        async with asyncio.timeout(CFG.feeds.lease / 4):
            await wait_until(lambda: OWN_KEY in fleet.store.items)

    run_with_fleet(steps)


def test_lease_number_that_another_host_got_is_not_renewed() -> None:
    async def steps(fleet: Fleet) -> None:
        copy = fleet.store.copy()
        copy.items.pop(OWN_KEY, None)
        copy.leases.clear()
        await wait_until(lambda: OWN_KEY in fleet.store.items)
        number = fleet.store.items[OWN_KEY].lease
        await begin_era(fleet)
        fleet.store.restore(copy)
        fleet.store.leases[number] = {'another'}
        fleet.store.granted += 1
        await wait_until(lambda: OWN_KEY in fleet.store.items)
        assert fleet.store.items[OWN_KEY].lease != number

    run_with_fleet(steps)


def test_older_configuration_in_the_copy_is_not_put_in_force() -> None:
    async def steps(fleet: Fleet) -> None:
        await begin_era(fleet)
        copy = fleet.store.copy()
        without = [{'name': 'acme', 'api_keys': ['key-2'], 'priority': 1}]
        fleet.store.put('op/config', config(9, tenants=without))
        await wait_until(lambda: version_of(fleet) == 9)
        fleet.store.restore(copy)
        await wait_until(lambda: fleet.client.era.number == 2)
        await asyncio.sleep(0.5)
        assert version_of(fleet) == 9
        answered = await (await fleet.connect()).request('/s/1')
        assert answered.status == 401

    run_with_fleet(steps)


@pytest.mark.parametrize('first_era', [0, 1])
@pytest.mark.parametrize('is_written_again', [True, False])
def test_evacuation_that_the_copy_lacks_stays_in_force_for_a_while(
    is_written_again: bool, first_era: int
) -> None:
    async def steps(fleet: Fleet) -> None:
        await begin_era(fleet, first_era)
        copy = fleet.store.copy()
        fleet.store.put(EVACUATION, b'{}')
        directory = fleet.router.directory
        await wait_until(lambda: directory.evacuated == {'north'})
        fleet.store.restore(copy)
        await wait_until(lambda: fleet.client.era.number == first_era + 1)
        if is_written_again:
            await asyncio.sleep(RESTORE_GRACE_SECONDS / 5)
            fleet.store.put(EVACUATION, b'{}')
        await asyncio.sleep(RESTORE_GRACE_SECONDS / 2)
        assert directory.evacuated == {'north'}
        await asyncio.sleep(RESTORE_GRACE_SECONDS * 0.7)
        assert directory.evacuated == ({'north'} if is_written_again else set())

    run_with_fleet(steps)


def test_two_restores_in_a_row_end_in_the_store_s_view() -> None:
    async def steps(fleet: Fleet) -> None:
        await begin_era(fleet)
        copy = fleet.store.copy()
        fleet.store.put('op/config', config(9))
        await wait_until(lambda: version_of(fleet) == 9)
        fleet.store.restore(copy)
        await wait_until(lambda: fleet.client.era.number == 2)
        fleet.store.restore(copy)
        await wait_until(lambda: fleet.client.era.number == 3)
        fleet.store.put('op/config', config(11))
        await fleet.add_engine('i-1', 'desk', respond_ok)
        await wait_until(lambda: version_of(fleet) == 11)
        await wait_until(lambda: OWN_KEY in fleet.store.items)

    run_with_fleet(steps)


def free_address() -> Address:
    sock, port = bind_unused_port()
    sock.close()
    return Address('127.0.0.1', port)


def name_of_reader() -> str:
    """Return a host name that makes a router the reader beside ``CFG.host``."""
    names = (f'reader-{number}' for number in range(100))
    return next(name for name in names if _hash_of(name) < _hash_of(CFG.host))


@contextlib.asynccontextmanager
async def open_second_router(
    fleet: Fleet, host: str = 'frontend-north-2'
) -> AsyncIterator[RoutedRouter]:
    """Yield another router that starts now, with peer streams to the first."""
    cfg = replace(CFG, host=host, peers=free_address())
    client = KvStore(Address('127.0.0.1', fleet.store.port))
    router = RoutedRouter(cfg, PlatformFeeds(client), HEADER_NAMES, read_head)
    task = asyncio.create_task(router.run())
    try:
        yield router
    finally:
        router.stop.begin()
        await task
        client.close()


@pytest.mark.parametrize('is_evacuated', [True, False])
def test_router_that_starts_after_a_restore_learns_what_the_copy_lacks(
    is_evacuated: bool,
) -> None:
    async def steps(fleet: Fleet) -> None:
        await begin_era(fleet)
        await wait_until(lambda: OWN_KEY in fleet.store.items)
        copy = fleet.store.copy()
        without = [{'name': 'acme', 'api_keys': ['key-2'], 'priority': 1}]
        fleet.store.put('op/config', config(9, tenants=without))
        if is_evacuated:
            fleet.store.put(EVACUATION, b'{}')
        zones = {'north'} if is_evacuated else set()
        directory = fleet.router.directory
        await wait_until(lambda: directory.evacuated == zones)
        await wait_until(lambda: version_of(fleet) == 9)
        fleet.store.restore(copy)
        await wait_until(lambda: fleet.client.era.number == 2)
        async with open_second_router(fleet) as router:
            view = router.platform_sync.operator_config
            await wait_until(lambda: view.catalog is not None)
            await wait_until(
                lambda: view.catalog is not None and view.catalog.version == 9
            )
            assert view.catalog is not None
            assert 'key-1' not in view.catalog.keys
            await wait_until(lambda: router.directory.evacuated == zones)

    run_with_fleet(steps, replace(CFG, peers=free_address()))


def run_with_store(steps: Any) -> None:
    async def run() -> None:
        stand_in = StoreStandIn()
        store = KvStore(stand_in.start())
        await steps(stand_in, store)
        store.close()
        stand_in.stop()

    asyncio.run(run())


def test_store_that_begins_to_tell_its_era_has_not_been_restored() -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        raised: list[int] = []
        store.era.listeners.append(lambda: raised.append(1))
        await store.get('k')
        stand_in.era = '5'
        await store.get('k')
        assert store.era.number == 5
        assert not raised

    run_with_store(steps)


def test_late_answer_of_an_older_era_changes_nothing() -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        stand_in.era = '4'
        stand_in.put('k', b'old')
        copy = stand_in.copy()
        stand_in.held, stand_in.held_path = asyncio.Event(), '/v1/kv-key'
        late = asyncio.create_task(store.get('k'))
        await wait_until(lambda: bool(stand_in.calls))
        await asyncio.sleep(0.05)
        stand_in.restore(copy)
        assert not isinstance(await store.scan('k'), StoreUnavailable)
        assert store.era.number == 5
        stand_in.held.set()
        assert isinstance(await late, StoreUnavailable)
        stand_in.held = None
        assert isinstance(await store.get('k'), Entry)

    run_with_store(steps)


def test_scan_across_a_restore_is_not_a_list() -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        stand_in.era, stand_in.page_size = '1', 2
        for number in range(5):
            stand_in.put(f'p/{number}', b'x')
        assert not isinstance(await store.scan('p/'), StoreUnavailable)
        copy = stand_in.copy()
        answer_page = stand_in.do_kv_range

        async def restore_in_between(*args: Any) -> Any:
            answered = await answer_page(*args)
            if stand_in.era == '1':
                asyncio.get_running_loop().call_soon(stand_in.restore, copy)
            return answered

        stand_in.do_kv_range = restore_in_between  # type: ignore[method-assign, assignment]
        assert isinstance(await store.scan('p/'), StoreUnavailable)
        assert not isinstance(await store.scan('p/'), StoreUnavailable)

    run_with_store(steps)


@pytest.mark.parametrize('told', [None, '', 'two', '-1', '1.5', '9' * 40])
def test_spoilt_or_missing_era_leaves_the_view_as_it_is(
    told: str | None,
) -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        stand_in.era = '3'
        stand_in.put('k', b'v')
        raised: list[int] = []
        assert isinstance(await store.get('k'), Entry)
        store.era.listeners.append(lambda: raised.append(1))
        stand_in.era = told
        assert isinstance(await store.get('k'), Entry)
        assert store.era.number == 3
        assert not raised

    run_with_store(steps)


def test_falling_era_is_ignored_and_a_write_in_it_may_have_applied() -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        events: list[str] = []

        def log(event: str, /, **fields: object) -> None:
            events.append(event)

        stand_in.era = '3'
        assert isinstance(await store.transact((), ()), Committed)
        store.era.report_to(_NO_METRICS, log)
        stand_in.era = '2'
        failed = await store.transact((), ())
        assert isinstance(failed, StoreUnavailable)
        assert failed.may_have_applied
        assert store.era.number == 3
        assert events == ['store_era_older']

    run_with_store(steps)


class _NoMetrics:
    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Count nothing."""


_NO_METRICS: Any = _NoMetrics()


def restored(*endpoints: Any, revision: int = 3) -> Listing:
    return Listing(revision, endpoints, era=2)


def make_directory() -> Directory:
    directory = Directory(Clock())
    rows = tuple(replace(each, revision=9) for each in (FIRST, SECOND))
    directory.replace(Listing(10, rows, era=1))
    return directory


def test_list_of_a_newer_era_replaces_one_of_a_higher_revision() -> None:
    directory = make_directory()
    directory.replace(restored(SECOND), requested_at=0)
    assert directory.era == 2
    assert directory.revision == 3
    directory.replace(Listing(50, (FIRST,), era=1))
    assert directory.era == 2


def test_departed_endpoint_in_the_copy_is_used_once_it_writes_again() -> None:
    directory = make_directory()
    directory.replace(Listing(11, (SECOND,), era=1))
    directory.replace(restored(replace(FIRST, revision=2), SECOND))
    assert not directory.is_usable(FIRST)
    directory.replace(restored(replace(FIRST, revision=2), SECOND, revision=5))
    assert not directory.is_usable(FIRST)
    directory.replace(restored(replace(FIRST, revision=6), SECOND, revision=7))
    assert directory.is_usable(FIRST)


def test_leaving_endpoint_that_the_copy_calls_ready_stays_out() -> None:
    directory = make_directory()
    directory.replace(Listing(11, (replace(FIRST, leaving=True), SECOND), 1))
    directory.replace(restored(replace(FIRST, revision=2), SECOND))
    assert not directory.is_usable(FIRST)
    assert directory.is_usable(SECOND)


def test_endpoint_that_the_copy_lacks_has_time_to_write_again() -> None:
    directory = make_directory()
    directory.replace(restored(SECOND))
    assert directory.is_usable(FIRST)
