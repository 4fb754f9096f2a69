"""Graceful shutdown of a router, within the host's grace period."""

import asyncio
from collections.abc import Awaitable, Callable

from sesamespoke.serving.serving_dependencies import Log
from sesamespoke.serving.settings import ShutdownSettings
from sesamespoke.shutdown import (
    QUIET_SECONDS,
    Requests,
    StopSignal,
    wait_for_begun,
    wait_until_quiet,
)


class GracefulShutdown:
    """Waits for the signal, drains the requests and stops the process.

    After the signal the host is not ready, and callers are asked to open new
    connections. After the drain delay, new requests are rejected as not run,
    while those in progress continue. At the end the port is closed first, so
    callers that connected before that still get a response.
    """

    def __init__(
        self,
        cfg: ShutdownSettings,
        requests: Requests,
        log: Log,
    ) -> None:
        """Prepare; ``requests`` returns the requests in progress."""
        self.rejects_requests = False
        self._cfg = cfg
        self._requests = requests
        self._log = log
        self._signal = StopSignal(self._log_began, self._log_began)
        self.install = self._signal.install
        self.begin = self._signal.ask

    @property
    def has_begun(self) -> bool:
        """Return whether the shutdown has begun."""
        return self._signal.is_asked

    async def run(
        self,
        stop_accepting: Callable[[], None],
        stop: Callable[[], Awaitable[None]],
    ) -> None:
        """Return once a shutdown has begun and everything has stopped."""
        await self._signal.wait()
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self._cfg.timeout
        await asyncio.sleep(self._cfg.drain_delay)
        self.rejects_requests = True
        await wait_for_begun(
            self._requests, lambda: loop.time() >= ends_at - QUIET_SECONDS
        )
        stop_accepting()
        await wait_until_quiet(self._requests, lambda: loop.time() >= ends_at)
        self._log('stop_ended', cut=len(self._requests()))
        await stop()

    def _log_began(self) -> None:
        self._log('stop_began', active=len(self._requests()))
