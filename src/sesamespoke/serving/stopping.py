"""The planned stop of a router, within the time that the host is given."""

import asyncio
from collections.abc import Awaitable, Callable

from sesamespoke.serving.serving_call import Log
from sesamespoke.serving.settings import StopSettings
from sesamespoke.shutdown import StopSignal

POLL_SECONDS = 0.05


class PlannedStop:
    """Waits for the signal, then for the requests, and ends the process.

    From the signal on the host is not ready, and callers are asked to open
    other connections. After the notice, requests that still come on old
    connections are refused as not run, those in work go on.
    """

    def __init__(
        self,
        cfg: StopSettings,
        active: Callable[[], int],
        log: Log,
    ) -> None:
        """Prepare; ``active`` counts the requests in work."""
        self.closed = False
        self._cfg = cfg
        self._active = active
        self._log = log
        self._signal = StopSignal(self._tell_began, self._tell_began)
        self.install = self._signal.install
        self.ask = self._signal.ask

    @property
    def is_asked(self) -> bool:
        """Return whether the stop has begun."""
        return self._signal.is_asked

    async def run(self, stop: Callable[[], Awaitable[None]]) -> None:
        """Return once the stop was asked for and everything has ended."""
        await self._signal.wait()
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self._cfg.longest
        await asyncio.sleep(self._cfg.notice)
        self.closed = True
        while self._active() and loop.time() < ends_at:
            await asyncio.sleep(POLL_SECONDS)
        self._log('stop_ended', cut=self._active())
        await stop()

    def _tell_began(self) -> None:
        self._log('stop_began', active=self._active())
