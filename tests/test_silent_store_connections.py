"""Open connections to the store that say nothing more, while new ones work."""

import asyncio
from dataclasses import replace
from unittest import mock

from support_platform import CONFIG, StoreStandIn
from support_routed import CFG, Fleet, run_with_fleet, wait_until
from test_platform_store import run_steps
from test_store_restore import (
    free_address,
    name_of_reader,
    open_second_router,
    version_of,
)

from sesamespoke.platform.kv_store import MAX_PARALLEL_CALLS, KvStore
from sesamespoke.store import Entry

CONTACT_SECONDS = 3.0
"""Time that a router has to notice that its connections have died."""


async def change_config(fleet: Fleet) -> None:
    """Change the configuration while all waiting watches are silent."""
    fleet.store.held_path = '/v1/kv-watch'
    fleet.store.held = asyncio.Event()
    fleet.store.put('op/config', {**CONFIG, 'version': 9})
    async with asyncio.timeout(CONTACT_SECONDS):
        await wait_until(lambda: version_of(fleet) == 9)


async def wait_for_long_watch(fleet: Fleet) -> None:
    """Wait until a router relies on the other one, the reader."""
    long = f'{CFG.feeds.non_reader_watch * 1000:.0f}'
    await wait_until(
        lambda: any(each.get('wait_ms') == long for each in fleet.store.queries)
    )


def test_router_whose_reader_has_left_does_not_rely_on_a_dead_watch() -> None:
    async def steps(fleet: Fleet) -> None:
        async with open_second_router(fleet, name_of_reader()):
            await wait_for_long_watch(fleet)
        await asyncio.sleep(2)
        await change_config(fleet)

    run_with_fleet(steps, replace(CFG, peers=free_address()))


def test_router_whose_reader_is_frozen_does_not_rely_on_a_dead_watch() -> None:
    async def steps(fleet: Fleet) -> None:
        async with open_second_router(fleet, name_of_reader()) as reader:
            await wait_for_long_watch(fleet)
            with mock.patch.object(
                reader.platform_sync._list_sharing, 'publish'
            ):
                await change_config(fleet)

    run_with_fleet(steps, replace(CFG, peers=free_address()))


def test_reader_notices_a_dead_watch_in_time() -> None:
    async def steps(fleet: Fleet) -> None:
        await asyncio.sleep(1)
        await change_config(fleet)

    run_with_fleet(steps)


def test_cancelled_watches_do_not_hold_up_other_calls() -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        stand_in.put('p/1', b'x')
        for _ in range(2 * MAX_PARALLEL_CALLS):
            watch = store.watch('p/', lambda: 20, set())
            assert isinstance(await anext(watch), Entry)
            waiting = asyncio.ensure_future(anext(watch))
            await asyncio.sleep(0.02)
            waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
        async with asyncio.timeout(0.3):
            assert isinstance(await store.get('p/1'), Entry)

    run_steps(steps)
