"""Time-outs on a loop that runs late."""

import asyncio
import time

import pytest
from support import run

from sesamespoke.endpoint_connections import ConnectionPool, PoolSettings
from sesamespoke.loop_timeout import loop_timeout


def test_it_ends_what_takes_too_long() -> None:
    async def steps() -> None:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        with pytest.raises(TimeoutError):
            async with loop_timeout(0.2):
                await asyncio.sleep(5)
        assert 0.2 <= loop.time() - began_at < 1

    run(steps())


def test_it_leaves_alone_what_ends_in_time() -> None:
    async def steps() -> None:
        async with loop_timeout(0.2):
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.3)

    run(steps())


def test_a_busy_host_does_not_take_its_own_lateness_for_a_dead_endpoint() -> (
    None
):
    async def steps() -> None:
        server = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        pool = ConnectionPool(PoolSettings(connect_seconds=0.2))
        loop = asyncio.get_running_loop()
        opening = asyncio.create_task(
            pool.take(f'http://127.0.0.1:{port}', fresh=True)
        )
        stop_at = loop.time() + 1.2

        def delay_each_turn() -> None:
            time.sleep(0.25)
            if loop.time() < stop_at:
                loop.call_soon(delay_each_turn)

        loop.call_soon(delay_each_turn)
        conn = await opening
        assert conn is not None
        conn.close()
        server.close()

    asyncio.run(steps())
