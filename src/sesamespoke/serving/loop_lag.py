"""Whether this host keeps up with what comes to it.

The load it answers: one caller that sends hundreds of requests a second. The
balancer ties a caller to a host, so that this host alone is out of processor
time; its requests wait unread until their callers give up, and everybody
else's with them. A host that runs late says that it is not ready, and the
balancer gives new connections to others until it has caught up; callers that
are served meanwhile are asked to open a new one.
"""

import asyncio
from collections import deque
from collections.abc import Callable

from sesamespoke.serving.serving_call import Log

SAMPLE_SECONDS = 0.1
HIGH_DELAY_SECONDS = 0.08
"""A loop that is so late makes callers wait longer than they notice."""
HIGH_DELAY_SAMPLES = 3
RECENT_SAMPLES = 6
"""So many late ticks among the recent ones: one alone is a pause."""
LOW_DELAY_SECONDS = 0.03
LOW_DELAY_SAMPLES = 20
"""Ticks in time before the host is ready again: two seconds, in which the
balancer has taken it out of rotation."""
SMOOTHING_FACTOR = 0.5
"""Weight of the newest tick in the lag."""


class LoopLagMonitor:
    """How late the event loop is, and whether that goes on."""

    def __init__(self, log: Log, active: Callable[[], int]) -> None:
        """Assume that the host keeps up; ``active`` is told in the log."""
        self.lag: float = 0
        self.is_overloaded = False
        self._log = log
        self._active = active
        self._recent: deque[bool] = deque(maxlen=RECENT_SAMPLES)
        self._calm_ticks = 0

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + SAMPLE_SECONDS
            await asyncio.sleep(SAMPLE_SECONDS)
            self.record_delay(max(0, loop.time() - due_at))

    def record_delay(self, late: float) -> None:
        """Take into account how late one tick was, in seconds."""
        self.lag += SMOOTHING_FACTOR * (late - self.lag)
        self._recent.append(late >= HIGH_DELAY_SECONDS)
        self._calm_ticks = (
            self._calm_ticks + 1 if late <= LOW_DELAY_SECONDS else 0
        )
        if not self.is_overloaded and sum(self._recent) >= HIGH_DELAY_SAMPLES:
            self._turn(late=True)
        elif self.is_overloaded and self._calm_ticks >= LOW_DELAY_SAMPLES:
            self._turn(late=False)

    def _turn(self, *, late: bool) -> None:
        self.is_overloaded = late
        self._log(
            'host_overloaded' if late else 'host_caught_up',
            lag_ms=round(self.lag * 1000),
            active=self._active(),
        )
