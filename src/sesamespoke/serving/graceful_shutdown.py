"""The planned stop of a router, within the time that the host is given."""

import asyncio
from collections.abc import Awaitable, Callable

from sesamespoke.serving.serving_call import Log
from sesamespoke.serving.settings import StopSettings
from sesamespoke.shutdown import (
    QUIET_SECONDS,
    Requests,
    StopSignal,
    wait_for_begun,
    wait_until_quiet,
)


class GracefulShutdown:
    """Waits for the signal, then for the requests, and ends the process.

    From the signal on the host is not ready, and callers are asked to open
    other connections. After the notice, requests that still come are refused
    as not run, those in work go on. At the end the port is closed first: who
    was connected before that is still answered.
    """

    def __init__(
        self,
        cfg: StopSettings,
        requests: Requests,
        log: Log,
    ) -> None:
        """Prepare; ``requests`` returns those in work."""
        self.rejects_requests = False
        self._cfg = cfg
        self._requests = requests
        self._log = log
        self._signal = StopSignal(self._tell_began, self._tell_began)
        self.install = self._signal.install
        self.begin = self._signal.ask

    @property
    def has_begun(self) -> bool:
        """Return whether the stop has begun."""
        return self._signal.is_asked

    async def run(
        self,
        stop_accepting: Callable[[], None],
        stop: Callable[[], Awaitable[None]],
    ) -> None:
        """Return once the stop was asked for and everything has ended."""
        await self._signal.wait()
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self._cfg.longest
        await asyncio.sleep(self._cfg.notice)
        self.rejects_requests = True
        await wait_for_begun(
            self._requests, lambda: loop.time() >= ends_at - QUIET_SECONDS
        )
        stop_accepting()
        await wait_until_quiet(self._requests, lambda: loop.time() >= ends_at)
        self._log('stop_ended', cut=len(self._requests()))
        await stop()

    def _tell_began(self) -> None:
        self._log('stop_began', active=len(self._requests()))
