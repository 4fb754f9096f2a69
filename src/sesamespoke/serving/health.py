"""Passive health checks: failures, refusals and slowdown of each endpoint.

There are no health probes: endpoints answer a probe from the same queue as
any request, so that its result may be wrong either way. Health is derived
from the outcome of real requests instead.
"""

from collections.abc import Callable
from dataclasses import dataclass

from sesamespoke.attempts import Attempt
from sesamespoke.limits import Outcome

FIRST_PAUSE = 0.5
"""Seconds that an endpoint is paused after the first broken request."""
LONGEST_PAUSE = 4.0
"""Seconds; an endpoint that restarts is available again within a few."""
REFUSED_PAUSE = 0.1
"""Seconds that an endpoint is paused after it refused a request as full."""
SLOWDOWN_WEIGHT = 0.15
"""Weight of the newest observation in the moving average of slowdown."""
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 8.0
FAILED_SLOWDOWN = 3.0
"""A timed-out request counts as an observation of at least this slowdown."""
RECOVERY_SECONDS = 5.0
"""Time without observations after which a slow endpoint is tried again."""


@dataclass(slots=True)
class _EndpointState:
    slowdown: float = 1
    paused_until: float = 0
    pause_seconds: float = 0
    observed_at: float = 0
    born: int = 0


class Health:
    """Health of every endpoint that this router has used."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without observations."""
        self._clock = clock
        self._endpoints: dict[str, _EndpointState] = {}

    def slowdown(self, endpoint: str) -> float:
        """Return the ratio of observed to expected latency of an endpoint.

        A high value expires, so that an endpoint that recovered is used again.
        """
        state = self._endpoints.get(endpoint)
        if state is None:
            return 1
        idle = self._clock() - state.observed_at
        if state.slowdown > 1 and idle > RECOVERY_SECONDS:
            return 1
        return state.slowdown

    def is_paused(self, endpoint: str) -> bool:
        """Return whether an endpoint is paused after a failure or refusal."""
        state = self._endpoints.get(endpoint)
        return state is not None and self._clock() < state.paused_until

    def record_attempt(
        self, endpoint: str, attempt: Attempt, expected_ms: float
    ) -> bool:
        """Record an attempt, whose first token was expected in ``expected_ms``.

        Returns whether a broken request has newly paused the endpoint.
        """
        state = self._endpoints.setdefault(endpoint, _EndpointState())
        now = self._clock()
        state.observed_at = now
        if attempt.outcome is Outcome.REFUSED:
            state.paused_until = max(state.paused_until, now + REFUSED_PAUSE)
            return False
        if attempt.outcome is Outcome.BROKEN:
            return self._pause(state, now)
        if attempt.outcome is Outcome.DONE:
            state.pause_seconds = 0
            observed = attempt.first_token_ms / max(1, expected_ms)
            self._update_slowdown(state, observed)
        elif attempt.outcome is Outcome.LATE:
            self._update_slowdown(state, max(state.slowdown, FAILED_SLOWDOWN))
        return False

    def drop(self, endpoint: str) -> None:
        """Drop the state of an endpoint that was removed or restarted."""
        self._endpoints.pop(endpoint, None)

    def _update_slowdown(self, state: _EndpointState, observed: float) -> None:
        slowdown = state.slowdown + SLOWDOWN_WEIGHT * (
            observed - state.slowdown
        )
        state.slowdown = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))

    def _pause(self, state: _EndpointState, now: float) -> bool:
        if now < state.paused_until:
            return False
        state.pause_seconds = min(
            LONGEST_PAUSE, max(FIRST_PAUSE, state.pause_seconds * 2)
        )
        state.paused_until = now + state.pause_seconds
        return True
