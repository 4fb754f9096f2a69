"""The planned stop of a router, which cuts no request."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Set
from dataclasses import dataclass

import structlog

from sesamespoke.timeline import Timeline

SIGNALS = (signal.SIGTERM, signal.SIGINT)
NOTICE_SECONDS = 1.0
QUIET_SECONDS = 0.25
POLL_SECONDS = 0.05

Requests = Callable[[], Set[object]]
"""Returns those that are in work now."""
IsOver = Callable[[], bool]
"""Returns whether to wait no longer; asked several times a second."""

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ShutdownSteps:
    """What a stop does, in this order.

    ``set_unready`` turns the balancer away, ``set_leaving`` hands roles
    over, ``requests`` returns those queued or served, ``stop_accepting``
    closes the callers' port and ``stop`` ends everything else.
    """

    set_unready: Callable[[], None]
    set_leaving: Callable[[], None]
    requests: Requests
    stop_accepting: Callable[[], None]
    stop: Callable[[], Awaitable[None]]


async def wait_for_begun(requests: Requests, is_over: IsOver) -> None:
    """Wait for the requests that are in work now.

    Others may go on coming, so that no moment is without any.
    """
    begun = frozenset(requests())
    while begun & requests() and not is_over():
        await asyncio.sleep(POLL_SECONDS)


async def wait_until_quiet(requests: Requests, is_over: IsOver) -> None:
    """Wait until no request has been in work for a while."""
    loop = asyncio.get_running_loop()
    quiet_at = loop.time() + QUIET_SECONDS
    while loop.time() < quiet_at and not is_over():
        await asyncio.sleep(POLL_SECONDS)
        if requests():
            quiet_at = loop.time() + QUIET_SECONDS


class StopSignal:
    """The operators' wish that the process stops, told by a signal."""

    def __init__(
        self,
        on_first: Callable[[], None],
        on_again: Callable[[], None],
    ) -> None:
        """Call ``on_first`` for the first signal, then ``on_again``."""
        self._on_first = on_first
        self._on_again = on_again
        self._asked = asyncio.Event()

    @property
    def is_asked(self) -> bool:
        """Return whether the stop has begun."""
        return self._asked.is_set()

    def install(self) -> None:
        """Handle the signals of a planned stop."""
        loop = asyncio.get_running_loop()
        for number in SIGNALS:
            loop.add_signal_handler(number, self.ask)

    def ask(self) -> None:
        """Begin the stop, or tell that it has begun."""
        if self._asked.is_set():
            self._on_again()
            return
        self._asked.set()
        self._on_first()

    async def wait(self) -> None:
        """Return once the stop has begun."""
        await self._asked.wait()


class Shutdown:
    """Waits for the signal to stop, then takes the steps."""

    def __init__(
        self,
        steps: ShutdownSteps,
        timeline: Timeline,
        warn_after: float,
        notice: float = NOTICE_SECONDS,
    ) -> None:
        """Prepare a stop.

        ``warn_after`` is in seconds. Requests that take longer are told
        of, not cut: their deadlines end them. ``notice`` is how long the
        balancer is given to see that this host is not ready.
        """
        self._steps = steps
        self._timeline = timeline
        self._warn_after = warn_after
        self._notice = notice
        self._signal = StopSignal(steps.set_unready, self._warn_again)
        self.install = self._signal.install
        self.ask = self._signal.ask

    @property
    def is_asked(self) -> bool:
        """Return whether the stop has begun."""
        return self._signal.is_asked

    async def run(self) -> None:
        """Return once the stop was asked for and everything has ended."""
        await self._signal.wait()
        self._tell('shutdown_began')
        await asyncio.sleep(self._notice)
        self._steps.set_leaving()
        await wait_for_begun(self._steps.requests, self._make_warning())
        self._steps.stop_accepting()
        await wait_until_quiet(self._steps.requests, self._make_warning())
        await self._steps.stop()
        self._tell('shutdown_ended')

    def _make_warning(self) -> IsOver:
        """Return what tells now and then that requests take long.

        It never ends the wait.
        """
        loop = asyncio.get_running_loop()
        warn_at = loop.time() + self._warn_after

        def warn() -> bool:
            nonlocal warn_at
            active = self._count()
            if active and loop.time() >= warn_at:
                warn_at = loop.time() + self._warn_after
                log.warning('slow_shutdown', active=active)
            return False

        return warn

    def _warn_again(self) -> None:
        log.warning('already_stopping', active=self._count())

    def _tell(self, kind: str) -> None:
        active = self._count()
        self._timeline.record(kind, active=active)
        log.info(kind, active=active)

    def _count(self) -> int:
        return len(self._steps.requests())
