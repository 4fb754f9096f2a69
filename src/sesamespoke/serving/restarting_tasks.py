"""Background loops that must not end while the router runs."""

import asyncio
from collections.abc import Awaitable, Callable

import structlog

RETRY_SECONDS = 0.3
"""Delay before a failed loop or store call is retried."""

log = structlog.get_logger()


async def run_with_restarts(loop: Callable[[], Awaitable[None]]) -> None:
    """Run a loop and restart it after an unexpected exception.

    Without the restart, the router would continue with stale data.
    """
    while not is_cancelled():
        try:
            await loop()
        except Exception:
            log.exception('follower_failed', loop=loop.__qualname__)
            await asyncio.sleep(RETRY_SECONDS)


def is_cancelled() -> bool:
    """Return whether the current task, not one it awaits, is cancelled."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
