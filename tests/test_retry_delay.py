"""Calls of a store that turns a host away."""

import asyncio

from support_platform import StoreStandIn
from test_platform_store import run_steps

from sesamespoke.platform.kv_store import (
    MAX_RETRY_DELAY_SECONDS,
    RETRY_DELAY_SECONDS,
    KvStore,
)
from sesamespoke.retry_delay import MIN_PART, RetryDelay
from sesamespoke.store import StoreUnavailable

REFUSED_SECONDS = 3.0


def test_delays_grow_up_to_a_limit_and_start_anew() -> None:
    delay = RetryDelay(1, 4)
    delays = [delay.grow() for _ in range(8)]
    assert MIN_PART <= delays[0] <= 1
    assert all(4 * MIN_PART <= each <= 4 for each in delays[4:])
    delay.reset()
    assert delay.grow() <= 1


def test_refused_watch_asks_the_store_four_times_a_second() -> None:
    """With dozens of hosts that a store turned away for seconds."""

    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        stand_in.refuse_with = 503
        failures = 0

        async def watch() -> None:
            nonlocal failures
            async for change in store.watch('op/', lambda: 1, set()):
                failures += isinstance(change, StoreUnavailable)

        task = asyncio.create_task(watch())
        await asyncio.sleep(REFUSED_SECONDS)
        task.cancel()
        steady = REFUSED_SECONDS / RETRY_DELAY_SECONDS
        assert 1 <= failures <= steady / 2
        assert len(stand_in.calls) == failures

    run_steps(steps)


def test_watch_is_back_soon_after_the_store() -> None:
    async def steps(stand_in: StoreStandIn, store: KvStore) -> None:
        stand_in.refuse_with = 503
        changes = store.watch('op/', lambda: 1, set())
        for _ in range(4):
            await anext(changes)
        stand_in.refuse_with = None
        stand_in.put('op/a', b'{}')
        async with asyncio.timeout(MAX_RETRY_DELAY_SECONDS * 4):
            while isinstance(await anext(changes), StoreUnavailable):
                continue
        await changes.aclose()

    run_steps(steps)
