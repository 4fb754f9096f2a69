"""Periodic work of one process, done in the same turns of its loop.

Each time that a process wakes up costs it about 0.1 ms, whatever it then
does. Tasks that wait for the next multiple of their interval wake up together
instead of each on its own.
"""

import asyncio


async def next_tick(seconds: float) -> None:
    """Wait for a multiple of an interval on the loop's clock.

    It is the next one that is at least half an interval away.
    """
    now = asyncio.get_running_loop().time()
    wait = seconds - now % seconds
    await asyncio.sleep(wait if wait >= seconds / 2 else wait + seconds)
