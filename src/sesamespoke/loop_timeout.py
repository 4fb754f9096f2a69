"""A time-out that a late event loop does not shorten.

A host that is out of processor time runs its timers and reads its sockets
late. What has arrived meanwhile would still lose against a timer that was
due, and the host would take its own lateness for a failure of others.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

SLICES: Final = 8
"""Parts of a time-out, each of which takes a turn of the loop at least."""


@asynccontextmanager
async def loop_timeout(seconds: float) -> AsyncIterator[None]:
    """Raise ``TimeoutError`` after some seconds, in several turns of the loop.

    Between two of its parts the loop has looked at all sockets once more.
    """
    loop = asyncio.get_running_loop()
    timeout = asyncio.timeout(None)

    timers: list[asyncio.TimerHandle] = []

    def count_down(left: int) -> None:
        timers.clear()
        if left:
            slice_seconds = seconds / SLICES
            timers.append(loop.call_later(slice_seconds, count_down, left - 1))
        else:
            timeout.reschedule(loop.time())

    async with timeout:
        count_down(SLICES)
        try:
            yield
        finally:
            for timer in timers:
                timer.cancel()
