"""Periodic tasks that wake up together."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st
from support import run

from sesamespoke.ticks import next_tick


@given(st.floats(0, 3), st.sampled_from((0.1, 0.125, 0.25, 0.4, 1.0)))
def test_ticks_come_once_an_interval_from_any_moment_on(
    start: float, seconds: float
) -> None:
    async def steps() -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(start)
        await next_tick(seconds)
        for _ in range(5):
            before = loop.time()
            await next_tick(seconds)
            assert abs(loop.time() - before - seconds) < seconds / 100

    run(steps())


def test_tasks_of_one_interval_wake_up_in_one_turn() -> None:
    async def steps() -> None:
        loop = asyncio.get_running_loop()
        woken: list[float] = []

        async def wake(delay: float) -> None:
            await asyncio.sleep(delay)
            for _ in range(4):
                await next_tick(0.1)
            woken.append(round(loop.time(), 6))

        await asyncio.gather(wake(0.01), wake(0.03), wake(0.04))
        assert len(set(woken)) == 1

    run(steps())
