"""Overload detection for this host, from the lag of its event loop.

A single caller may send hundreds of requests a second. The load balancer pins
a caller to a host, so only this host runs out of CPU time; requests of that
caller and of all others then wait unread until the callers time out. An
overloaded host reports that it is not ready, so the load balancer sends new
connections to other hosts until it has caught up; callers that it serves
meanwhile are asked to open a new connection.
"""

import asyncio
from collections import deque
from collections.abc import Callable

from sesamespoke.serving.serving_dependencies import Log

SAMPLE_SECONDS = 0.1
HIGH_DELAY_SECONDS = 0.08
"""Delay of a sample above which the added latency is noticeable to callers."""
HIGH_DELAY_SAMPLES = 3
RECENT_SAMPLES = 6
"""Samples among which ``HIGH_DELAY_SAMPLES`` high ones mean overload.

A single high delay is only a pause.
"""
LOW_DELAY_SECONDS = 0.03
LOW_DELAY_SAMPLES = 20
"""Consecutive low delays before the host is ready again.

They take two seconds, within which the load balancer has taken the host out
of rotation.
"""
SMOOTHING_FACTOR = 0.5
"""Weight of the newest sample in the exponential moving average."""


class LoopLagMonitor:
    """Measures the event loop lag and detects overload, with hysteresis."""

    def __init__(self, log: Log, count_active: Callable[[], int]) -> None:
        """Start not overloaded; log lines include the active requests."""
        self.lag: float = 0
        self.is_overloaded = False
        self._log = log
        self._count_active = count_active
        self._recent: deque[bool] = deque(maxlen=RECENT_SAMPLES)
        self._low_samples = 0

    async def run(self) -> None:
        """Sample the delay of a timer until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + SAMPLE_SECONDS
            await asyncio.sleep(SAMPLE_SECONDS)
            self.record_delay(max(0, loop.time() - due_at))

    def record_delay(self, delay: float) -> None:
        """Update the lag and the overload state with one delay, in seconds."""
        self.lag += SMOOTHING_FACTOR * (delay - self.lag)
        self._recent.append(delay >= HIGH_DELAY_SECONDS)
        self._low_samples = (
            self._low_samples + 1 if delay <= LOW_DELAY_SECONDS else 0
        )
        if not self.is_overloaded and sum(self._recent) >= HIGH_DELAY_SAMPLES:
            self._set_overloaded(overloaded=True)
        elif self.is_overloaded and self._low_samples >= LOW_DELAY_SAMPLES:
            self._set_overloaded(overloaded=False)

    def _set_overloaded(self, *, overloaded: bool) -> None:
        self.is_overloaded = overloaded
        self._log(
            'host_overloaded' if overloaded else 'host_caught_up',
            lag_ms=round(self.lag * 1000),
            active=self._count_active(),
        )
