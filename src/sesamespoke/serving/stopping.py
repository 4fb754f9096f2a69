"""The planned stop of a router, within the time that the host is given."""

import asyncio
from collections.abc import Awaitable, Callable, Set

from sesamespoke.serving.serving_call import Log
from sesamespoke.serving.settings import StopSettings
from sesamespoke.shutdown import POLL_SECONDS, QUIET_SECONDS, StopSignal


class PlannedStop:
    """Waits for the signal, then for the requests, and ends the process.

    From the signal on the host is not ready, and callers are asked to open
    other connections. After the notice, requests that still come are refused
    as not run, those in work go on. At the end the port is closed first: who
    was connected before that is still answered.
    """

    def __init__(
        self,
        cfg: StopSettings,
        requests: Callable[[], Set[object]],
        log: Log,
    ) -> None:
        """Prepare; ``requests`` returns those in work."""
        self.closed = False
        self._cfg = cfg
        self._requests = requests
        self._log = log
        self._signal = StopSignal(self._tell_began, self._tell_began)
        self.install = self._signal.install
        self.ask = self._signal.ask

    @property
    def is_asked(self) -> bool:
        """Return whether the stop has begun."""
        return self._signal.is_asked

    async def run(
        self,
        stop_accepting: Callable[[], None],
        stop: Callable[[], Awaitable[None]],
    ) -> None:
        """Return once the stop was asked for and everything has ended."""
        await self._signal.wait()
        ends_at = asyncio.get_running_loop().time() + self._cfg.longest
        await asyncio.sleep(self._cfg.notice)
        self.closed = True
        await self._wait_for_begun(ends_at - QUIET_SECONDS)
        stop_accepting()
        await self._wait_until_quiet(ends_at)
        self._log('stop_ended', cut=len(self._requests()))
        await stop()

    async def _wait_for_begun(self, ends_at: float) -> None:
        """Wait for the requests that are in work now."""
        loop = asyncio.get_running_loop()
        begun = frozenset(self._requests())
        while begun & self._requests() and loop.time() < ends_at:
            await asyncio.sleep(POLL_SECONDS)

    async def _wait_until_quiet(self, ends_at: float) -> None:
        """Wait until no request has been in work for a while."""
        loop = asyncio.get_running_loop()
        quiet_at = loop.time() + QUIET_SECONDS
        while loop.time() < min(quiet_at, ends_at):
            await asyncio.sleep(POLL_SECONDS)
            if self._requests():
                quiet_at = loop.time() + QUIET_SECONDS

    def _tell_began(self) -> None:
        self._log('stop_began', active=len(self._requests()))
